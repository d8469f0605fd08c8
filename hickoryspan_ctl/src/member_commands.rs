//! Commands for members, control replicas, quarantines and the audit log.

use hickoryspan_core::control::interface::{AdminAction, AdminOutcome, AuditRecord, StatusReport};
use hickoryspan_core::types::ReplicaId;

use crate::arguments::HistoryArguments;
use crate::exit_status::ExitStatus;
use crate::pages::{HistoryPage, QuarantinePage, TargetPage};
use crate::program::{RunContext, RunFailure};
use crate::report::{outcome_text, table, time_text};

/// Maximum number of audit records that a control replica returns at once.
pub(crate) const MAX_HISTORY_RECORDS: u32 = 1000;

/// Returns the exit status for the outcome of a command.
pub(crate) fn outcome_status(outcome: &AdminOutcome) -> ExitStatus {
    match outcome {
        AdminOutcome::Accepted { .. } => ExitStatus::Done,
        _ => ExitStatus::Refused,
    }
}

/// Submits an action and prints its outcome.
pub(crate) async fn change(
    context: &mut RunContext<'_>,
    action: AdminAction,
) -> Result<ExitStatus, RunFailure> {
    Ok(outcome_status(&context.submit(action).await?))
}

/// Prints the control replicas, the leader, the revision and the entries.
pub(crate) async fn status(context: &mut RunContext<'_>) -> Result<ExitStatus, RunFailure> {
    let report: StatusReport = read(context, "read status", "/v1/admin/status").await?;
    context.print(&report, || status_text(&report))?;
    Ok(ExitStatus::Done)
}

fn status_text(report: &StatusReport) -> String {
    let or_none = |value: Option<String>| value.unwrap_or_else(|| "none".to_owned());
    let summary = table(
        ["item", "value"],
        [
            ["answered by".to_owned(), report.replica.to_string()],
            ["leader".to_owned(), or_none(report.leader.map(|leader| leader.to_string()))],
            ["term".to_owned(), report.term.to_string()],
            ["committed".to_owned(), report.commit.to_string()],
            ["revision".to_owned(), report.revision.to_string()],
            ["digest".to_owned(), report.digest.to_string()],
            ["sheet".to_owned(), or_none(report.sheet.map(|sheet| sheet.to_string()))],
            ["sheet revision".to_owned(), report.sheet_revision.to_string()],
            ["targets".to_owned(), report.targets.to_string()],
            ["claims".to_owned(), report.claims.to_string()],
            ["evacuated".to_owned(), report.evacuations.to_string()],
        ],
    );
    let role = |replica: ReplicaId, voter: bool| match voter {
        _ if report.leader == Some(replica) => "leader",
        true => "voter",
        false => "learner",
    };
    let replicas = report.replicas.iter().map(|record| {
        [
            record.replica.to_string(),
            role(record.replica, record.voter).to_owned(),
            record.peer_address.to_string(),
            record.http_address.to_string(),
        ]
    });
    let replicas = table(["replica", "role", "peer address", "http address"], replicas);
    let entries = report.entries.iter().map(|entry| {
        let record = &entry.record;
        [
            record.entry.to_string(),
            record.incarnation.to_string(),
            record.ordinal.to_string(),
            record.caller_address.to_string(),
            record.failure_domain.to_string(),
            member_state(record.draining).to_owned(),
            entry.revision.map_or_else(|| "not reported".to_owned(), |number| number.to_string()),
        ]
    });
    let header =
        ["entry", "incarnation", "ordinal", "address", "failure domain", "state", "revision"];
    format!("{summary}\n\n{replicas}\n\n{}", table(header, entries))
}

fn member_state(draining: bool) -> &'static str {
    if draining { "draining" } else { "serving" }
}

/// Prints the registered targets.
pub(crate) async fn targets(context: &mut RunContext<'_>) -> Result<ExitStatus, RunFailure> {
    let page: TargetPage = read(context, "read targets", "/v1/admin/targets").await?;
    context.print(&page, || {
        let rows = page.targets.iter().map(|record| {
            [
                record.target.to_string(),
                format!("{}/{}", record.tenant, record.service),
                record.address.to_string(),
                record.failure_domain.to_string(),
                record.slots.to_string(),
                record.connections.to_string(),
                record.partitions.len().to_string(),
                member_state(record.draining).to_owned(),
            ]
        });
        let header = [
            "target",
            "service",
            "address",
            "failure domain",
            "slots",
            "connections",
            "partitions",
            "state",
        ];
        table(header, rows)
    })?;
    Ok(ExitStatus::Done)
}

/// Prints the quarantined requests.
pub(crate) async fn quarantines(context: &mut RunContext<'_>) -> Result<ExitStatus, RunFailure> {
    let page: QuarantinePage = read(context, "read quarantine", "/v1/admin/quarantines").await?;
    context.print(&page, || {
        let rows = page.quarantines.iter().map(|status| {
            let targets: Vec<String> =
                status.record.evidence.iter().map(|crash| crash.target.to_string()).collect();
            [
                status.fingerprint.to_string(),
                format!("{:?}", status.record.level).to_lowercase(),
                time_text(status.record.expires_at),
                targets.join(", "),
            ]
        });
        table(["fingerprint", "level", "expires", "crashed targets"], rows)
    })?;
    Ok(ExitStatus::Done)
}

/// Prints the newest audit records.
pub(crate) async fn history(
    context: &mut RunContext<'_>,
    arguments: HistoryArguments,
) -> Result<ExitStatus, RunFailure> {
    let page = read_history(context, &arguments).await?;
    context.print(&page, || history_text(&page.records))?;
    Ok(ExitStatus::Done)
}

/// Reads the newest audit records, [`MAX_HISTORY_RECORDS`] by default.
pub(crate) async fn read_history(
    context: &RunContext<'_>,
    arguments: &HistoryArguments,
) -> Result<HistoryPage, RunFailure> {
    let limit = arguments.limit.unwrap_or(MAX_HISTORY_RECORDS);
    read(context, "read history", format!("/v1/admin/history?limit={limit}")).await
}

/// Formats audit records as a table.
pub(crate) fn history_text(records: &[AuditRecord]) -> String {
    let rows = records.iter().map(|record| {
        [
            time_text(record.at),
            record.operator.to_string(),
            record.command.to_string(),
            record.summary.to_string(),
            outcome_text(&record.outcome),
        ]
    });
    table(["time", "operator", "command", "asked", "outcome"], rows)
}

async fn read<T: serde::de::DeserializeOwned>(
    context: &RunContext<'_>,
    step: &str,
    path: impl Into<String>,
) -> Result<T, RunFailure> {
    context.client()?.read(step, path).await.map_err(RunFailure::from_client)
}
