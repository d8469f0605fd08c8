//! Settings of a control replica's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use super::interface::ReplicaRecord;
use super::raft::RaftSettings;
use crate::gateway::membership::members::MemberSettings;
use crate::types::ReplicaId;

/// Settings of one control replica.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Address at which other replicas and entries connect to this replica.
    pub peer_address: SocketAddr,
    /// Address at which operators and targets connect to this replica.
    pub http_address: SocketAddr,
    /// Whether this replica starts a new cluster as its only voter if its data folder is empty.
    pub bootstrap: bool,
    /// Settings for adapting the replica set to the control hosts that report themselves. With `None`, operators
    /// change the replica set.
    pub members: Option<MemberSettings>,
    /// Settings of log replication.
    pub raft: RaftSettings,
    /// Time for which a target stays registered after its last announcement.
    pub target_lease: Duration,
    /// Time for which an entry process holds its ordinal, counted from the send time of its last confirmed renewal.
    pub entry_lease: Duration,
    /// Guard time that the leader adds to leases, because clock rates differ.
    pub lease_guard: Duration,
    /// Lease of a granted share of a limit.
    pub share_lease: Duration,
    /// Interval at which the leader checks for expired leases.
    pub sweep_interval: Duration,
    /// Maximum number of targets of one failure domain that one sweep removes.
    pub max_expiries_per_domain: usize,
    /// Number of ordinals for entry processes. The default has one for each of the 14 entry hosts of both tenants and
    /// six for new processes that overlap with old ones during restarts. It is below the 25 connections of the
    /// smallest targets, so that every entry can open a connection to each target.
    pub max_ordinals: u32,
    /// Time for which a claim is kept after its issue time.
    pub claim_retention: Duration,
    /// Maximum number of claims; further claims are rejected. A claim takes about 300 bytes. Encoding a snapshot blocks
    /// the replica for about 0.2 us per claim, which must stay well below the shortest election timeout.
    pub max_claims: u64,
    /// Maximum size in bytes of a target's answer that is kept with the outcome of an order.
    pub max_outcome_bytes: usize,
    /// Maximum number of targets whose announcements are queued for a command.
    pub max_waiting_announcements: usize,
    /// Maximum number of announcements in one command; fewer if they have many partitions.
    pub max_announcements_per_command: usize,
    /// Number of changes kept for deltas. Entries that are further behind receive the whole view.
    pub max_delta_changes: usize,
    /// Retry delay that is sent to clients whose requests could not be served.
    pub retry_after: Duration,
    /// Maximum time that a planned stop waits for another leader.
    pub drain_timeout: Duration,
    /// Number of log entries after which a snapshot is taken, regardless of their size; limits the time of a restart.
    pub snapshot_log_entries: u64,
}

impl ControlSettings {
    /// Returns the default settings for a replica that listens on these addresses.
    pub fn new(peer_address: SocketAddr, http_address: SocketAddr) -> Self {
        Self {
            peer_address,
            http_address,
            bootstrap: false,
            members: None,
            raft: RaftSettings::default(),
            target_lease: Duration::from_secs(6),
            entry_lease: Duration::from_secs(5),
            lease_guard: Duration::from_secs(1),
            share_lease: Duration::from_secs(2),
            sweep_interval: Duration::from_millis(500),
            max_expiries_per_domain: 256,
            max_ordinals: 20,
            claim_retention: Duration::from_secs(48 * 60 * 60),
            max_claims: 1_000_000,
            max_outcome_bytes: 16 * 1024,
            max_waiting_announcements: 8_192,
            max_announcements_per_command: 128,
            max_delta_changes: 65_536,
            retry_after: Duration::from_millis(500),
            drain_timeout: Duration::from_secs(3),
            snapshot_log_entries: 100_000,
        }
    }

    /// Returns the record of this replica as a voter.
    pub fn to_record(&self, replica: ReplicaId) -> ReplicaRecord {
        ReplicaRecord {
            replica,
            peer_address: self.peer_address,
            http_address: self.http_address,
            voter: true,
        }
    }
}
