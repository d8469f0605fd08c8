//! Subcommands of `sheet`.

use std::fs::File;
use std::io::Read;
use std::sync::Arc;

use hickoryspan_core::control::interface::{AdminAction, AdminOutcome};
use hickoryspan_core::control::sheets::removed_names;
use hickoryspan_core::sheet::SheetDocument;
use hickoryspan_core::types::{SheetNumber, StateDigest};
use hickoryspan_runtime::clock::wall_time;
use hickoryspan_sheet::{
    SheetDate, SheetDifference, SheetFaults, SheetReader, SheetRules, write_sheet,
};
use serde::Serialize;

use crate::arguments::{
    ApplyArguments, CheckArguments, HistoryArguments, SheetArguments, SheetCommand,
};
use crate::exit_status::ExitStatus;
use crate::member_commands::{history_text, outcome_status, read_history};
use crate::program::{RunContext, RunFailure};
use crate::wait::wait_until_in_force;

/// Prefix of the audit summary of a submitted sheet.
const SHEET_SUMMARY_PREFIX: &str = "apply sheet ";

/// Runs a subcommand of `sheet`.
pub(crate) async fn run(
    context: &mut RunContext<'_>,
    arguments: SheetArguments,
) -> Result<ExitStatus, RunFailure> {
    match arguments.command {
        Some(SheetCommand::Check(arguments)) => check(context, arguments).await,
        Some(SheetCommand::Apply(arguments)) => apply(context, arguments).await,
        Some(SheetCommand::Show(arguments)) => show(context, arguments.number).await,
        Some(SheetCommand::History(arguments)) => history(context, arguments).await,
        Some(SheetCommand::Diff(arguments)) => diff(context, arguments.old, arguments.new).await,
        None => Err(RunFailure::new(ExitStatus::WrongSettings, "a subcommand is missing")),
    }
}

/// JSON output of `sheet check`.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct CheckResult {
    number: SheetNumber,
    digest: StateDigest,
    difference: Option<SheetDifference>,
    removals_to_confirm: Vec<Arc<str>>,
    refusal: Option<String>,
}

impl CheckResult {
    fn to_text(&self) -> String {
        let mut lines = vec![format!("sheet {} is readable, digest {}", self.number, self.digest)];
        lines.extend(self.difference.as_ref().map(ToString::to_string));
        let removals = self.removals_to_confirm.iter();
        lines.extend(removals.map(|name| format!("needs --confirm-removal '{name}'")));
        lines.extend(self.refusal.as_ref().map(|reason| format!("would be refused: {reason}")));
        lines.join("\n")
    }
}

async fn check(
    context: &mut RunContext<'_>,
    arguments: CheckArguments,
) -> Result<ExitStatus, RunFailure> {
    let Some(sheet) = read_file(context, &arguments.file, arguments.date)? else {
        return Ok(ExitStatus::Refused);
    };
    let current = match &context.client {
        Some(_) => read_sheet(context, None).await?,
        None => None,
    };
    let result = compare(&sheet, current.as_ref());
    context.print(&result, || result.to_text())?;
    Ok(if result.refusal.is_some() { ExitStatus::Refused } else { ExitStatus::Done })
}

fn compare(sheet: &SheetDocument, current: Option<&SheetDocument>) -> CheckResult {
    let digest = sheet.digest();
    let mut result = CheckResult {
        number: sheet.number,
        digest,
        difference: None,
        removals_to_confirm: Vec::new(),
        refusal: None,
    };
    let Some(current) = current else { return result };
    result.difference = Some(SheetDifference::between(current, sheet));
    if sheet.number < current.number {
        let text = format!("sheet {} is in force, and the number must be higher", current.number);
        result.refusal = Some(text);
    } else if sheet.number == current.number && digest != current.digest() {
        let text = format!("sheet {} is in force with other content", current.number);
        result.refusal = Some(text);
    } else {
        result.removals_to_confirm = removed_names(current, sheet);
    }
    result
}

async fn apply(
    context: &mut RunContext<'_>,
    arguments: ApplyArguments,
) -> Result<ExitStatus, RunFailure> {
    let Some(sheet) = read_file(context, &arguments.file, arguments.date)? else {
        return Ok(ExitStatus::Refused);
    };
    let digest = sheet.digest();
    context
        .console
        .write_message(format!("sheet {} of {}, digest {digest}", sheet.number, sheet.date));
    let confirmed = arguments.confirm_removal.iter().map(|name| removal_name(name)).collect();
    let action = AdminAction::ApplySheet { sheet: Arc::new(sheet), confirmed_removals: confirmed };
    let outcome = context.submit(action).await?;
    match &outcome {
        AdminOutcome::Accepted { revision } if arguments.wait => {
            return wait_until_in_force(context, *revision).await;
        }
        AdminOutcome::RemovalsUnconfirmed(names) => {
            context.console.write_message(
                "To confirm, submit the sheet again with a new command id and these flags:",
            );
            names.iter().for_each(|name| {
                context.console.write_message(format!("  --confirm-removal '{name}'"));
            });
        }
        _ => {}
    }
    Ok(outcome_status(&outcome))
}

/// Converts the name of a removed row to the form that the control replicas use, `kind tenant/name`, where orders are
/// searches. Accepts `tenant/kind/name` as well, which the comparison of two sheets prints.
fn removal_name(name: &str) -> Arc<str> {
    let mut parts = name.splitn(3, '/');
    let (tenant, kind, rest) = (parts.next(), parts.next(), parts.next());
    match (tenant, kind, rest) {
        (Some(tenant), Some("order"), Some(rest)) => format!("search {tenant}/{rest}").into(),
        (Some(tenant), Some(kind @ ("service" | "search" | "caller" | "class")), Some(rest))
            if !tenant.contains(' ') =>
        {
            format!("{kind} {tenant}/{rest}").into()
        }
        _ => name.into(),
    }
}

async fn show(
    context: &mut RunContext<'_>,
    number: Option<SheetNumber>,
) -> Result<ExitStatus, RunFailure> {
    let sheet = require_sheet(context, number).await?;
    context.print(&sheet, || write_sheet(&sheet))?;
    Ok(ExitStatus::Done)
}

async fn history(
    context: &mut RunContext<'_>,
    arguments: HistoryArguments,
) -> Result<ExitStatus, RunFailure> {
    let mut page = read_history(context, &arguments).await?;
    page.records.retain(|record| record.summary.starts_with(SHEET_SUMMARY_PREFIX));
    context.print(&page, || history_text(&page.records))?;
    Ok(ExitStatus::Done)
}

async fn diff(
    context: &mut RunContext<'_>,
    old: SheetNumber,
    new: SheetNumber,
) -> Result<ExitStatus, RunFailure> {
    let old = require_sheet(context, Some(old)).await?;
    let new = require_sheet(context, Some(new)).await?;
    let difference = SheetDifference::between(&old, &new);
    context.print(&difference, || difference.to_string())?;
    Ok(ExitStatus::Done)
}

async fn require_sheet(
    context: &RunContext<'_>,
    number: Option<SheetNumber>,
) -> Result<SheetDocument, RunFailure> {
    let missing = || {
        let detail = match number {
            Some(number) => {
                format!("read sheet: sheet {number} was not accepted or is no longer kept")
            }
            None => "read sheet: no sheet is in force".to_owned(),
        };
        RunFailure::new(ExitStatus::Refused, detail)
    };
    read_sheet(context, number).await?.ok_or_else(missing)
}

async fn read_sheet(
    context: &RunContext<'_>,
    number: Option<SheetNumber>,
) -> Result<Option<SheetDocument>, RunFailure> {
    let path = match number {
        Some(number) => format!("/v1/admin/sheet?number={number}"),
        None => "/v1/admin/sheet".to_owned(),
    };
    context.client()?.read_optional("read sheet", path).await.map_err(RunFailure::from_client)
}

/// Reads and validates a sheet file. Prints its faults and returns `None` if it is not valid.
fn read_file(
    context: &mut RunContext<'_>,
    file: &str,
    date: Option<SheetDate>,
) -> Result<Option<SheetDocument>, RunFailure> {
    let date = date.unwrap_or_else(|| SheetDate::of_wall_time(wall_time()));
    let rules = SheetRules { expected_date: Some(date), ..SheetRules::default() };
    let bytes = read_bounded(file, rules.max_size.0).map_err(|error| {
        RunFailure::new(ExitStatus::WrongSettings, format!("read sheet: {file}: {error}"))
    })?;
    match SheetReader::new(rules).read(&bytes) {
        Ok(sheet) => Ok(Some(sheet)),
        Err(faults) => {
            print_faults(context, &faults)?;
            Ok(None)
        }
    }
}

fn print_faults(context: &mut RunContext<'_>, faults: &SheetFaults) -> Result<(), RunFailure> {
    context.print(faults, || faults.to_string())
}

// Reads one byte more than the limit, so that the sheet reader can report a file that is too large.
fn read_bounded(file: &str, limit: u64) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(file)?.take(limit.saturating_add(1)).read_to_end(&mut bytes)?;
    Ok(bytes)
}
