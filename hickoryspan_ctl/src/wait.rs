//! Waits until every entry reports a revision.

use std::time::Duration;

use hickoryspan_core::control::interface::StatusReport;
use hickoryspan_core::types::RevisionNumber;
use tokio::time::sleep;

use crate::exit_status::ExitStatus;
use crate::program::{RunContext, RunFailure};

/// Pause between two questions; entries report each second.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// The entry processes that have not reported the revision, as `name (process incarnation)`.
///
/// An entry that is not listed holds no lease and serves nothing (`docs/design.md`, section 5).
fn missing_entries(report: &StatusReport, revision: RevisionNumber) -> Vec<String> {
    let behind = report.entries.iter().filter(|entry| entry.revision < Some(revision));
    behind
        .map(|entry| format!("{} (process {})", entry.record.entry, entry.record.incarnation))
        .collect()
}

/// Prints progress until the revision is in force at every entry, or the timeout passes.
pub(crate) async fn wait_until_in_force(
    context: &mut RunContext<'_>,
    revision: RevisionNumber,
) -> Result<ExitStatus, RunFailure> {
    let mut last_note = String::new();
    loop {
        let answer = context.client()?.read("read status", "/v1/admin/status").await;
        let report: StatusReport = answer.map_err(|error| {
            let detail = format!(
                "revision {revision} was accepted, but whether it is in force everywhere is not known: {error}"
            );
            RunFailure::new(ExitStatus::NotInForce, detail)
        })?;
        let (missing, known) = (missing_entries(&report, revision), report.entries.len());
        if missing.is_empty() {
            context.console.note(format!("revision {revision} is in force at all {known} entries"));
            return Ok(ExitStatus::Done);
        }
        let note = format!(
            "revision {revision} is in force at {} of {known} entries; missing: {}",
            known - missing.len(),
            missing.join(", ")
        );
        if note != last_note {
            context.console.note(&note);
            last_note = note;
        }
        if context.client()?.remaining() <= POLL_PAUSE {
            let detail = format!("revision {revision} was accepted; timeout: {last_note}");
            return Err(RunFailure::new(ExitStatus::NotInForce, detail));
        }
        sleep(POLL_PAUSE).await;
    }
}
