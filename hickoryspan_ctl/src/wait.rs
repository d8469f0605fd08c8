//! Waits until every entry has reported a revision.

use std::time::Duration;

use hickoryspan_core::control::interface::StatusReport;
use hickoryspan_core::types::RevisionNumber;
use tokio::time::sleep;

use crate::exit_status::ExitStatus;
use crate::program::{RunContext, RunFailure};

/// Interval between two status requests. Entries report their revision every second.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the entries that have not reported the revision yet, formatted as `name (process incarnation)`.
///
/// The status lists only entries with a lease. Entries without a lease serve no requests (`docs/design.md`, section 5).
fn lagging_entries(report: &StatusReport, revision: RevisionNumber) -> Vec<String> {
    let lagging = report.entries.iter().filter(|entry| entry.revision < Some(revision));
    lagging
        .map(|entry| format!("{} (process {})", entry.record.entry, entry.record.incarnation))
        .collect()
}

/// Polls the status and prints progress until every entry has reported the revision or the timeout expires.
pub(crate) async fn wait_until_in_force(
    context: &mut RunContext<'_>,
    revision: RevisionNumber,
) -> Result<ExitStatus, RunFailure> {
    let mut last_message = String::new();
    loop {
        let answer = context.client()?.read("read status", "/v1/admin/status").await;
        let report: StatusReport = answer.map_err(|error| {
            let detail = format!(
                "revision {revision} was accepted, but whether it is in force everywhere is not known: {error}"
            );
            RunFailure::new(ExitStatus::NotInForce, detail)
        })?;
        let (missing, total) = (lagging_entries(&report, revision), report.entries.len());
        if missing.is_empty() {
            context
                .console
                .write_message(format!("revision {revision} is in force at all {total} entries"));
            return Ok(ExitStatus::Done);
        }
        let message = format!(
            "revision {revision} is in force at {} of {total} entries; missing: {}",
            total - missing.len(),
            missing.join(", ")
        );
        if message != last_message {
            context.console.write_message(&message);
            last_message = message;
        }
        if context.client()?.remaining() <= POLL_INTERVAL {
            let detail = format!("revision {revision} was accepted; timeout: {last_message}");
            return Err(RunFailure::new(ExitStatus::NotInForce, detail));
        }
        sleep(POLL_INTERVAL).await;
    }
}
