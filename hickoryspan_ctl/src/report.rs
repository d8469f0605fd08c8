//! Formats results as tables or JSON.

use std::io::Write;
use std::time::{Duration, UNIX_EPOCH};

use anyhow::Context;
use hickoryspan_core::control::interface::AdminOutcome;
use hickoryspan_core::types::WallTime;
use serde::Serialize;
use tabwriter::TabWriter;

use crate::program::CommandConsole;

/// Writes a result to standard output, as JSON or as text.
pub(crate) fn print_result(
    console: &mut CommandConsole,
    json: bool,
    value: &impl Serialize,
    text: impl FnOnce() -> String,
) -> anyhow::Result<()> {
    let mut output = match json {
        true => serde_json::to_string_pretty(value).context("encode result")?,
        false => text(),
    };
    if !output.ends_with('\n') {
        output.push('\n');
    }
    console.stdout.write_all(output.as_bytes()).context("write result")?;
    console.stdout.flush().context("write result")
}

/// Formats a table with aligned columns.
pub(crate) fn table<const N: usize>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut text = header.join("\t");
    for row in rows {
        text.push('\n');
        text.push_str(&row.join("\t"));
    }
    let mut writer = TabWriter::new(Vec::new()).padding(2);
    let written = writer.write_all(text.as_bytes()).and_then(|()| writer.flush());
    let aligned = written.ok().and_then(|()| writer.into_inner().ok());
    // Writing to memory does not fail. If it did, the unaligned text would still be complete.
    aligned.and_then(|bytes| String::from_utf8(bytes).ok()).unwrap_or(text)
}

/// Formats a wall time as RFC 3339 in UTC with a resolution of seconds.
pub(crate) fn time_text(time: WallTime) -> String {
    let instant = UNIX_EPOCH.checked_add(Duration::from_millis(time.0));
    match instant {
        // `humantime` only formats years up to 9999.
        Some(instant) if time.0 < 253_402_300_800_000 => {
            humantime::format_rfc3339_seconds(instant).to_string()
        }
        _ => format!("{time} ms"),
    }
}

/// Describes an outcome for operators.
pub(crate) fn outcome_text(outcome: &AdminOutcome) -> String {
    match outcome {
        AdminOutcome::Accepted { revision } => format!("accepted at revision {revision}"),
        AdminOutcome::NumberTaken { number, by, at, digest } => format!(
            "refused: sheet {number} was accepted with other content, submitted by {by} at {}, digest {digest}",
            time_text(*at)
        ),
        AdminOutcome::NumberTooLow { current } => {
            format!("refused: sheet {current} is in force, and the number must be higher")
        }
        AdminOutcome::RemovalsUnconfirmed(names) => {
            format!("refused: unconfirmed removals: {}", names.join(", "))
        }
        AdminOutcome::CommandConflict => {
            "refused: the command id was used before for another command".to_owned()
        }
        AdminOutcome::Rejected(reason) => format!("refused: {reason}"),
    }
}
