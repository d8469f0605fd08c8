//! Messages on the directory links. Every entry and every control host connects to every control
//! host.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::entry_list::{EntryListChange, OpenEntry};
use crate::control::interface::ReplicaRecord;
use crate::gateway::admission::limit_gate::{DemandTotals, ServiceDemand};
use crate::gateway::admission::quota::{PermitAnswer, PermitRequest, QuotaChange, QuotaCounts};
use crate::gateway::admission::target_limits::LimitRecord;
use crate::gateway::documents::document::DocumentVersion;
use crate::gateway::documents::document_parts::DocumentPart;
use crate::gateway::fanouts::relays::RelayPeer;
use crate::gateway::targets::directory::{AnnouncementAge, TargetAnnouncement, TargetDeparture};
use crate::gateway::targets::evacuations::EvacuationState;
use crate::gateway::targets::poison::SuspicionRecord;
use crate::types::{EntryId, FailureDomain, TargetId};

/// Which messages a process understands. Each end of a link reports its own version, and gets none of a
/// later one, so that a rolling upgrade needs no order of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkVersion(pub u16);

impl LinkVersion {
    /// The first version that knows heartbeats and compressed frames, and takes the entries for wide
    /// fan-outs from the list of open entries.
    pub const HEARTBEATS: Self = Self(1);
    /// The first version that knows [`DirectoryUpdate::Evacuations`].
    pub const EVACUATIONS: Self = Self(2);
    /// The first version that counts the requests of accounts with a quota.
    pub const QUOTAS: Self = Self(3);
    /// The version of this release.
    pub const CURRENT: Self = Self::QUOTAS;
}

/// An entry host and the addresses at which it can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryHost {
    /// Name of the entry.
    pub entry: EntryId,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Address at which it accepts parts of wide fan-outs from other entries, if it does.
    pub fanout_address: Option<SocketAddr>,
    /// Whether callers may be directed to it.
    pub open: bool,
    /// Whether it has too little processor time, so that callers should prefer other entries.
    #[serde(default)]
    pub lagging: bool,
    /// Version of the messages that it understands.
    #[serde(default)]
    pub link_version: LinkVersion,
}

impl EntryHost {
    /// Returns what other entries and callers need to know of this one.
    pub fn to_open_entry(&self) -> OpenEntry {
        let relay =
            self.fanout_address.map(|address| RelayPeer { entry: self.entry.clone(), address });
        OpenEntry { caller_address: self.caller_address, domain: self.domain.clone(), relay }
    }
}

/// The renewal of an announcement without any other change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetRenewal {
    /// The target.
    pub target: TargetId,
    /// The start time and sequence number of the newest announcement.
    pub age: AnnouncementAge,
}

/// Number of a confirmation request. Each control host numbers its requests in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfirmNumber(pub u64);

/// A message from the host that opened the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryRequest {
    /// An entry reports itself, immediately after connecting and then at regular intervals.
    Entry(EntryHost),
    /// The last report of the entry on this link still holds. Sent only to control hosts that understand it.
    Unchanged,
    /// A control host reports itself, immediately after connecting and then at regular intervals.
    Control(ReplicaRecord),
    /// All messages before the confirmation request with this number have been applied.
    Confirm(ConfirmNumber),
    /// An entry requests the document in force.
    FetchDocument {
        /// The version that the entry already has.
        held: Option<DocumentVersion>,
    },
    /// An entry requests the latest announcements of these targets.
    FetchTargets(Vec<TargetId>),
    /// What an entry knows of requests that crash targets, as far as it changed since the last such message.
    Suspicions(Vec<SuspicionRecord>),
    /// The limits of targets that an entry knows, as far as they changed since the last such message.
    Limits(Vec<LimitRecord>),
    /// An entry's own demand for the services that have limited targets, at regular intervals.
    Demands(Vec<ServiceDemand>),
    /// The requests of accounts with a quota that an entry has admitted, as far as they changed since the last such
    /// message. Sent only to control hosts that understand it, as is [`Self::AskPermits`].
    QuotaCounts(QuotaCounts),
    /// An entry needs permits for requests of an account. Answered with [`DirectoryUpdate::Permits`].
    AskPermits(PermitRequest),
}

/// A message from a control host over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryUpdate {
    /// New or changed targets.
    Targets(Vec<TargetAnnouncement>),
    /// Targets that have left.
    Departures(Vec<TargetDeparture>),
    /// Renewals of targets that changed nothing else. Only control hosts receive these, because
    /// each of them tracks the leases itself.
    Renewals(Vec<TargetRenewal>),
    /// Targets that are alive at the sender, with the age of each one's last change. The receiver
    /// fetches the announcements that it does not have.
    Vouched(Vec<TargetRenewal>),
    /// Targets whose lease expired at the sender, with the age of the newest announcement that it
    /// knows of each.
    Silent(Vec<TargetRenewal>),
    /// The open entries of the receiver's failure domain that accept parts of wide fan-outs. Sent only to entries of
    /// the earlier release; others learn them with [`Self::Entries`].
    Relays(Vec<RelayPeer>),
    /// Changes among the open entries of all failure domains, for callers that look up entries.
    Entries(EntryListChange),
    /// The known control hosts, the number of entries and the version of the document in force.
    Hosts {
        /// Addresses at which control hosts accept directory links.
        controls: Vec<SocketAddr>,
        /// Number of entries that are connected to the sender.
        entries: u32,
        /// Version of the document in force at the sender, if there is one.
        document: Option<DocumentVersion>,
        /// Version of the messages that the sender understands.
        #[serde(default)]
        link_version: LinkVersion,
    },
    /// The last [`Self::Hosts`] on this link still holds. Sent only to entries that understand it.
    Unchanged,
    /// What the sender knows of requests that crash targets: everything on a new link, then what changes.
    Suspicions(Vec<SuspicionRecord>),
    /// The limits of targets: all on a new link, then what changes.
    Limits(Vec<LimitRecord>),
    /// The demand of all entries for the services that have limited targets, at regular intervals.
    Demands(DemandTotals),
    /// What changed in the sender's count of the requests of accounts. Sent only to entries that understand it.
    Quotas(QuotaChange),
    /// The answer to [`DirectoryRequest::AskPermits`].
    Permits(PermitAnswer),
    /// The evacuated failure domains: on a new link, then at each change. Sent only to entries that understand it.
    Evacuations(EvacuationState),
    /// A part of the document in force, as a change to the version that the receiver has.
    Document(Arc<DocumentPart>),
    /// Requests a confirmation once all earlier messages have been applied.
    Confirm(ConfirmNumber),
}
