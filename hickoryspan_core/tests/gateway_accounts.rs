//! Tests which client accounts are valid, how they reach entries, and which keys are recognized.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use hickoryspan_core::gateway::account_labels::AccountLabels;
use hickoryspan_core::gateway::documents::accounts::{
    AccountQuota, ClientAccount, InvalidAccounts, KeyDigest,
};
use hickoryspan_core::gateway::documents::document::{
    CallerLimits, ConfigurationDocument, DocumentVersion, InvalidDocument,
};
use hickoryspan_core::gateway::documents::document_change::DocumentChange;
use hickoryspan_core::gateway::documents::document_parts::{PartAssembly, encode_parts};
use hickoryspan_core::gateway::documents::routes::RouteTable;
use hickoryspan_core::types::{AccountId, RequestRate, ShareWeight};
use rstest::rstest;

const MANY_ACCOUNTS: usize = 10_000;

fn host() -> SocketAddr {
    "10.0.0.1:7100".parse().expect("an address")
}

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        account: AccountId::new(name).expect("a name"),
        keys: keys.iter().map(|key| digest(key)).collect(),
        priority: None,
        quota: None,
    }
}

fn document(version: u64, accounts: Option<Vec<ClientAccount>>) -> ConfigurationDocument {
    ConfigurationDocument {
        version: DocumentVersion(version),
        routes: vec![],
        services: vec![],
        limits: CallerLimits::default(),
        accounts,
        source: "".into(),
    }
}

fn many_accounts() -> Vec<ClientAccount> {
    let numbered = |number: usize| ClientAccount {
        priority: Some(number as u32 % 5),
        quota: Some(AccountQuota { rate: RequestRate(number as f64), burst: 1.0 }),
        ..account(&format!("account-{number}"), &[&format!("a-{number}"), &format!("b-{number}")])
    };
    (0..MANY_ACCOUNTS).map(numbered).collect()
}

/// Sends a change as a control host does, in parts, and returns the resulting document and the number of parts.
fn spread(
    base: Option<&ConfigurationDocument>,
    next: &ConfigurationDocument,
) -> (ConfigurationDocument, usize) {
    let change = DocumentChange::between(base, next);
    let parts = encode_parts(&change).expect("parts");
    let mut assembly = PartAssembly::default();
    let mut received = None;
    for part in &parts {
        assert!(received.is_none(), "the change is complete before its last part");
        received = assembly.add(host(), part).expect("a part in order");
    }
    let received = received.expect("the whole change");
    (received.apply(base).expect("a change that applies"), parts.len())
}

fn by_name(document: &ConfigurationDocument) -> Option<Vec<ClientAccount>> {
    let mut accounts = document.accounts.clone()?;
    accounts.sort_by(|left, right| left.account.cmp(&right.account));
    Some(accounts)
}

/// Guards against accounts that are lost between the parts of a change, and against a whole list that is sent again for
/// one key.
#[test]
fn ten_thousand_accounts_arrive_in_parts_and_a_changed_key_in_one() {
    let first = document(1, Some(many_accounts()));
    assert_eq!(first.check(), Ok(()));
    let (received, parts) = spread(None, &first);
    assert!(parts > 1, "{parts}");
    assert_eq!(by_name(&received), by_name(&first));
    let mut changed = many_accounts();
    changed[5_000].keys = vec![digest("b-5000"), digest("c-5000")];
    changed.remove(7_000);
    changed.push(account("new", &["n"]));
    let second = document(2, Some(changed));
    let (received, parts) = spread(Some(&received), &second);
    assert_eq!(parts, 1);
    assert_eq!(by_name(&received), by_name(&second));
    let table = RouteTable::new(Arc::new(received));
    let find = |key: &str| table.find_account(&digest(key)).map(|found| found.account.to_string());
    assert_eq!(find("a-5000"), None, "a revoked key");
    assert_eq!(find("b-5000").as_deref(), Some("account-5000"));
    assert_eq!(find("c-5000").as_deref(), Some("account-5000"));
    assert_eq!(find("a-7000"), None, "the key of a removed account");
    assert_eq!(find("a-9999").as_deref(), Some("account-9999"));
    assert_eq!(find("n").as_deref(), Some("new"));
}

/// Guards against an entry that goes on without accounts, or keeps those of an earlier document.
#[rstest]
#[case::introduced(None, Some(vec![account("a", &["k"])]))]
#[case::dropped(Some(vec![account("a", &["k"])]), None)]
#[case::emptied(Some(vec![account("a", &["k"])]), Some(vec![]))]
#[case::introduced_empty(None, Some(vec![]))]
#[case::without_keys(Some(vec![account("a", &["k"])]), Some(vec![account("a", &[])]))]
#[case::key_moved(
    Some(vec![account("a", &["k"]), account("b", &[])]),
    Some(vec![account("a", &[]), account("b", &["k"])])
)]
#[case::unchanged(Some(vec![account("a", &["k"])]), Some(vec![account("a", &["k"])]))]
fn a_change_results_in_the_accounts_of_the_new_document(
    #[case] before: Option<Vec<ClientAccount>>,
    #[case] after: Option<Vec<ClientAccount>>,
) {
    let (base, next) = (document(1, before), document(2, after));
    let (received, _) = spread(Some(&base), &next);
    assert_eq!(by_name(&received), by_name(&next));
    let table = RouteTable::new(Arc::new(received));
    assert_eq!(table.requires_keys(), next.accounts.is_some());
}

/// Guards against a rolling upgrade in which an entry cannot read the change of a host that knows no accounts.
#[test]
fn a_change_from_a_host_without_accounts_names_none() {
    let change = DocumentChange::between(None, &document(1, Some(vec![account("a", &["k"])])));
    let mut bytes = Vec::new();
    ciborium::into_writer(&change, &mut bytes).expect("an encoded change");
    let mut value: ciborium::Value = ciborium::from_reader(&*bytes).expect("a value");
    let fields = value.as_map_mut().expect("a map");
    fields.retain(|(name, _)| name.as_text() != Some("accounts"));
    let change: DocumentChange = value.deserialized().expect("a change");
    assert_eq!(change.apply(None).expect("a document").accounts, None);
}

/// Guards against a key that leads to either of two accounts.
#[test]
fn two_accounts_cannot_share_a_key() {
    let shared = document(1, Some(vec![account("a", &["k", "l"]), account("b", &["m", "l"])]));
    let error = shared.check().expect_err("an error");
    assert!(matches!(error, InvalidDocument::Accounts(InvalidAccounts::SharedKey(..))));
    assert_eq!(error.to_string(), "account b: a key also belongs to account a");
    let twice = document(1, Some(vec![account("a", &["k", "k"]), account("b", &["m"])]));
    assert_eq!(twice.check(), Ok(()), "an account may name a key twice");
}

/// Guards against two accounts that a change, which goes by names, would take for one.
#[test]
fn two_accounts_cannot_share_a_name() {
    let shared = document(1, Some(vec![account("a", &["k"]), account("a", &["l"])]));
    let error = shared.check().expect_err("an error");
    assert!(matches!(error, InvalidDocument::Accounts(InvalidAccounts::DuplicateName(_))));
}

/// Guards against quotas by which no share can be computed.
#[rstest]
#[case::negative_rate(-1.0, 1.0)]
#[case::infinite_rate(f64::INFINITY, 1.0)]
#[case::no_rate(f64::NAN, 1.0)]
#[case::negative_burst(1.0, -0.5)]
#[case::infinite_burst(1.0, f64::INFINITY)]
#[case::no_burst(1.0, f64::NAN)]
fn a_quota_without_a_usable_rate_and_burst_is_invalid(#[case] rate: f64, #[case] burst: f64) {
    let quota = Some(AccountQuota { rate: RequestRate(rate), burst });
    let invalid = document(1, Some(vec![ClientAccount { quota, ..account("a", &["k"]) }]));
    let error = invalid.check().expect_err("an error");
    assert!(matches!(error, InvalidDocument::Accounts(InvalidAccounts::InvalidQuota(_))));
}

/// Guards against an account that can still be used, or vanishes with its other settings, once it has lost its keys.
#[test]
fn an_account_that_lost_all_its_keys_stays_without_being_found() {
    let accounts = vec![account("a", &[]), account("b", &["k"])];
    let table = RouteTable::new(Arc::new(document(1, Some(accounts))));
    assert!(table.requires_keys());
    assert!(table.find_account(&digest("")).is_none());
    assert_eq!(table.find_account(&digest("k")).map(|found| found.account.as_str()), Some("b"));
    assert_eq!(table.document().accounts.as_ref().map(Vec::len), Some(2));
}

/// Guards against digests that differ between processes or releases, which exchange them.
#[test]
fn a_digest_is_the_same_in_every_process() {
    let mut bytes = Vec::new();
    ciborium::into_writer(&digest("k-1"), &mut bytes).expect("an encoded digest");
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(text, "c250491b5ff8ba0d8eacf20e636d1e6093f8");
    let decoded: KeyDigest = ciborium::from_reader(&*bytes).expect("a digest");
    assert_eq!(decoded, digest("k-1"));
}

/// Guards against digests that cannot be encoded, such as those that begin with zeros, and against equal ones.
#[test]
fn every_digest_can_be_encoded_and_is_its_own() {
    let digests: Vec<KeyDigest> =
        (0..MANY_ACCOUNTS).map(|number| digest(&format!("k-{number}"))).collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&digests, &mut bytes).expect("encoded digests");
    let decoded: Vec<KeyDigest> = ciborium::from_reader(&*bytes).expect("digests");
    assert_eq!(decoded, digests);
    assert_eq!(digests.iter().collect::<HashSet<_>>().len(), MANY_ACCOUNTS);
}

/// Guards against digests in logs, from which short keys could be found.
#[test]
fn debug_output_contains_no_digest() {
    let text = format!("{:?}", account("a", &["k-1"]));
    assert!(
        text.contains("KeyDigest(..)") && text.matches(char::is_numeric).count() == 0,
        "{text}"
    );
}

/// Guards against metrics whose number grows with the number of accounts.
#[test]
fn the_number_of_accounts_in_labels_is_bounded() {
    let mut labels = AccountLabels::default();
    let accounts = many_accounts();
    let distinct: HashSet<String> =
        accounts.iter().map(|account| labels.label(&account.account).to_owned()).collect();
    assert_eq!(distinct.len(), 65);
    assert_eq!(labels.label(&accounts[3].account), "account-3");
    assert_eq!(labels.label(&accounts[9_000].account), "(other)");
}

/// Guards against weights of zero, by which an account would have no share at all.
#[test]
fn an_account_without_a_rate_has_a_share_as_the_others_on_average() {
    let limited = |name: &str, rate: f64| ClientAccount {
        quota: Some(AccountQuota { rate: RequestRate(rate), burst: 0.0 }),
        ..account(name, &[])
    };
    let accounts = [limited("a", 10.0), limited("b", 30.0), limited("c", 0.0), account("d", &[])];
    let table = RouteTable::new(Arc::new(document(1, Some(accounts.to_vec()))));
    let weights =
        accounts.each_ref().map(|account| table.share_weight(account).expect("a weight").0);
    assert_eq!(weights, [10.0, 30.0, 20.0, 20.0]);
    let table = RouteTable::new(Arc::new(document(1, Some(vec![account("d", &[])]))));
    assert_eq!(table.share_weight(&account("d", &[])), Some(ShareWeight(1.0)));
    let table = RouteTable::new(Arc::new(document(1, None)));
    assert_eq!(table.share_weight(&account("d", &[])), None);
}
