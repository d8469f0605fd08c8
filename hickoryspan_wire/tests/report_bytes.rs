//! Pattern: a calm deployment of 200 hosts, in which every entry has a link to each of five control
//! hosts. Guards against reports that repeat themselves: with 195 entries they were 6.6 KB a second
//! for each host, where 2 KB are allowed for all that is not a caller's request.

use std::net::SocketAddr;

use hickoryspan_core::gateway::documents::document::DocumentVersion;
use hickoryspan_core::gateway::membership::messages::{
    DirectoryRequest, DirectoryUpdate, EntryHost, LinkVersion,
};
use hickoryspan_core::gateway::membership::report_history::{ReportHistory, ReportMessage};
use hickoryspan_core::types::{EntryId, FailureDomain};
use hickoryspan_wire::encode_message;
use rstest::rstest;

const CONTROL_HOSTS: u8 = 5;
const ENTRIES: u32 = 195;
/// Reports of both ends of a link in each second.
const REPORTS_PER_SECOND: f64 = 2.5;
const SECONDS: u32 = 40;
/// What the users allow a host for control, in bytes per second.
const ALLOWED_BYTES: f64 = 2_000.0;

fn control_hosts() -> Vec<SocketAddr> {
    (0..CONTROL_HOSTS).map(|host| ([10, host, 0, 11], 7_382).into()).collect()
}

fn entry_report(open: bool) -> DirectoryRequest {
    DirectoryRequest::Entry(EntryHost {
        entry: EntryId::new("entry-northern-hall-017").expect("a name"),
        caller_address: ([10, 1, 0, 17], 8_104).into(),
        domain: FailureDomain::new("northern-halls").expect("a name"),
        fanout_address: Some(([10, 1, 0, 17], 7_383).into()),
        open,
        lagging: false,
        link_version: LinkVersion::CURRENT,
    })
}

fn hosts_report(entries: u32, version: u64) -> DirectoryUpdate {
    DirectoryUpdate::Hosts {
        controls: control_hosts(),
        entries,
        document: Some(DocumentVersion(version)),
        link_version: LinkVersion::CURRENT,
    }
}

fn size_of(message: &impl serde::Serialize) -> usize {
    encode_message(message).expect("a message").len()
}

/// Both ends of one link.
#[derive(Default)]
struct ReportLink {
    requests: ReportHistory<DirectoryRequest>,
    updates: ReportHistory<DirectoryUpdate>,
}

impl ReportLink {
    /// Returns the bytes of one report from each end.
    fn exchange(
        &mut self,
        request: &DirectoryRequest,
        update: &DirectoryUpdate,
        version: LinkVersion,
    ) -> usize {
        let request = match self.requests.next(request, version) {
            ReportMessage::Full(request) => request,
            ReportMessage::Heartbeat => DirectoryRequest::Unchanged,
        };
        let update = match self.updates.next(update, version) {
            ReportMessage::Full(update) => update,
            ReportMessage::Heartbeat => DirectoryUpdate::Unchanged,
        };
        size_of(&request) + size_of(&update)
    }
}

/// Returns the bytes per second over all links of one entry. The number of entries changes in every
/// tenth second and the configuration in every fifth one.
fn bytes_per_second(version: LinkVersion) -> f64 {
    let mut bytes = 0;
    for _ in 0..CONTROL_HOSTS {
        let mut link = ReportLink::default();
        for report in 0..(f64::from(SECONDS) * REPORTS_PER_SECOND) as u32 {
            let second = (f64::from(report) / REPORTS_PER_SECOND) as u32;
            let hosts = hosts_report(ENTRIES - second / 10 % 2, u64::from(second / 5));
            bytes += link.exchange(&entry_report(second > 0), &hosts, version);
        }
    }
    bytes as f64 / f64::from(SECONDS)
}

#[test]
fn reports_of_an_entry_stay_within_the_allowed_bytes() {
    let bytes = bytes_per_second(LinkVersion::CURRENT);
    assert!(bytes < ALLOWED_BYTES, "{bytes} bytes per second");
}

#[test]
fn a_host_of_an_earlier_release_gets_every_report_in_full() {
    let mut history = ReportHistory::default();
    let report = entry_report(true);
    for _ in 0..3 {
        let next = history.next(&report, LinkVersion::default());
        assert_eq!(next, ReportMessage::Full(report.clone()));
    }
    // It is upgraded: from now on it has the last report.
    assert_eq!(history.next(&report, LinkVersion::CURRENT), ReportMessage::Heartbeat);
}

#[rstest]
#[case::opens(entry_report(false), entry_report(true))]
#[case::closes(entry_report(true), entry_report(false))]
fn a_change_is_reported_at_once(#[case] before: DirectoryRequest, #[case] after: DirectoryRequest) {
    let mut history = ReportHistory::default();
    history.next(&before, LinkVersion::CURRENT);
    assert_eq!(history.next(&before, LinkVersion::CURRENT), ReportMessage::Heartbeat);
    assert_eq!(history.next(&after, LinkVersion::CURRENT), ReportMessage::Full(after.clone()));
    assert_eq!(history.next(&after, LinkVersion::CURRENT), ReportMessage::Heartbeat);
}
