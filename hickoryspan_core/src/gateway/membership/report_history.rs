//! Replaces a report that has not changed by a heartbeat, which only shows that its sender is alive.
//!
//! Every entry has a link to every control host, and both ends report at an interval that is a
//! fraction of the time after which a silent link is replaced. With hundreds of entries, reports
//! that repeat themselves would be most of the bytes between failure domains. See
//! `docs/design/platform.md`.

use super::messages::LinkVersion;

/// What is sent when a report is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportMessage<R> {
    /// The report, because the peer does not have it.
    Full(R),
    /// Nothing has changed since the last report on this link.
    Heartbeat,
}

/// The last report that was sent over one link.
#[derive(Clone, Debug)]
pub struct ReportHistory<R> {
    last: Option<R>,
}

impl<R> Default for ReportHistory<R> {
    fn default() -> Self {
        Self { last: None }
    }
}

impl<R: Clone + PartialEq> ReportHistory<R> {
    /// Returns what is sent for this report. A peer of an earlier release does not know heartbeats, and
    /// considers the link alive only while it gets reports.
    pub fn next(&mut self, report: &R, version: LinkVersion) -> ReportMessage<R> {
        if version >= LinkVersion::HEARTBEATS && self.last.as_ref() == Some(report) {
            return ReportMessage::Heartbeat;
        }
        self.last = Some(report.clone());
        ReportMessage::Full(report.clone())
    }
}
