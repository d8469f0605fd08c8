//! Validates the settings of a run.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryspan_core::types::{CommandId, OperatorId};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::settings::{SettingFaults, SettingsReader};

use crate::arguments::{CtlArguments, CtlCommand, QuarantineCommand, SheetCommand};

/// Default timeout of a run. Long enough for several leader elections.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Identifies a command and the operator who runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandIdentity {
    /// Name of the operator, recorded in the audit log.
    pub operator: OperatorId,
    /// Command id. A resend with the same id does not run the command again.
    pub command: CommandId,
}

/// Addresses of the control replicas, credential and timeout.
#[derive(Clone, Debug)]
pub struct ControlAccess {
    /// HTTP addresses of the control replicas, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// Shared credential, sent with every request.
    pub credential: SharedCredential,
    /// Timeout of the whole run.
    pub timeout: Duration,
}

/// Validated settings of a run.
#[derive(Clone, Debug)]
pub struct CtlSettings {
    /// Access to the control replicas; `None` if the command works offline.
    pub access: Option<ControlAccess>,
    /// Identity of the command; `None` if the command changes nothing.
    pub identity: Option<CommandIdentity>,
    /// Prints JSON instead of tables.
    pub json: bool,
}

/// Access to the control replicas that a command requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequiredAccess {
    Offline,
    Read,
    Write,
}

impl CtlSettings {
    /// Reads and validates all settings. The error lists every fault.
    pub fn read(
        arguments: &CtlArguments,
        mut reader: SettingsReader,
    ) -> Result<Self, SettingFaults> {
        let required = required_access(arguments);
        let access = read_access(arguments, &mut reader, required);
        let identity = match required {
            RequiredAccess::Write => read_identity(arguments, &mut reader),
            RequiredAccess::Offline | RequiredAccess::Read => None,
        };
        let json = arguments.json.then_some("true");
        let json = reader.with_default("json", json, false, "true or false", |_| true);
        reader.finish()?;
        Ok(Self { access, identity, json })
    }
}

fn required_access(arguments: &CtlArguments) -> RequiredAccess {
    match &arguments.command {
        Some(CtlCommand::Sheet(sheet)) => match &sheet.command {
            Some(SheetCommand::Check(check)) if check.offline => RequiredAccess::Offline,
            Some(SheetCommand::Apply(_)) => RequiredAccess::Write,
            Some(_) => RequiredAccess::Read,
            None => RequiredAccess::Offline,
        },
        Some(CtlCommand::Quarantine(quarantine)) => match &quarantine.command {
            Some(QuarantineCommand::Lift(_)) => RequiredAccess::Write,
            Some(QuarantineCommand::List(_)) => RequiredAccess::Read,
            None => RequiredAccess::Offline,
        },
        Some(CtlCommand::Replica(replica)) if replica.command.is_none() => RequiredAccess::Offline,
        Some(CtlCommand::Drain(_) | CtlCommand::Restore(_) | CtlCommand::Replica(_)) => {
            RequiredAccess::Write
        }
        Some(CtlCommand::Status(_) | CtlCommand::Targets(_) | CtlCommand::History(_)) => {
            RequiredAccess::Read
        }
        // It asks an entry, not the control replicas.
        Some(CtlCommand::Explain(_)) | None => RequiredAccess::Offline,
    }
}

fn read_access(
    arguments: &CtlArguments,
    reader: &mut SettingsReader,
    required: RequiredAccess,
) -> Option<ControlAccess> {
    const FLAG: &str = "control-addresses";
    const ACCEPTED: &str = "IP addresses with ports, comma-separated, such as 127.0.0.1:7101";
    let timeout = reader.duration(
        "timeout",
        arguments.timeout.as_deref(),
        DEFAULT_TIMEOUT,
        MIN_TIMEOUT..=MAX_TIMEOUT,
    );
    if required == RequiredAccess::Offline {
        return None;
    }
    let text =
        reader.required::<String>(FLAG, arguments.control_addresses.as_deref(), ACCEPTED, |text| {
            !text.trim().is_empty()
        });
    let addresses: Vec<SocketAddr> = match &text {
        Some(text) => reader.list(FLAG, Some(text), ACCEPTED),
        None => Vec::new(),
    };
    let credential = reader.credential(arguments.credential_file.as_deref());
    Some(ControlAccess { addresses, credential: credential?, timeout })
}

fn read_identity(arguments: &CtlArguments, reader: &mut SettingsReader) -> Option<CommandIdentity> {
    const ACCEPTED: &str = "1 to 128 ASCII letters, digits and -_.:/";
    let operator = reader.required("operator", arguments.operator.as_deref(), ACCEPTED, |_| true);
    // 128 random bits make collisions negligible.
    let random = format!("{:032x}", rand::random::<u128>());
    let value = arguments.command_id.as_deref();
    let command = reader.optional("command-id", value, ACCEPTED, |_: &CommandId| true);
    let command = command.or_else(|| CommandId::new(random).ok());
    Some(CommandIdentity { operator: operator?, command: command? })
}
