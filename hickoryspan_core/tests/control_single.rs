//! Guards the decisions of one control replica: sheets, members, claims, quarantine, leases and shares.

mod control_support;

use std::time::Duration;

use control_support::*;
use hickoryspan_core::control::interface::*;
use hickoryspan_core::messages::*;
use hickoryspan_core::types::*;

fn single() -> Cluster {
    let mut cluster = Cluster::new(7, 1, |_| {});
    cluster.await_leader();
    cluster
}

fn granted(messages: &[ControlMessage]) -> bool {
    let granted = |message: &ControlMessage| {
        matches!(message, ControlMessage::ClaimAnswer { verdict: ClaimVerdict::Granted, .. })
    };
    messages.iter().any(granted)
}

// A replica that answers before its own disk has the entry loses it in a crash.
#[test]
fn an_accepted_sheet_survives_a_restart() {
    let mut cluster = single();
    let outcome = cluster.admin_as("rosa", "c1", apply_sheet(3, "monday"));
    cluster.crash(replica(1));
    cluster.start(replica(1));
    assert_eq!(cluster.admin_as("rosa", "c1", apply_sheet(3, "monday")), outcome);
    assert_eq!(cluster.status().sheet, Some(SheetNumber(3)));
}

// A process that is welcomed without a committed ordinal could share it with another one.
#[test]
fn processes_get_exclusive_ordinals_and_renewals() {
    let mut cluster = single();
    let (first, messages) = cluster.join("e1", 1);
    assert!(matches!(messages[..], [ControlMessage::Welcome { ordinal: OrdinalNumber(0), .. }]));
    let (_, messages) = cluster.join("e2", 1);
    assert!(matches!(messages[..], [ControlMessage::Welcome { ordinal: OrdinalNumber(1), .. }]));
    let messages = cluster.take_messages(first);
    assert!(matches!(messages[..], [ControlMessage::Delta { .. }]), "{messages:?}");
    let messages = cluster.send(first, renewal(9));
    assert!(matches!(messages[..], [ControlMessage::Renewed { sequence: 9, .. }]), "{messages:?}");
    let reply = cluster.announce(&target("t1", 1, 7));
    assert!(matches!(reply, ControlReply::Announced { .. }));
    assert_eq!(cluster.status().targets, 1);
}

// An order that two processes may run is printed twice.
#[test]
fn a_claim_is_granted_once_and_its_first_outcome_stays() {
    let mut cluster = single();
    let (link, _) = cluster.join("e1", 1);
    let (other, _) = cluster.join("e2", 1);
    let key = claim_key("order-1", EPOCH);
    let claim = |token| EntryMessage::Claim {
        token: QueryToken(token),
        key: claim_key("order-1", EPOCH),
        fingerprint: fingerprint("tray"),
    };
    assert!(granted(&cluster.send(link, claim(1))));
    assert!(!granted(&cluster.send(other, claim(2))));
    assert!(!granted(&cluster.send(link, claim(3))));
    let outcome =
        OrderOutcome { outcome: RequestOutcome::Complete, target: None, body: Some("ok".into()) };
    let settle = EntryMessage::Settle { key: key.clone(), outcome: outcome.clone() };
    let messages = cluster.send(link, settle);
    assert_eq!(messages, [ControlMessage::Settled(key.clone())]);
    let failed = OrderOutcome { outcome: RequestOutcome::Failed, ..outcome.clone() };
    cluster.send(link, EntryMessage::Settle { key: key.clone(), outcome: failed });
    let messages = cluster.send(other, EntryMessage::Lookup { token: QueryToken(4), key });
    let verdict = LookupVerdict::Found(ClaimState::Settled(outcome));
    assert_eq!(messages, [ControlMessage::LookupAnswer { token: QueryToken(4), verdict }]);
    cluster.run(Duration::from_millis(1));
}
