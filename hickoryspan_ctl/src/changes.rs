//! Converts the arguments of commands that change the deployment, except `sheet apply`, to administrative actions.

use std::net::SocketAddr;

use hickoryspan_core::control::interface::{AdminAction, ReplicaRecord};
use hickoryspan_core::types::{EntryId, FailureDomain, ParseValueError, TargetId};

use crate::arguments::{
    AddReplicaArguments, CtlCommand, MemberArguments, MemberKind, QuarantineCommand, ReplicaCommand,
};

/// Returns the action of a command, or `None` if the command changes nothing or is `sheet apply`. The error names the
/// malformed argument.
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

// Rejects wildcard addresses and port 0, because other hosts connect to the address.
fn reachable_address(name: &'static str, text: &str) -> Result<SocketAddr, ParseValueError> {
    let address = text.parse().ok();
    let is_reachable = |address: &SocketAddr| !address.ip().is_unspecified() && address.port() != 0;
    let expected = "an IP address and a port that other hosts reach";
    address.filter(is_reachable).ok_or_else(|| ParseValueError::new(name, text, expected))
}
