//! What a control host makes of reports that cover more than a window (`docs/design/quotas.md`).

use std::time::Duration;

use hickoryspan_core::gateway::admission::quota::{
    AccountCount, PermitNumber, PermitRequest, ProcessNumber, QuotaCounts, QuotaSettings,
};
use hickoryspan_core::gateway::admission::quota_ledger::QuotaLedger;
use hickoryspan_core::gateway::documents::accounts::{AccountQuota, ClientAccount};
use hickoryspan_core::types::{AccountId, MonotonicTime, RequestRate};
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

/// Requests per second that the account may send. It sends as many, evenly over the entries.
const RATE: u64 = 10;
const ENTRIES: u64 = 2;
/// Interval of the reports, in milliseconds.
const REPORT_MILLIS: u64 = 400;
/// Age of the control host when the entries start, in milliseconds.
const ENTRY_START: u64 = 10_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1_000)
}

fn account() -> AccountId {
    AccountId::new("account").expect("a name")
}

/// The window of the default settings.
const WINDOW_MILLIS: u64 = 5_000;

fn ledger() -> QuotaLedger {
    let generator = ChaCha12Rng::seed_from_u64(41);
    let mut ledger = QuotaLedger::new(at(0), QuotaSettings::default(), generator);
    let quota = AccountQuota { rate: RequestRate(RATE as f64), burst: 5.0 };
    let account =
        ClientAccount { account: account(), keys: Vec::new(), priority: None, quota: Some(quota) };
    ledger.set_accounts(at(0), &[account]);
    ledger
}

fn note_hosts(ledger: &mut QuotaLedger, millis: u64) {
    ledger.note_entries(at(millis), ENTRIES as u32);
    ledger.note_leader(at(millis), true);
}

/// Reports what each entry has admitted since its start, and how much of it in the last window.
fn report(ledger: &mut QuotaLedger, millis: u64, admitted: u64, recent: u64) {
    for entry in 0..ENTRIES {
        let count = AccountCount { account: account(), admitted, recent, returned: 0 };
        let report = QuotaCounts {
            process: ProcessNumber(entry),
            age: Duration::from_millis(millis - ENTRY_START),
            counts: vec![count],
        };
        ledger.note_counts(at(millis), report);
    }
}

/// Reports regularly between two times what each entry has admitted at the rate of the account.
fn report_regularly(ledger: &mut QuotaLedger, from: u64, until: u64) {
    let mut millis = from;
    while millis < until {
        let admitted = (millis - ENTRY_START) * RATE / ENTRIES / 1_000;
        report(ledger, millis, admitted, admitted.min(WINDOW_MILLIS * RATE / ENTRIES / 1_000));
        note_hosts(ledger, millis);
        ledger.expire(at(millis));
        millis += REPORT_MILLIS;
    }
}

fn is_granted(ledger: &mut QuotaLedger, millis: u64) -> bool {
    note_hosts(ledger, millis);
    let request = PermitRequest { number: PermitNumber(1), account: account(), wanted: 1 };
    ledger.grant(at(millis), &request).permits > 0
}

/// Guards against the refusal of an account that keeps to its rate, after a control host was frozen or cut off from the
/// entries: what they admitted in all that time was counted as if it had come at its end.
#[test]
fn a_late_report_does_not_use_up_the_window() {
    let mut ledger = ledger();
    report_regularly(&mut ledger, ENTRY_START, 30_000);
    assert!(is_granted(&mut ledger, 30_000), "the rate is kept");
    // The host hears of nothing for 30 s, and then of all of it.
    report_regularly(&mut ledger, 60_000, 61_200);
    assert!(is_granted(&mut ledger, 61_200), "the rate was kept all the time");
}

/// Guards against the refusal of an account after some minutes without requests: the host had forgotten the processes of
/// the entries, and counted all that they had admitted since their start once more.
#[test]
fn requests_from_before_a_pause_are_not_counted_again() {
    let mut ledger = ledger();
    report_regularly(&mut ledger, ENTRY_START, 60_000);
    let admitted = (60_000 - ENTRY_START) * RATE / ENTRIES / 1_000;
    // Without requests there are no reports.
    for millis in (60_000..300_000).step_by(1_000) {
        note_hosts(&mut ledger, millis);
        ledger.expire(at(millis));
    }
    assert!(is_granted(&mut ledger, 300_000), "nothing was sent for minutes");
    report(&mut ledger, 300_400, admitted + 1, 1);
    assert!(is_granted(&mut ledger, 300_500), "each entry has admitted one request");
}
