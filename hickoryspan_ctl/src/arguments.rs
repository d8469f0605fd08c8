//! Command line arguments: flags and subcommands.
//!
//! The help text prints the doc comments of the argument types.

use std::fmt;
use std::process::ExitCode;
use std::str::FromStr;

use gumdrop::Options;
use hickoryspan_core::types::{ParseValueError, ReplicaId, RequestFingerprint, SheetNumber};
use hickoryspan_runtime::settings::SETTINGS_EXIT_CODE;
use hickoryspan_sheet::SheetDate;

/// Name of the program in messages and usage lines.
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
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Prints the version and exits.
    #[options(help = "print the version", no_short)]
    pub version: bool,
    /// HTTP addresses of the control replicas, separated by commas.
    #[options(
        help = "HTTP addresses of the control replicas, comma-separated (required unless offline)",
        no_short,
        meta = "ADDRESSES"
    )]
    pub control_addresses: Option<String>,
    /// File that contains the shared credential.
    #[options(
        help = "file with the shared credential; or variable HICKORYSPAN_CREDENTIAL (required unless offline)",
        no_short,
        meta = "FILE"
    )]
    pub credential_file: Option<String>,
    /// Name of the operator for the audit log; required for commands that change the deployment.
    #[options(help = "your name for the audit (required for changes)", no_short, meta = "NAME")]
    pub operator: Option<String>,
    /// Command id; random if `None`.
    #[options(
        help = "name of this command, the same one for a resend (default: random and printed)",
        no_short,
        meta = "ID"
    )]
    pub command_id: Option<String>,
    /// Prints JSON instead of tables.
    #[options(help = "print JSON instead of tables (default false)", no_short)]
    pub json: bool,
    /// Timeout of the whole run.
    #[options(
        help = "time for the whole run, 100ms to 1h (default 30s)",
        no_short,
        meta = "DURATION"
    )]
    pub timeout: Option<String>,
    /// Selected subcommand; `None` if it is missing.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// A top-level subcommand.
#[derive(Debug, Options)]
pub enum CtlCommand {
    /// Checks, applies, shows and compares sheets.
    #[options(help = "check, apply, show and compare sheets")]
    Sheet(SheetArguments),
    /// Shows control replicas, leader, revision and entries.
    #[options(help = "show replicas, leader, revision and entries")]
    Status(PlainArguments),
    /// Lists the registered targets.
    #[options(help = "show the registered targets")]
    Targets(PlainArguments),
    /// Lists and lifts quarantined requests.
    #[options(help = "list and lift quarantined requests")]
    Quarantine(QuarantineArguments),
    /// Drains a target, an entry or a failure domain.
    #[options(help = "stop new work for a target, entry or failure domain")]
    Drain(MemberArguments),
    /// Ends the drain of a target, an entry or a failure domain.
    #[options(help = "end a drain")]
    Restore(MemberArguments),
    /// Adds and removes control replicas.
    #[options(help = "add and remove control replicas")]
    Replica(ReplicaArguments),
    /// Lists the commands of operators and their outcomes, newest first.
    #[options(help = "show the operators' commands and their outcomes, newest first")]
    History(HistoryArguments),
    /// Explains where an entry would send a request.
    #[options(help = "explain where an entry would send a request now, without sending it")]
    Explain(ExplainArguments),
}

/// Explains where an entry would send a request now and why. Sends nothing to targets.
#[derive(Debug, Default, Options)]
pub struct ExplainArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Address of the entry's metrics.
    #[options(free, required, help = "metrics address of the entry as IP:PORT")]
    pub entry: String,
    /// Host that the caller names.
    #[options(free, required, help = "host that the caller names")]
    pub host: String,
    /// Path and query of the request.
    #[options(free, required, help = "path and query of the request")]
    pub path: String,
    /// HTTP method; `GET` if it is not given.
    #[options(help = "HTTP method (default GET)", no_short, meta = "METHOD")]
    pub method: Option<String>,
    /// File with the caller's key. A flag with the key itself would show it to other users of the host.
    #[options(help = "file with the key of the caller (default: no key)", no_short, meta = "FILE")]
    pub key_file: Option<String>,
}

/// Takes no further flags.
#[derive(Debug, Default, Options)]
pub struct PlainArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
}

/// Checks, applies, shows and compares sheets.
#[derive(Debug, Default, Options)]
pub struct SheetArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Selected subcommand; `None` if it is missing.
    #[options(command)]
    pub command: Option<SheetCommand>,
}

/// A subcommand of `sheet`.
#[derive(Debug, Options)]
pub enum SheetCommand {
    /// Validates a sheet and compares it with the one in force.
    #[options(help = "list all faults of a file, or what it would change")]
    Check(CheckArguments),
    /// Submits a sheet.
    #[options(help = "submit a file as the new configuration of both tenants")]
    Apply(ApplyArguments),
    /// Shows an accepted sheet.
    #[options(help = "show the sheet in force or an accepted one")]
    Show(ShowArguments),
    /// Lists submitted sheets and their outcomes, newest first.
    #[options(help = "show submitted sheets and their outcomes, newest first")]
    History(HistoryArguments),
    /// Compares two accepted sheets.
    #[options(help = "show what changes from one accepted sheet to another")]
    Diff(DiffArguments),
}

/// Lists all faults of a file, or what it would change. Changes nothing.
#[derive(Debug, Default, Options)]
pub struct CheckArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Path of the sheet.
    #[options(free, required, help = "sheet as CSV")]
    pub file: String,
    /// Date that the sheet must have; today in UTC if `None`.
    #[options(
        help = "day for which the sheet must hold (default today, UTC)",
        no_short,
        meta = "YYYY-MM-DD"
    )]
    pub date: Option<SheetDate>,
    /// Skips the comparison with the sheet in force.
    #[options(help = "do not compare with the sheet in force", no_short)]
    pub offline: bool,
}

/// Submits a file as the new configuration of both tenants.
#[derive(Debug, Default, Options)]
pub struct ApplyArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Path of the sheet.
    #[options(free, required, help = "sheet as CSV")]
    pub file: String,
    /// Date that the sheet must have; today in UTC if `None`.
    #[options(
        help = "day for which the sheet must hold (default today, UTC)",
        no_short,
        meta = "YYYY-MM-DD"
    )]
    pub date: Option<SheetDate>,
    /// Names of the rows that the sheet may remove.
    #[options(
        help = "name that the sheet may remove, as a refusal or sheet check prints it; repeatable",
        no_short,
        meta = "NAME"
    )]
    pub confirm_removal: Vec<String>,
    /// Waits until the sheet is in force at every entry.
    #[options(help = "wait until the sheet is in force at every entry", no_short)]
    pub wait: bool,
}

/// Prints an accepted sheet as CSV.
#[derive(Debug, Default, Options)]
pub struct ShowArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Number of an accepted sheet; the sheet in force if `None`.
    #[options(free, help = "number of an accepted sheet (default the one in force)")]
    pub number: Option<SheetNumber>,
}

/// Prints what changes from one accepted sheet to another.
#[derive(Debug, Default, Options)]
pub struct DiffArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Number of the old sheet.
    #[options(free, required, help = "number of the old sheet")]
    pub old: SheetNumber,
    /// Number of the new sheet.
    #[options(free, required, help = "number of the new sheet")]
    pub new: SheetNumber,
}

/// Prints decided commands, newest first.
#[derive(Debug, Default, Options)]
pub struct HistoryArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Maximum number of audit records to read; 1000 if `None`.
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
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Selected subcommand; `None` if it is missing.
    #[options(command)]
    pub command: Option<QuarantineCommand>,
}

/// A subcommand of `quarantine`.
#[derive(Debug, Options)]
pub enum QuarantineCommand {
    /// Lists the quarantined requests.
    #[options(help = "list the requests held back")]
    List(PlainArguments),
    /// Lifts the quarantine of a request.
    #[options(help = "free a request")]
    Lift(LiftArguments),
}

/// Frees a quarantined request.
#[derive(Debug, Default, Options)]
pub struct LiftArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Fingerprint of the quarantined request.
    #[options(free, required, help = "fingerprint as quarantine list prints it")]
    pub fingerprint: RequestFingerprint,
}

/// Kind of member that a drain applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberKind {
    /// A single target.
    #[default]
    Target,
    /// A single entry.
    Entry,
    /// All targets and entries of a failure domain.
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
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Kind of the member.
    #[options(free, required, help = "target, entry or domain")]
    pub kind: MemberKind,
    /// Name of the target, entry or failure domain.
    #[options(free, required, help = "name as status or targets prints it")]
    pub name: String,
}

/// Adds and removes control replicas.
#[derive(Debug, Default, Options)]
pub struct ReplicaArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Selected subcommand; `None` if it is missing.
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
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Identity that the replica printed when its data folder was initialized.
    #[options(free, required, help = "identity that --initialize printed")]
    pub replica: ReplicaId,
    /// Address for replication with the other replicas.
    #[options(free, required, help = "its --peer-address as IP:PORT")]
    pub peer_address: String,
    /// Address of the administration API.
    #[options(free, required, help = "its --http-address as IP:PORT")]
    pub http_address: String,
}

/// Removes a control replica.
#[derive(Debug, Default, Options)]
pub struct RemoveReplicaArguments {
    /// Prints the help text and exits.
    #[options(help = "print this help", no_short)]
    pub help: bool,
    /// Identity of the replica.
    #[options(free, required, help = "identity as status prints it")]
    pub replica: ReplicaId,
}

/// Parses the command line arguments. For `--help`, `--version` and invalid arguments, prints the text and returns the
/// exit code as the error.
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

/// Returns the help text of the innermost subcommand.
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
