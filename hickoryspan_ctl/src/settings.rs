//! Checked settings of one run.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryspan_core::types::{CommandId, OperatorId};
use hickoryspan_runtime::credential::SharedCredential;
use hickoryspan_runtime::settings::{SettingFaults, SettingsReader};

use crate::arguments::{CtlArguments, CtlCommand, QuarantineCommand, SheetCommand};

/// Default time for a run, several elections long.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Who asks, and the command's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandIdentity {
    /// The operator.
    pub operator: OperatorId,
    /// The command id, the same one for a resend.
    pub command: CommandId,
}

/// Where and how to reach control.
#[derive(Clone, Debug)]
pub struct ControlAccess {
    /// The HTTP addresses, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// The shared credential.
    pub credential: SharedCredential,
    /// Time for the whole run.
    pub timeout: Duration,
}

/// Checked settings of one run.
#[derive(Clone, Debug)]
pub struct CtlSettings {
    /// Access to control; absent if the command works offline.
    pub access: Option<ControlAccess>,
    /// The command's identity; absent if the command changes nothing.
    pub identity: Option<CommandIdentity>,
    /// Print JSON.
    pub json: bool,
}

/// What a command needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandNeeds {
    Nothing,
    Reading,
    Changing,
}

impl CtlSettings {
    /// Checks all settings; the error lists every fault.
    pub fn read(
        arguments: &CtlArguments,
        mut reader: SettingsReader,
    ) -> Result<Self, SettingFaults> {
        let needs = command_needs(arguments);
        let access = read_access(arguments, &mut reader, needs);
        let identity = match needs {
            CommandNeeds::Changing => read_identity(arguments, &mut reader),
            CommandNeeds::Nothing | CommandNeeds::Reading => None,
        };
        let json = arguments.json.then_some("true");
        let json = reader.with_default("json", json, false, "true or false", |_| true);
        reader.finish()?;
        Ok(Self { access, identity, json })
    }
}

fn command_needs(arguments: &CtlArguments) -> CommandNeeds {
    match &arguments.command {
        Some(CtlCommand::Sheet(sheet)) => match &sheet.command {
            Some(SheetCommand::Check(check)) if check.offline => CommandNeeds::Nothing,
            Some(SheetCommand::Apply(_)) => CommandNeeds::Changing,
            Some(_) => CommandNeeds::Reading,
            None => CommandNeeds::Nothing,
        },
        Some(CtlCommand::Quarantine(quarantine)) => match &quarantine.command {
            Some(QuarantineCommand::Lift(_)) => CommandNeeds::Changing,
            Some(QuarantineCommand::List(_)) => CommandNeeds::Reading,
            None => CommandNeeds::Nothing,
        },
        Some(CtlCommand::Replica(replica)) if replica.command.is_none() => CommandNeeds::Nothing,
        Some(CtlCommand::Drain(_) | CtlCommand::Restore(_) | CtlCommand::Replica(_)) => {
            CommandNeeds::Changing
        }
        Some(CtlCommand::Status(_) | CtlCommand::Targets(_) | CtlCommand::History(_)) => {
            CommandNeeds::Reading
        }
        None => CommandNeeds::Nothing,
    }
}

fn read_access(
    arguments: &CtlArguments,
    reader: &mut SettingsReader,
    needs: CommandNeeds,
) -> Option<ControlAccess> {
    const FLAG: &str = "control-addresses";
    const ACCEPTED: &str = "IP addresses with ports, comma-separated, such as 127.0.0.1:7101";
    let timeout = reader.duration(
        "timeout",
        arguments.timeout.as_deref(),
        DEFAULT_TIMEOUT,
        MIN_TIMEOUT..=MAX_TIMEOUT,
    );
    if needs == CommandNeeds::Nothing {
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
    // A random id of 128 bits is not used twice.
    let random = format!("{:032x}", rand::random::<u128>());
    let given = arguments.command_id.as_deref();
    let command = reader.optional("command-id", given, ACCEPTED, |_: &CommandId| true);
    let command = command.or_else(|| CommandId::new(random).ok());
    Some(CommandIdentity { operator: operator?, command: command? })
}
