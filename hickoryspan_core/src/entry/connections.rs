//! Shares of target connections, and the pace at which connections open.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;

use crate::types::{ConnectionCount, MonotonicTime, OrdinalNumber, RequestFingerprint, TargetId};

/// Settings of the connections to targets.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Connections beyond the busy ones that are kept open, within the share.
    pub warm: u32,
    /// Opens in flight to one target.
    pub max_opening: u32,
    /// Opens of one target per second.
    pub opens_per_second: f64,
    /// Opens of one target that may be saved up.
    pub open_burst: f64,
    /// When to give up an open.
    pub open_timeout: Duration,
    /// Mean wait before an open after a connection ended or failed to open; doubles with each further failure.
    pub backoff: Duration,
    /// The longest wait.
    pub max_backoff: Duration,
    /// A request in flight for longer than this multiple of the service's 99th percentile makes its connection
    /// suspect.
    pub stall_factor: f64,
    /// No connection is suspect before.
    pub min_stall_timeout: Duration,
    /// A suspect connection is closed after this multiple of the time that made it suspect.
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

/// Which connections this process may open: its ordinal among all ordinals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalShare {
    /// The ordinal that this process leases.
    pub ordinal: OrdinalNumber,
    /// The number of ordinals.
    pub max_ordinals: u32,
}

/// Spreads the bits of a number evenly (the finalizer of SplitMix64).
fn mix_bits(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

impl OrdinalShare {
    /// The connections that this ordinal may hold at a target. Over all ordinals they sum to `connections`: each
    /// gets an equal part, and the remainder goes to the first ordinals in a rendezvous order by target.
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

/// Limits the opens of one target in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenPacer {
    tokens: f64,
    filled_at: MonotonicTime,
    failures: u32,
    blocked_until: MonotonicTime,
}

impl OpenPacer {
    /// A pacer with a full burst.
    pub fn new(now: MonotonicTime, settings: &ConnectionSettings) -> Self {
        let tokens = settings.open_burst;
        Self { tokens, filled_at: now, failures: 0, blocked_until: MonotonicTime::default() }
    }

    /// Counts an open, or tells when to ask again.
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
            // Rounded up, because a time of zero would wake the engine again at once.
            let wait = Duration::from_secs_f64(((1.0 - self.tokens) / rate).clamp(1e-3, 3600.0));
            return Err(now + wait);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    /// An open succeeded.
    pub fn record_opened(&mut self) {
        self.failures = 0;
    }

    /// An open failed, or an open connection was ended by the other side. The wait is random, because otherwise
    /// all entry hosts would reconnect at the same moment.
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
