//! The changes that commands other than `sheet apply` ask for.

use std::net::SocketAddr;

use hickoryspan_core::control::interface::{AdminAction, ReplicaRecord};
use hickoryspan_core::types::{EntryId, FailureDomain, ParseValueError, TargetId};

use crate::arguments::{
    AddReplicaArguments, CtlCommand, MemberArguments, MemberKind, QuarantineCommand, ReplicaCommand,
};

/// The change that a command asks for, if it is one; the error names the malformed argument.
pub(crate) fn read_change(command: &CtlCommand) -> Result<Option<AdminAction>, ParseValueError> {
    let change = match command {
        CtlCommand::Drain(member) => drain(member)?,
        CtlCommand::Restore(member) => restore(member)?,
        CtlCommand::Quarantine(quarantine) => match &quarantine.command {
            Some(QuarantineCommand::Lift(lift)) => AdminAction::LiftQuarantine(lift.fingerprint),
            _ => return Ok(None),
        },
        CtlCommand::Replica(replica) => match &replica.command {
            Some(ReplicaCommand::Add(add)) => AdminAction::AddReplica(replica_record(add)?),
            Some(ReplicaCommand::Remove(remove)) => AdminAction::RemoveReplica(remove.replica),
            None => return Ok(None),
        },
        _ => return Ok(None),
    };
    Ok(Some(change))
}

fn drain(member: &MemberArguments) -> Result<AdminAction, ParseValueError> {
    let name = member.name.as_str();
    Ok(match member.kind {
        MemberKind::Target => AdminAction::DrainTarget(TargetId::new(name)?),
        MemberKind::Entry => AdminAction::DrainEntry(EntryId::new(name)?),
        MemberKind::Domain => AdminAction::DrainDomain(FailureDomain::new(name)?),
    })
}

fn restore(member: &MemberArguments) -> Result<AdminAction, ParseValueError> {
    let name = member.name.as_str();
    Ok(match member.kind {
        MemberKind::Target => AdminAction::RestoreTarget(TargetId::new(name)?),
        MemberKind::Entry => AdminAction::RestoreEntry(EntryId::new(name)?),
        MemberKind::Domain => AdminAction::RestoreDomain(FailureDomain::new(name)?),
    })
}

fn replica_record(arguments: &AddReplicaArguments) -> Result<ReplicaRecord, ParseValueError> {
    Ok(ReplicaRecord {
        replica: arguments.replica,
        peer_address: reachable_address("peer_address", &arguments.peer_address)?,
        http_address: reachable_address("http_address", &arguments.http_address)?,
        voter: false,
    })
}

// Other hosts connect to these addresses, so that a wildcard or port 0 cannot be meant.
fn reachable_address(name: &'static str, text: &str) -> Result<SocketAddr, ParseValueError> {
    let address = text.parse().ok();
    let is_reachable = |address: &SocketAddr| !address.ip().is_unspecified() && address.port() != 0;
    let expected = "an IP address and a port that other hosts reach";
    address.filter(is_reachable).ok_or_else(|| ParseValueError::new(name, text, expected))
}
