//! The session with control: replica selection, the lease of the ordinal, and pledges while there is no leader.
//!
//! A pledge is a replica's promise not to take part in a change of the committed state for a stated time. While a
//! majority of the replicas has pledged, no other process can get this ordinal, even after the lease has ended.
//!
//! See `docs/design/entry_session.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha12Rng;

use crate::messages::{CallerDemand, EntryMessage};
use crate::types::{MonotonicTime, OrdinalNumber, RevisionNumber, StateDigest};

use super::engine::OrdinalShare;
use super::interface::{EntryAction, EntryIdentity};

/// Settings of the session with control.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// Time between lease renewals. A fifth of the default lease, so that several renewals may be lost.
    pub renewal_interval: Duration,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for the first answer on a connection. The answer takes a commit and a confirmed read.
    pub handshake_timeout: Duration,
    /// Time without a confirmed renewal after which an established connection is replaced. By then two renewals are
    /// unanswered, and more than half of the default lease is left to reach another replica.
    pub renewal_timeout: Duration,
    /// Back-off after the first failure. It doubles with each further failure.
    pub initial_backoff: Duration,
    /// Upper limit of the back-off, before jitter.
    pub max_backoff: Duration,
    /// Redirects followed without back-off. More redirects mean that the replicas disagree about the leader.
    pub max_redirects: u32,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            renewal_interval: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(700),
            handshake_timeout: Duration::from_millis(1500),
            renewal_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
            max_redirects: 3,
        }
    }
}

/// Validity of the ordinal's lease, which decides what this process may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The lease is valid.
    Held(OrdinalShare),
    /// The lease has ended, but a majority of replicas pledged that no other process gets the ordinal.
    Pledged(OrdinalShare),
    /// The lease has ended, and the ordinal may belong to another process.
    Ended,
}

impl LeaseStatus {
    /// Returns the ordinal share that may be used, or `None` if the lease has ended.
    pub fn share(self) -> Option<OrdinalShare> {
        match self {
            Self::Held(share) | Self::Pledged(share) => Some(share),
            Self::Ended => None,
        }
    }
}

/// State of the entry that is sent with a renewal.
#[derive(Clone, Debug)]
pub struct RenewalReport {
    /// Configuration revision in force.
    pub revision: RevisionNumber,
    /// Digest of that configuration.
    pub digest: StateDigest,
    /// Whether the entry is draining.
    pub draining: bool,
    /// Demand of each caller at this entry.
    pub demand: Vec<CallerDemand>,
}

#[derive(Clone, Copy, Debug)]
enum LinkState {
    Backoff { until: MonotonicTime },
    Connecting { address: SocketAddr, since: MonotonicTime },
    Handshake { address: SocketAddr, since: MonotonicTime },
    Established { last_confirmed: MonotonicTime, next_renewal: MonotonicTime },
}

#[derive(Clone, Copy, Debug)]
struct HeldOrdinal {
    share: OrdinalShare,
    lease_until: MonotonicTime,
    /// End of the time in which lease or pledges allow use of the ordinal; never before `lease_until`.
    confirmed_until: MonotonicTime,
}

/// The session of this process with the control replicas.
#[derive(Debug)]
pub struct ControlSession {
    settings: SessionSettings,
    identity: EntryIdentity,
    generator: ChaCha12Rng,
    /// Addresses of the control replicas in random order.
    rotation: Vec<SocketAddr>,
    /// Position in `rotation` of the replica to try next.
    next_position: usize,
    link: LinkState,
    /// Leader that the last replica named, to be tried next.
    redirect: Option<SocketAddr>,
    /// Number of redirects followed since the last failure or success.
    redirects: u32,
    consecutive_failures: u32,
    held: Option<HeldOrdinal>,
    sequence: u64,
    /// Times at which unanswered renewals were sent, by sequence number.
    pending_renewals: BTreeMap<u64, MonotonicTime>,
    /// End of the latest pledge of each replica.
    pledges: BTreeMap<SocketAddr, MonotonicTime>,
    shortest_pledge: Option<Duration>,
    /// Time of the last `advance`, which handled everything due by then.
    advanced_at: MonotonicTime,
}

impl ControlSession {
    /// Creates a session that connects to a random replica at its first wake-up.
    pub fn new(
        settings: SessionSettings,
        identity: EntryIdentity,
        mut generator: ChaCha12Rng,
    ) -> Self {
        let mut rotation = identity.control_addresses.clone();
        rotation.sort_unstable();
        rotation.dedup();
        rotation.shuffle(&mut generator);
        Self {
            settings,
            identity,
            generator,
            rotation,
            next_position: 0,
            link: LinkState::Backoff { until: MonotonicTime::default() },
            redirect: None,
            redirects: 0,
            consecutive_failures: 0,
            held: None,
            sequence: 0,
            pending_renewals: BTreeMap::new(),
            pledges: BTreeMap::new(),
            shortest_pledge: None,
            advanced_at: MonotonicTime::default(),
        }
    }

    /// Returns whether control accepted this process on the current connection.
    pub fn is_established(&self) -> bool {
        matches!(self.link, LinkState::Established { .. })
    }

    /// Returns the status of the ordinal's lease.
    pub fn lease_status(&self, now: MonotonicTime) -> LeaseStatus {
        match self.held {
            Some(held) if now < held.lease_until => LeaseStatus::Held(held.share),
            Some(held) if now < held.confirmed_until => LeaseStatus::Pledged(held.share),
            _ => LeaseStatus::Ended,
        }
    }

    /// Opens a connection after the back-off, and gives up one whose timeout has passed.
    pub fn advance(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        self.advanced_at = now;
        match self.link {
            LinkState::Backoff { until } if now >= until => self.connect(now, actions),
            LinkState::Connecting { since, .. }
                if now.since(since) >= self.settings.connect_timeout =>
            {
                self.fail(now);
            }
            LinkState::Handshake { since, .. }
                if now.since(since) >= self.settings.handshake_timeout =>
            {
                self.fail(now);
            }
            LinkState::Established { last_confirmed, .. }
                if now.since(last_confirmed) >= self.settings.renewal_timeout =>
            {
                self.connect(now, actions);
            }
            _ => {}
        }
    }

    /// Registers with the replica after a connection was opened. Connections to other addresses than the requested
    /// one are ignored.
    pub fn opened(
        &mut self,
        now: MonotonicTime,
        address: SocketAddr,
        revision: RevisionNumber,
        actions: &mut Vec<EntryAction>,
    ) {
        let LinkState::Connecting { address: wanted, .. } = self.link else { return };
        if wanted != address {
            return;
        }
        self.link = LinkState::Handshake { address, since: now };
        let registration = self.identity.registration.clone();
        actions.push(EntryAction::SendControl(EntryMessage::Hello { registration, revision }));
    }

    /// Schedules a reconnection after the connection closed or could not be opened.
    pub fn closed(&mut self, now: MonotonicTime) {
        match self.link {
            LinkState::Backoff { .. } => {}
            LinkState::Established { .. } => {
                // When a leader fails, all entries lose it at once. Jitter spreads their reconnections.
                let wait =
                    self.settings.initial_backoff.mul_f64(self.generator.random_range(0.0..1.0));
                self.link = LinkState::Backoff { until: now + wait };
            }
            LinkState::Connecting { .. } | LinkState::Handshake { .. } => self.fail(now),
        }
    }

    /// Returns whether messages from control should be processed. An abandoned connection may still deliver some.
    pub fn accepts_messages(&self) -> bool {
        matches!(self.link, LinkState::Handshake { .. } | LinkState::Established { .. })
    }

    /// Stores the ordinal that control assigned to this process. The lease starts with the first confirmed renewal,
    /// because the welcome message states no lease.
    pub fn welcome(&mut self, now: MonotonicTime, ordinal: OrdinalNumber, max_ordinals: u32) {
        let share = OrdinalShare { ordinal, max_ordinals };
        if self.held.is_none_or(|held| held.share != share) {
            let ended = MonotonicTime::default();
            self.held = Some(HeldOrdinal { share, lease_until: ended, confirmed_until: ended });
        }
        self.consecutive_failures = 0;
        self.redirects = 0;
        self.pledges.clear();
        self.shortest_pledge = None;
        self.pending_renewals.clear();
        self.link = LinkState::Established { last_confirmed: now, next_renewal: now };
    }

    /// Returns whether it is time to send a renewal.
    pub fn is_renewal_due(&self, now: MonotonicTime) -> bool {
        matches!(self.link, LinkState::Established { next_renewal, .. } if now >= next_renewal)
    }

    /// Makes the next renewal due immediately.
    pub fn make_renewal_due(&mut self, now: MonotonicTime) {
        if let LinkState::Established { next_renewal, .. } = &mut self.link {
            *next_renewal = now;
        }
    }

    /// Sends a lease renewal.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        report: RenewalReport,
        actions: &mut Vec<EntryAction>,
    ) {
        let LinkState::Established { next_renewal, .. } = &mut self.link else { return };
        *next_renewal = now + self.settings.renewal_interval;
        self.sequence += 1;
        self.pending_renewals.insert(self.sequence, now);
        actions.push(EntryAction::SendControl(EntryMessage::Renew {
            sequence: self.sequence,
            revision: report.revision,
            digest: report.digest,
            draining: report.draining,
            demand: report.demand,
        }));
    }

    /// Extends the lease after control confirmed a renewal, counted from the time at which the renewal was sent.
    /// Returns that time, or `None` if a newer renewal was confirmed on this connection before.
    pub fn renewed(
        &mut self,
        now: MonotonicTime,
        sequence: u64,
        lease: Duration,
    ) -> Option<MonotonicTime> {
        let sent = self.pending_renewals.remove(&sequence)?;
        self.pending_renewals.retain(|&other, _| other > sequence);
        if let LinkState::Established { last_confirmed, .. } = &mut self.link {
            *last_confirmed = now;
        }
        let held = self.held.as_mut()?;
        held.lease_until = held.lease_until.max(sent + lease);
        held.confirmed_until = held.confirmed_until.max(held.lease_until);
        Some(sent)
    }

    /// Handles the answer of a replica that is not the leader: counts its pledge, and connects to the leader
    /// that it names or, after a back-off, to the next replica.
    pub fn not_leader(
        &mut self,
        now: MonotonicTime,
        leader: Option<SocketAddr>,
        pledge: Duration,
        actions: &mut Vec<EntryAction>,
    ) {
        if let LinkState::Handshake { address, since } = self.link {
            self.record_pledge(now, address, since, pledge);
        }
        self.redirect = leader;
        if leader.is_some() && self.redirects < self.settings.max_redirects {
            self.redirects += 1;
            self.connect(now, actions);
            return;
        }
        self.fail(now);
    }

    /// Drops the ordinal because control has none for this process.
    pub fn refused(&mut self, now: MonotonicTime) {
        self.held = None;
        self.fail(now);
    }

    /// Sends a message if the session is established. Returns whether it was sent.
    pub fn send(&self, message: EntryMessage, actions: &mut Vec<EntryAction>) -> bool {
        let is_established = self.is_established();
        if is_established {
            actions.push(EntryAction::SendControl(message));
        }
        is_established
    }

    /// Returns the time of the next wake-up. The end of the lease counts only until `advance` has handled it.
    pub fn next_wakeup(&self) -> MonotonicTime {
        let link = match self.link {
            LinkState::Backoff { until } => until,
            LinkState::Connecting { since, .. } => since + self.settings.connect_timeout,
            LinkState::Handshake { since, .. } => since + self.settings.handshake_timeout,
            LinkState::Established { last_confirmed, next_renewal } => {
                next_renewal.min(last_confirmed + self.settings.renewal_timeout)
            }
        };
        match self.held {
            Some(held) if held.confirmed_until > self.advanced_at => link.min(held.confirmed_until),
            _ => link,
        }
    }

    fn connect(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        let Some(address) = self.redirect.take().or_else(|| self.next_in_rotation()) else {
            // No replicas are configured, so the session never connects.
            self.link = LinkState::Backoff { until: MonotonicTime(u64::MAX) };
            return;
        };
        self.pending_renewals.clear();
        self.link = LinkState::Connecting { address, since: now };
        actions.push(EntryAction::ConnectControl(address));
    }

    fn next_in_rotation(&mut self) -> Option<SocketAddr> {
        let address = *self.rotation.get(self.next_position % self.rotation.len().max(1))?;
        self.next_position = (self.next_position + 1) % self.rotation.len();
        Some(address)
    }

    fn fail(&mut self, now: MonotonicTime) {
        let doublings = self.consecutive_failures.min(16);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.redirects = 0;
        let mut wait = self.settings.initial_backoff * 2_u32.pow(doublings);
        wait = wait.min(self.settings.max_backoff);
        if let Some(pledge) = self.shortest_pledge {
            // Each replica must be contacted again before its pledge ends. Half of a rotation's time is reserved
            // for opening connections.
            let replicas = u32::try_from(self.rotation.len()).unwrap_or(u32::MAX).max(1);
            wait = wait.min(pledge / (4 * replicas));
        }
        let wait = wait.mul_f64(self.generator.random_range(0.5..1.5));
        self.link = LinkState::Backoff { until: now + wait };
    }

    /// Records a replica's pledge and extends the use of the ordinal if a majority has pledged. A pledge counts
    /// from the time at which the request it answers was sent. An ordinal whose use has already ended is not
    /// extended, because the state may have changed in the gap.
    fn record_pledge(
        &mut self,
        now: MonotonicTime,
        address: SocketAddr,
        sent: MonotonicTime,
        pledge: Duration,
    ) {
        if !self.rotation.contains(&address) {
            return;
        }
        if pledge.is_zero() {
            return;
        }
        let end = self.pledges.entry(address).or_default();
        *end = (*end).max(sent + pledge);
        self.shortest_pledge =
            Some(self.shortest_pledge.map_or(pledge, |shortest| shortest.min(pledge)));
        let majority = self.rotation.len() / 2 + 1;
        let mut ends: Vec<MonotonicTime> =
            self.pledges.values().copied().filter(|&end| end > now).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&until) = ends.get(majority - 1) else { return };
        let Some(held) = self.held.as_mut() else { return };
        if now < held.confirmed_until {
            held.confirmed_until = held.confirmed_until.max(until);
        }
    }
}
