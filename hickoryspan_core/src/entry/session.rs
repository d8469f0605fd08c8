//! The link to control: which replica to use, the ordinal's lease, and the pledges while no leader exists.
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

/// Settings of the link to control.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// Time between renewals; a fifth of the default lease, so that several may be lost.
    pub renewal_interval: Duration,
    /// Longest wait for a link to open.
    pub connect_timeout: Duration,
    /// Longest wait for the first answer on a link; it includes a commit and a confirmed read.
    pub handshake_timeout: Duration,
    /// Longest time without a confirmed renewal on an established link. Two renewals are unanswered by
    /// then, and more than half of the default lease is left to reach another replica.
    pub renewal_timeout: Duration,
    /// Wait after the first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest wait between attempts, before jitter.
    pub max_backoff: Duration,
    /// Redirects followed without a wait; more of them mean that replicas disagree about the leader.
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

/// Whether this process may use its ordinal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The ordinal's lease runs.
    Held(OrdinalShare),
    /// The lease ended, but a majority of replicas pledged that nothing can change.
    Pledged(OrdinalShare),
    /// The ordinal may belong to another process.
    Ended,
}

impl LeaseStatus {
    /// The share that may be used.
    pub fn share(self) -> Option<OrdinalShare> {
        match self {
            Self::Held(share) | Self::Pledged(share) => Some(share),
            Self::Ended => None,
        }
    }
}

/// What a renewal reports.
#[derive(Clone, Debug)]
pub struct RenewalReport {
    /// The revision in force.
    pub revision: RevisionNumber,
    /// Its digest.
    pub digest: StateDigest,
    /// Whether the entry is stopping.
    pub draining: bool,
    /// Demand by caller.
    pub demand: Vec<CallerDemand>,
}

#[derive(Clone, Copy, Debug)]
enum LinkState {
    Waiting { until: MonotonicTime },
    Connecting { address: SocketAddr, since: MonotonicTime },
    Greeting { address: SocketAddr, since: MonotonicTime },
    Established { heard: MonotonicTime, next_renewal: MonotonicTime },
}

#[derive(Clone, Copy, Debug)]
struct OrdinalHold {
    share: OrdinalShare,
    lease_until: MonotonicTime,
    confirmed_until: MonotonicTime,
}

/// The session of this process with the control replicas.
#[derive(Debug)]
pub struct ControlSession {
    settings: SessionSettings,
    identity: EntryIdentity,
    generator: ChaCha12Rng,
    rotation: Vec<SocketAddr>,
    cursor: usize,
    link: LinkState,
    redirect: Option<SocketAddr>,
    redirects: u32,
    failures: u32,
    hold: Option<OrdinalHold>,
    sequence: u64,
    renewals: BTreeMap<u64, MonotonicTime>,
    pledges: BTreeMap<SocketAddr, MonotonicTime>,
    shortest_pledge: Option<Duration>,
    noted: MonotonicTime,
}

impl ControlSession {
    /// A session that connects at its first wake-up, beginning at a random replica.
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
            cursor: 0,
            link: LinkState::Waiting { until: MonotonicTime::default() },
            redirect: None,
            redirects: 0,
            failures: 0,
            hold: None,
            sequence: 0,
            renewals: BTreeMap::new(),
            pledges: BTreeMap::new(),
            shortest_pledge: None,
            noted: MonotonicTime::default(),
        }
    }

    /// Whether control welcomed this process on the current link.
    pub fn is_established(&self) -> bool {
        matches!(self.link, LinkState::Established { .. })
    }

    /// Whether the ordinal may be used now.
    pub fn lease_status(&self, now: MonotonicTime) -> LeaseStatus {
        match self.hold {
            Some(hold) if now < hold.lease_until => LeaseStatus::Held(hold.share),
            Some(hold) if now < hold.confirmed_until => LeaseStatus::Pledged(hold.share),
            _ => LeaseStatus::Ended,
        }
    }

    /// Opens, replaces or gives up links whose time has come.
    pub fn advance(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        self.noted = now;
        match self.link {
            LinkState::Waiting { until } if now >= until => self.connect(now, actions),
            LinkState::Connecting { since, .. }
                if now.since(since) >= self.settings.connect_timeout =>
            {
                self.fail(now);
            }
            LinkState::Greeting { since, .. }
                if now.since(since) >= self.settings.handshake_timeout =>
            {
                self.fail(now);
            }
            LinkState::Established { heard, .. }
                if now.since(heard) >= self.settings.renewal_timeout =>
            {
                self.connect(now, actions);
            }
            _ => {}
        }
    }

    /// A link opened; greets the replica. Links other than the wanted one are ignored.
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
        self.link = LinkState::Greeting { address, since: now };
        let registration = self.identity.registration.clone();
        actions.push(EntryAction::SendControl(EntryMessage::Hello { registration, revision }));
    }

    /// The link closed or could not be opened.
    pub fn closed(&mut self, now: MonotonicTime) {
        match self.link {
            LinkState::Waiting { .. } => {}
            LinkState::Established { .. } => {
                // All entries lose a failed leader at once; the jitter spreads their reconnections.
                let wait =
                    self.settings.initial_backoff.mul_f64(self.generator.random_range(0.0..1.0));
                self.link = LinkState::Waiting { until: now + wait };
            }
            LinkState::Connecting { .. } | LinkState::Greeting { .. } => self.fail(now),
        }
    }

    /// Whether messages of control belong to a link in use; a given-up link may still deliver some.
    pub fn is_listening(&self) -> bool {
        matches!(self.link, LinkState::Greeting { .. } | LinkState::Established { .. })
    }

    /// Control committed an ordinal for this process. Its lease starts with the first confirmed renewal,
    /// because the welcome states no lease.
    pub fn welcome(&mut self, now: MonotonicTime, ordinal: OrdinalNumber, max_ordinals: u32) {
        let share = OrdinalShare { ordinal, max_ordinals };
        if self.hold.is_none_or(|hold| hold.share != share) {
            let ended = MonotonicTime::default();
            self.hold = Some(OrdinalHold { share, lease_until: ended, confirmed_until: ended });
        }
        self.failures = 0;
        self.redirects = 0;
        self.pledges.clear();
        self.shortest_pledge = None;
        self.renewals.clear();
        self.link = LinkState::Established { heard: now, next_renewal: now };
    }

    /// Whether a renewal should be sent now.
    pub fn is_renewal_due(&self, now: MonotonicTime) -> bool {
        matches!(self.link, LinkState::Established { next_renewal, .. } if now >= next_renewal)
    }

    /// Makes the next renewal due at once.
    pub fn make_renewal_due(&mut self, now: MonotonicTime) {
        if let LinkState::Established { next_renewal, .. } = &mut self.link {
            *next_renewal = now;
        }
    }

    /// Sends a renewal.
    pub fn renew(
        &mut self,
        now: MonotonicTime,
        report: RenewalReport,
        actions: &mut Vec<EntryAction>,
    ) {
        let LinkState::Established { next_renewal, .. } = &mut self.link else { return };
        *next_renewal = now + self.settings.renewal_interval;
        self.sequence += 1;
        self.renewals.insert(self.sequence, now);
        actions.push(EntryAction::SendControl(EntryMessage::Renew {
            sequence: self.sequence,
            revision: report.revision,
            digest: report.digest,
            draining: report.draining,
            demand: report.demand,
        }));
    }

    /// Control confirmed a renewal; returns when it was sent, if it is the newest answer on this link.
    pub fn renewed(
        &mut self,
        now: MonotonicTime,
        sequence: u64,
        lease: Duration,
    ) -> Option<MonotonicTime> {
        let sent = self.renewals.remove(&sequence)?;
        self.renewals.retain(|&other, _| other > sequence);
        if let LinkState::Established { heard, .. } = &mut self.link {
            *heard = now;
        }
        let hold = self.hold.as_mut()?;
        hold.lease_until = hold.lease_until.max(sent + lease);
        hold.confirmed_until = hold.confirmed_until.max(hold.lease_until);
        Some(sent)
    }

    /// The replica does not lead; follows its hint or tries another one, and counts its pledge.
    pub fn not_leader(
        &mut self,
        now: MonotonicTime,
        leader: Option<SocketAddr>,
        pledge: Duration,
        actions: &mut Vec<EntryAction>,
    ) {
        if let LinkState::Greeting { address, since } = self.link {
            self.count_pledge(now, address, since, pledge);
        }
        self.redirect = leader;
        if leader.is_some() && self.redirects < self.settings.max_redirects {
            self.redirects += 1;
            self.connect(now, actions);
            return;
        }
        self.fail(now);
    }

    /// Control holds no ordinal for this process.
    pub fn refused(&mut self, now: MonotonicTime) {
        self.hold = None;
        self.fail(now);
    }

    /// Sends a message if the session is established; returns whether it was sent.
    pub fn send(&self, message: EntryMessage, actions: &mut Vec<EntryAction>) -> bool {
        let is_established = self.is_established();
        if is_established {
            actions.push(EntryAction::SendControl(message));
        }
        is_established
    }

    /// When the session wants to be woken; ends of the ordinal's use that were handled are left out.
    pub fn next_wakeup(&self) -> MonotonicTime {
        let link = match self.link {
            LinkState::Waiting { until } => until,
            LinkState::Connecting { since, .. } => since + self.settings.connect_timeout,
            LinkState::Greeting { since, .. } => since + self.settings.handshake_timeout,
            LinkState::Established { heard, next_renewal } => {
                next_renewal.min(heard + self.settings.renewal_timeout)
            }
        };
        match self.hold {
            Some(hold) if hold.confirmed_until > self.noted => link.min(hold.confirmed_until),
            _ => link,
        }
    }

    fn connect(&mut self, now: MonotonicTime, actions: &mut Vec<EntryAction>) {
        let Some(address) = self.redirect.take().or_else(|| self.next_in_rotation()) else {
            // Without a configured replica there is nothing to connect to.
            self.link = LinkState::Waiting { until: MonotonicTime(u64::MAX) };
            return;
        };
        self.renewals.clear();
        self.link = LinkState::Connecting { address, since: now };
        actions.push(EntryAction::ConnectControl(address));
    }

    fn next_in_rotation(&mut self) -> Option<SocketAddr> {
        let address = *self.rotation.get(self.cursor % self.rotation.len().max(1))?;
        self.cursor = (self.cursor + 1) % self.rotation.len();
        Some(address)
    }

    fn fail(&mut self, now: MonotonicTime) {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        self.redirects = 0;
        let mut wait = self.settings.initial_backoff * 2_u32.pow(doublings);
        wait = wait.min(self.settings.max_backoff);
        if let Some(pledge) = self.shortest_pledge {
            // Every replica must be asked again well before its pledge ends; half of a rotation's time is
            // left for opening the links.
            let replicas = u32::try_from(self.rotation.len()).unwrap_or(u32::MAX).max(1);
            wait = wait.min(pledge / (4 * replicas));
        }
        let wait = wait.mul_f64(self.generator.random_range(0.5..1.5));
        self.link = LinkState::Waiting { until: now + wait };
    }

    /// A pledge counts from the sending of the greeting that it answers. It extends the confirmed time only
    /// without a gap, because the state may have changed in a gap.
    fn count_pledge(
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
        let Some(hold) = self.hold.as_mut() else { return };
        if now < hold.confirmed_until {
            hold.confirmed_until = hold.confirmed_until.max(until);
        }
    }
}
