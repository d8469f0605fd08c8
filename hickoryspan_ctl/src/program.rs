//! Runs a command and reports its result.

use std::io::Write;

use hickoryspan_core::control::interface::{AdminAction, AdminCommand, AdminOutcome};
use hickoryspan_runtime::settings::SettingsReader;
use serde::Serialize;

use crate::arguments::{CtlArguments, CtlCommand};
use crate::changes::read_change;
use crate::control_client::{ClientError, ControlClient};
use crate::exit_status::ExitStatus;
use crate::report::{outcome_text, print_result};
use crate::settings::{CommandIdentity, CtlSettings};
use crate::{explain_command, member_commands, sheet_commands};

/// Output streams of a run.
pub struct CommandConsole {
    /// Receives the result as a table or as JSON.
    pub stdout: Box<dyn Write + Send>,
    /// Receives progress and error messages.
    pub stderr: Box<dyn Write + Send>,
}

impl CommandConsole {
    /// Writes a message to standard error. Ignores write errors, so that a closed terminal does not change the outcome
    /// of a command.
    pub(crate) fn write_message(&mut self, message: impl std::fmt::Display) {
        let _ = writeln!(self.stderr, "{message}");
    }
}

/// Error that ends a run: exit status and message.
pub(crate) struct RunFailure {
    pub(crate) status: ExitStatus,
    pub(crate) detail: String,
}

impl RunFailure {
    pub(crate) fn new(status: ExitStatus, detail: impl ToString) -> Self {
        Self { status, detail: detail.to_string() }
    }

    pub(crate) fn from_client(error: ClientError) -> Self {
        Self::new(error.exit_status(), error)
    }
}

impl From<anyhow::Error> for RunFailure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(ExitStatus::WrongSettings, format!("{error:#}"))
    }
}

/// State of a run.
pub(crate) struct RunContext<'a> {
    pub(crate) settings: CtlSettings,
    pub(crate) client: Option<ControlClient>,
    pub(crate) console: &'a mut CommandConsole,
}

/// JSON output of a command that changes the deployment.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct CommandResult<'a> {
    operator: String,
    command: String,
    outcome: &'a AdminOutcome,
}

impl RunContext<'_> {
    pub(crate) fn client(&self) -> Result<&ControlClient, RunFailure> {
        let missing = || RunFailure::new(ExitStatus::WrongSettings, "no control address is set");
        self.client.as_ref().ok_or_else(missing)
    }

    pub(crate) fn identity(&self) -> Result<CommandIdentity, RunFailure> {
        let missing = || RunFailure::new(ExitStatus::WrongSettings, "no operator is set");
        self.settings.identity.clone().ok_or_else(missing)
    }

    pub(crate) fn print(
        &mut self,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> Result<(), RunFailure> {
        Ok(print_result(self.console, self.settings.json, value, text)?)
    }

    /// Submits a command and prints its outcome. If the outcome is unknown, the error explains how to find it out.
    pub(crate) async fn submit(&mut self, action: AdminAction) -> Result<AdminOutcome, RunFailure> {
        let CommandIdentity { operator, command } = self.identity()?;
        self.console.write_message(format!("command id {command}"));
        let command = AdminCommand { operator, command, action };
        let outcome = match self.client()?.submit(&command).await {
            Ok(outcome) => outcome,
            Err(error) => {
                let mut detail = error.to_string();
                if error.exit_status() == ExitStatus::OutcomeUnknown {
                    detail = format!(
                        "{detail}\nThe command may or may not have taken effect. To learn its outcome, run it again \
                         with --operator {} --command-id {}.",
                        command.operator, command.command
                    );
                }
                return Err(RunFailure::new(error.exit_status(), detail));
            }
        };
        let result = CommandResult {
            operator: command.operator.to_string(),
            command: command.command.to_string(),
            outcome: &outcome,
        };
        // The command was decided, so a failed write must not change the exit status.
        if let Err(failure) = self.print(&result, || outcome_text(&outcome)) {
            self.console.write_message(failure.detail);
            self.console.write_message(outcome_text(&outcome));
        }
        Ok(outcome)
    }
}

/// Runs the command given by the arguments and returns the exit status of the process.
pub async fn run(
    arguments: CtlArguments,
    reader: SettingsReader,
    console: &mut CommandConsole,
) -> ExitStatus {
    let settings_result = CtlSettings::read(&arguments, reader);
    let command_result = read_command(arguments.command);
    // Reports the faults of the arguments and of the settings together.
    if let Err(fault) = &command_result {
        console.write_message(format!("hickoryspan-ctl: {fault}"));
    }
    if let Err(faults) = &settings_result {
        console.write_message(faults.to_string().trim_end());
    }
    let (Ok((command, change)), Ok(settings)) = (command_result, settings_result) else {
        return ExitStatus::WrongSettings;
    };
    let client = settings.access.clone().map(ControlClient::new);
    let mut context = RunContext { settings, client, console };
    let result = match change {
        Some(action) => member_commands::change(&mut context, action).await,
        None => run_command(&mut context, command).await,
    };
    match result {
        Ok(status) => status,
        Err(RunFailure { status, detail }) => {
            console.write_message(format!("hickoryspan-ctl: {detail}"));
            status
        }
    }
}

fn read_command(command: Option<CtlCommand>) -> Result<(CtlCommand, Option<AdminAction>), String> {
    let is_complete = match &command {
        Some(CtlCommand::Sheet(arguments)) => arguments.command.is_some(),
        Some(CtlCommand::Quarantine(arguments)) => arguments.command.is_some(),
        Some(CtlCommand::Replica(arguments)) => arguments.command.is_some(),
        Some(_) => true,
        None => false,
    };
    let command = command.filter(|_| is_complete).ok_or("a subcommand is missing; see --help")?;
    let change = read_change(&command).map_err(|error| error.to_string())?;
    Ok((command, change))
}

async fn run_command(
    context: &mut RunContext<'_>,
    command: CtlCommand,
) -> Result<ExitStatus, RunFailure> {
    match command {
        CtlCommand::Sheet(arguments) => sheet_commands::run(context, arguments).await,
        CtlCommand::Targets(_) => member_commands::targets(context).await,
        CtlCommand::History(arguments) => member_commands::history(context, arguments).await,
        CtlCommand::Explain(arguments) => explain_command::run(context, arguments).await,
        CtlCommand::Quarantine(_) => member_commands::quarantines(context).await,
        // `run` has already submitted the commands that change the deployment.
        CtlCommand::Status(_)
        | CtlCommand::Drain(_)
        | CtlCommand::Restore(_)
        | CtlCommand::Replica(_) => member_commands::status(context).await,
    }
}
