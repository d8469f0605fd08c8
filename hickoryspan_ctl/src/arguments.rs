//! Flags and subcommands.

use std::fmt;
use std::process::ExitCode;
use std::str::FromStr;

use gumdrop::Options;
use hickoryspan_core::types::{ParseValueError, ReplicaId, RequestFingerprint, SheetNumber};
use hickoryspan_runtime::settings::SETTINGS_EXIT_CODE;
use hickoryspan_sheet::SheetDate;

/// The program's name in its own messages.
const PROGRAM: &str = "hickoryspan-ctl";

/// Operates a deployment through its control replicas.
///
/// General flags stand before the subcommand; each has an environment variable: --json is HICKORYSPAN_JSON.
///
/// Exit codes: 0 done; 1 refused, nothing changed; 2 wrong arguments, settings or files; 3 outcome unknown, run
/// again with the same command id; 4 accepted, but not in force everywhere within the timeout; 5 no control
/// replica took the request, nothing changed.
#[derive(Debug, Default, Options)]
pub struct CtlArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Prints the version.
    #[options(help = "print the version", no_short)]
    pub version: bool,
    /// The HTTP addresses of the control replicas.
    #[options(
        help = "HTTP addresses of the control replicas, comma-separated (required unless offline)",
        no_short,
        meta = "ADDRESSES"
    )]
    pub control_addresses: Option<String>,
    /// The credential file.
    #[options(
        help = "file with the shared credential; or variable HICKORYSPAN_CREDENTIAL (required unless offline)",
        no_short,
        meta = "FILE"
    )]
    pub credential_file: Option<String>,
    /// The operator's name.
    #[options(help = "your name for the audit (required for changes)", no_short, meta = "NAME")]
    pub operator: Option<String>,
    /// The command id.
    #[options(
        help = "name of this command, the same one for a resend (default: random and printed)",
        no_short,
        meta = "ID"
    )]
    pub command_id: Option<String>,
    /// Prints JSON.
    #[options(help = "print JSON instead of tables (default false)", no_short)]
    pub json: bool,
    /// The time limit.
    #[options(
        help = "time for the whole run, 100ms to 1h (default 30s)",
        no_short,
        meta = "DURATION"
    )]
    pub timeout: Option<String>,
    /// The subcommand.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// A subcommand.
#[derive(Debug, Options)]
pub enum CtlCommand {
    /// Sheets.
    #[options(help = "check, apply, show and compare sheets")]
    Sheet(SheetArguments),
    /// The state of the deployment.
    #[options(help = "show replicas, leader, revision and entries")]
    Status(PlainArguments),
    /// The targets.
    #[options(help = "show the registered targets")]
    Targets(PlainArguments),
    /// Requests held back.
    #[options(help = "list and lift quarantined requests")]
    Quarantine(QuarantineArguments),
    /// Stops new work for a member.
    #[options(help = "stop new work for a target, entry or failure domain")]
    Drain(MemberArguments),
    /// Ends a drain.
    #[options(help = "end a drain")]
    Restore(MemberArguments),
    /// Control replicas.
    #[options(help = "add and remove control replicas")]
    Replica(ReplicaArguments),
    /// Audit records.
    #[options(help = "show the operators' commands and their outcomes, newest first")]
    History(HistoryArguments),
}

/// Takes no further flags.
#[derive(Debug, Default, Options)]
pub struct PlainArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
}

/// Checks, applies, shows and compares sheets.
#[derive(Debug, Default, Options)]
pub struct SheetArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The subcommand.
    #[options(command)]
    pub command: Option<SheetCommand>,
}

/// A subcommand of `sheet`.
#[derive(Debug, Options)]
pub enum SheetCommand {
    /// Reads a file.
    #[options(help = "list all faults of a file, or what it would change")]
    Check(CheckArguments),
    /// Submits a file.
    #[options(help = "submit a file as the new configuration of both tenants")]
    Apply(ApplyArguments),
    /// Shows an accepted sheet.
    #[options(help = "show the sheet in force or an accepted one")]
    Show(ShowArguments),
    /// Lists accepted sheets.
    #[options(help = "show submitted sheets and their outcomes, newest first")]
    History(HistoryArguments),
    /// Compares two accepted sheets.
    #[options(help = "show what changes from one accepted sheet to another")]
    Diff(DiffArguments),
}

/// Lists all faults of a file, or what it would change. Changes nothing.
#[derive(Debug, Default, Options)]
pub struct CheckArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "sheet as CSV")]
    pub file: String,
    /// The expected date.
    #[options(
        help = "day for which the sheet must hold (default today, UTC)",
        no_short,
        meta = "YYYY-MM-DD"
    )]
    pub date: Option<SheetDate>,
    /// Leaves out the comparison.
    #[options(help = "do not compare with the sheet in force", no_short)]
    pub offline: bool,
}

/// Submits a file as the new configuration of both tenants.
#[derive(Debug, Default, Options)]
pub struct ApplyArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "sheet as CSV")]
    pub file: String,
    /// The expected date.
    #[options(
        help = "day for which the sheet must hold (default today, UTC)",
        no_short,
        meta = "YYYY-MM-DD"
    )]
    pub date: Option<SheetDate>,
    /// Confirmed removals.
    #[options(
        help = "name that the sheet may remove, as a refusal or sheet check prints it; repeatable",
        no_short,
        meta = "NAME"
    )]
    pub confirm_removal: Vec<String>,
    /// Waits for the entries.
    #[options(help = "wait until the sheet is in force at every entry", no_short)]
    pub wait: bool,
}

/// Prints an accepted sheet as CSV.
#[derive(Debug, Default, Options)]
pub struct ShowArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The number.
    #[options(free, help = "number of an accepted sheet (default the one in force)")]
    pub number: Option<SheetNumber>,
}

/// Prints what changes from one accepted sheet to another.
#[derive(Debug, Default, Options)]
pub struct DiffArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The old sheet.
    #[options(free, required, help = "number of the old sheet")]
    pub old: SheetNumber,
    /// The new sheet.
    #[options(free, required, help = "number of the new sheet")]
    pub new: SheetNumber,
}

/// Prints decided commands, newest first.
#[derive(Debug, Default, Options)]
pub struct HistoryArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The number of records.
    #[options(
        help = "audit records to read, at most 1000 (default 1000)",
        no_short,
        meta = "COUNT"
    )]
    pub limit: Option<u32>,
}

/// Lists and lifts quarantined requests.
#[derive(Debug, Default, Options)]
pub struct QuarantineArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The subcommand.
    #[options(command)]
    pub command: Option<QuarantineCommand>,
}

/// A subcommand of `quarantine`.
#[derive(Debug, Options)]
pub enum QuarantineCommand {
    /// Lists the records.
    #[options(help = "list the requests held back")]
    List(PlainArguments),
    /// Frees a request.
    #[options(help = "free a request")]
    Lift(LiftArguments),
}

/// Frees a quarantined request.
#[derive(Debug, Default, Options)]
pub struct LiftArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The request.
    #[options(free, required, help = "fingerprint as quarantine list prints it")]
    pub fingerprint: RequestFingerprint,
}

/// What a drain concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberKind {
    /// One target.
    #[default]
    Target,
    /// One entry.
    Entry,
    /// All members of a failure domain.
    Domain,
}

impl fmt::Display for MemberKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Target => "target",
            Self::Entry => "entry",
            Self::Domain => "domain",
        })
    }
}

impl FromStr for MemberKind {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "target" => Ok(Self::Target),
            "entry" => Ok(Self::Entry),
            "domain" => Ok(Self::Domain),
            _ => Err(ParseValueError::new("MemberKind", text, "target, entry or domain")),
        }
    }
}

/// Stops new work for a member (drain), or ends that (restore).
#[derive(Debug, Default, Options)]
pub struct MemberArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The kind of the member.
    #[options(free, required, help = "target, entry or domain")]
    pub kind: MemberKind,
    /// The member's name.
    #[options(free, required, help = "name as status or targets prints it")]
    pub name: String,
}

/// Adds and removes control replicas.
#[derive(Debug, Default, Options)]
pub struct ReplicaArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The subcommand.
    #[options(command)]
    pub command: Option<ReplicaCommand>,
}

/// A subcommand of `replica`.
#[derive(Debug, Options)]
pub enum ReplicaCommand {
    /// Adds a replica.
    #[options(help = "add a replica; it votes once it holds the state")]
    Add(AddReplicaArguments),
    /// Removes a replica.
    #[options(help = "remove a replica")]
    Remove(RemoveReplicaArguments),
}

/// Adds a control replica as a learner; it votes once it holds the state.
#[derive(Debug, Default, Options)]
pub struct AddReplicaArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The identity.
    #[options(free, required, help = "identity that --initialize printed")]
    pub replica: ReplicaId,
    /// The peer address.
    #[options(free, required, help = "its --peer-address as IP:PORT")]
    pub peer_address: String,
    /// The HTTP address.
    #[options(free, required, help = "its --http-address as IP:PORT")]
    pub http_address: String,
}

/// Removes a control replica.
#[derive(Debug, Default, Options)]
pub struct RemoveReplicaArguments {
    /// Prints the flags.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// The identity.
    #[options(free, required, help = "identity as status prints it")]
    pub replica: ReplicaId,
}

/// Parses the process's arguments, and answers `--help` and `--version`; the error is the exit code.
pub fn parse_arguments(arguments: &[String]) -> Result<CtlArguments, ExitCode> {
    let parsed = CtlArguments::parse_args_default(arguments).map_err(|error| {
        eprintln!("{PROGRAM}: {error}");
        ExitCode::from(SETTINGS_EXIT_CODE as u8)
    })?;
    if parsed.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    if parsed.help_requested() {
        println!("{}", help_text(&parsed));
        return Err(ExitCode::SUCCESS);
    }
    Ok(parsed)
}

/// The help of the innermost subcommand.
pub fn help_text(arguments: &CtlArguments) -> String {
    let mut options: &dyn Options = arguments;
    let mut usage = PROGRAM.to_owned();
    while let Some(command) = options.command() {
        options = command;
        usage.extend(command.command_name().map(|name| format!(" {name}")));
    }
    let mut text = format!("Usage: {usage} [OPTIONS]\n\n{}", options.self_usage());
    if let Some(commands) = options.self_command_list() {
        text.push_str(&format!("\n\nCommands:\n{commands}"));
    }
    text
}
