//! Connection shares of entry hosts, and the pacing of connection attempts.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::types::{ConnectionCount, MonotonicTime, OrdinalNumber, RequestFingerprint, TargetId};

/// Settings of the connections to targets.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Number of spare connections per target that are kept open, within the share.
    pub warm: u32,
    /// Maximum number of connections to one target that are being opened at the same time.
    pub max_opening: u32,
    /// Maximum rate of connection attempts to one target, per second.
    pub opens_per_second: f64,
    /// Burst of connection attempts to one target.
    pub open_burst: f64,
    /// Timeout of a connection attempt.
    pub open_timeout: Duration,
    /// Mean back-off before a connection attempt after a connection was closed or could not be
    /// opened. Doubles with each consecutive failure to open.
    pub backoff: Duration,
    /// Maximum back-off.
    pub max_backoff: Duration,
    /// Multiple of the service's 99th percentile after which a request without an answer marks its
    /// connection as stalled.
    pub stall_factor: f64,
    /// Minimum time without an answer before a connection counts as stalled.
    pub min_stall_timeout: Duration,
    /// Multiple of the stall timeout after which a stalled connection is closed.
    pub stall_close_factor: u32,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self {
            warm: 1,
            max_opening: 2,
            opens_per_second: 5.0,
            open_burst: 5.0,
            open_timeout: Duration::from_secs(1),
            backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
            stall_factor: 3.0,
            min_stall_timeout: Duration::from_millis(250),
            stall_close_factor: 4,
        }
    }
}

/// Share of the target connections that this process may open, given by its ordinal among all
/// ordinals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalShare {
    /// Ordinal that this process has leased.
    pub ordinal: OrdinalNumber,
    /// Number of ordinals.
    pub max_ordinals: u32,
}

/// Mixes the bits of a number (finalizer of SplitMix64).
fn mix_bits(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

impl OrdinalShare {
    /// Returns the number of connections that this ordinal may hold to a target. Over all ordinals,
    /// the numbers sum to `connections`: each ordinal gets an equal part, and the remainder goes to
    /// the first ordinals in a rendezvous hashing order of the target.
    pub fn connections(&self, target: &TargetId, connections: ConnectionCount) -> ConnectionCount {
        let ordinals = u64::from(self.max_ordinals);
        if ordinals == 0 || self.ordinal.0 >= ordinals {
            return ConnectionCount(0);
        }
        let even = connections.0 / self.max_ordinals;
        let remainder = u64::from(connections.0 % self.max_ordinals);
        if remainder == 0 {
            return ConnectionCount(even);
        }
        let digest = RequestFingerprint::of_parts([target.as_str().as_bytes()]);
        let seed = digest.0.iter().take(8).fold(0, |seed, byte| seed << 8 | u64::from(*byte));
        let rank = |ordinal: u64| (mix_bits(seed ^ mix_bits(ordinal + 1)), ordinal);
        let own = rank(self.ordinal.0);
        let before = (0..ordinals).filter(|ordinal| rank(*ordinal) < own).count() as u64;
        ConnectionCount(even + u32::from(before < remainder))
    }
}

/// Paces the connection attempts to one target with a token bucket and a back-off.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenPacer {
    tokens: f64,
    filled_at: MonotonicTime,
    failures: u32,
    blocked_until: MonotonicTime,
}

impl OpenPacer {
    /// Creates a pacer with a full burst.
    pub fn new(now: MonotonicTime, settings: &ConnectionSettings) -> Self {
        let tokens = settings.open_burst;
        Self { tokens, filled_at: now, failures: 0, blocked_until: MonotonicTime::default() }
    }

    /// Takes a token for a connection attempt, or returns the time of the next try.
    pub fn permit(
        &mut self,
        now: MonotonicTime,
        settings: &ConnectionSettings,
    ) -> Result<(), MonotonicTime> {
        if now < self.blocked_until {
            return Err(self.blocked_until);
        }
        let rate = settings.opens_per_second.max(f64::MIN_POSITIVE);
        let filled = now.since(self.filled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + filled).min(settings.open_burst.max(1.0));
        self.filled_at = now;
        if self.tokens < 1.0 {
            // At least 1 ms, because the engine would otherwise set a timer that fires at once.
            let wait = Duration::from_secs_f64(((1.0 - self.tokens) / rate).clamp(1e-3, 3600.0));
            return Err(now + wait);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// Records that a connection was opened.
    pub fn record_opened(&mut self) {
        self.failures = 0;
    }

    /// Starts a back-off after a connection could not be opened or was closed by the other side.
    /// The back-off is random, because otherwise all entry hosts would reconnect at the same time.
    pub fn record_closed(
        &mut self,
        now: MonotonicTime,
        failed: bool,
        settings: &ConnectionSettings,
        generator: &mut ChaCha12Rng,
    ) {
        if failed {
            self.failures = (self.failures + 1).min(16);
        }
        let factor = f64::from(1u32 << self.failures) * generator.random_range(0.5..1.5);
        let wait = settings.backoff.mul_f64(factor).min(settings.max_backoff);
        self.blocked_until = self.blocked_until.max(now + wait);
    }
}
