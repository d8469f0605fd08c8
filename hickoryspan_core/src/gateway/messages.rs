//! Messages of the directory links. Every entry and every control host connects to every control host.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::directory::{AnnouncementAge, TargetAnnouncement, TargetDeparture};
use super::document::DocumentVersion;
use super::document_parts::DocumentPart;
use super::relays::RelayPeer;
use crate::control::interface::ReplicaRecord;
use crate::types::{EntryId, FailureDomain, TargetId};

/// An entry host as callers can reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryHost {
    /// Its name.
    pub entry: EntryId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Where it takes parts of wide fan-outs from other entries.
    pub fanout_address: Option<SocketAddr>,
    /// Whether callers should be sent to it.
    pub open: bool,
}

/// A renewal of an announcement that changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetRenewal {
    /// The target.
    pub target: TargetId,
    /// The new age.
    pub age: AnnouncementAge,
}

/// Numbers the messages of one link that must be confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfirmNumber(pub u64);

/// What the host that opened the link sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryRequest {
    /// An entry reports itself, at once and regularly.
    Entry(EntryHost),
    /// A control host reports itself, at once and regularly.
    Control(ReplicaRecord),
    /// Everything up to this number has been applied.
    Confirm(ConfirmNumber),
    /// An entry asks for the document in force.
    FetchDocument {
        /// The version that it has.
        held: Option<DocumentVersion>,
    },
    /// An entry asks for the last announcements of these targets.
    FetchTargets(Vec<TargetId>),
}

/// What a control host sends over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryUpdate {
    /// Targets that are new or changed.
    Targets(Vec<TargetAnnouncement>),
    /// Targets that left.
    Departures(Vec<TargetDeparture>),
    /// Targets that announced themselves without a change; only control hosts get these, since each of them counts the
    /// leases.
    Renewals(Vec<TargetRenewal>),
    /// Targets that the sender has heard of and that the receiver may know already, with the age of the last change of
    /// each.
    Vouched(Vec<TargetRenewal>),
    /// Targets that the sender has not heard for a whole lease, with the newest announcement it knows of each.
    Silent(Vec<TargetRenewal>),
    /// The open entries of the receiver's failure domain that take parts of wide fan-outs.
    Relays(Vec<RelayPeer>),
    /// The addresses of all known control hosts, and the number of entries.
    Hosts {
        /// Where control hosts take directory links.
        controls: Vec<SocketAddr>,
        /// The number of entries that are linked to the sender.
        entries: u32,
        /// The version of the document in force at the sender.
        document: Option<DocumentVersion>,
    },
    /// A part of the document in force, as a change of what the receiver has.
    Document(Arc<DocumentPart>),
    /// Asks for a confirmation once everything before it has been applied.
    Confirm(ConfirmNumber),
}
