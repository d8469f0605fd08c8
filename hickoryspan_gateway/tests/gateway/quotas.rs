//! Quotas of accounts over several real entries on loopback.

use std::sync::Arc;
use std::time::Duration;

use hickoryspan_core::gateway::documents::accounts::{AccountQuota, ClientAccount, KeyDigest};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_core::types::{AccountId, RequestRate};

use crate::support::{
    CallerAnswer, Deployment, ScriptedTarget, SeenRequest, TargetAction, route, to_service,
};

const KEY: &str = "key-of-the-account";
const QUOTA: AccountQuota = AccountQuota { rate: RequestRate(4.0), burst: 4.0 };
/// Requests in 5 s that users allow: `(4 * 5 + 4) * 1.1 + 20`.
const ALLOWED: usize = 46;
/// Time after its start from which a control host counts requests, and some more.
const COUNTING_TIME: Duration = Duration::from_millis(1_500);
/// More requests than the quota allows at once, and with the slack that users tolerate.
const REQUESTS: usize = 70;
/// Retries at the named times until one must have been served.
const MAX_RETRIES: usize = 8;

fn get_with_key(path: &str) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nhost: search.example\r\nhs-request-id: r-1\r\nhs-deadline-ms: 6000\r\nhs-key: {KEY}\r\n\r\n"
    )
    .into_bytes()
}

async fn start(target: &ScriptedTarget) -> Deployment {
    let mut deployment = Deployment::start_with(1, RelaySettings::default()).await;
    deployment.accounts = Some(vec![ClientAccount {
        account: AccountId::new("account").expect("a name"),
        keys: vec![KeyDigest::of(KEY.as_bytes())],
        priority: None,
        quota: Some(QUOTA),
    }]);
    let rule = route("/", RepeatRule::AtMostOnce, to_service("records"));
    deployment.configure(vec![rule]).await;
    deployment.announce("target", "records", target.address).await;
    // Until then, a control host that has just started leaves each entry a small share.
    tokio::time::sleep(COUNTING_TIME).await;
    deployment
}

fn retry_after(answer: &CallerAnswer) -> Duration {
    let text = answer.header("retry-after").expect("a time after which to retry");
    Duration::from_secs_f64(text.parse().expect("seconds"))
}

/// Guards against entries that each allow a whole quota, and against refusals after the time that they name.
#[tokio::test]
async fn both_entries_together_keep_to_a_quota_and_serve_again_after_the_named_time() {
    let target = ScriptedTarget::start(Arc::new(|request: &SeenRequest| {
        TargetAction::Send(request.answer("stamp", b"record"))
    }))
    .await;
    let deployment = start(&target).await;
    let mut refusal = None;
    for request in 0..REQUESTS {
        let answer = deployment.exchange_at(request % 2, &get_with_key("/parcel")).await;
        assert!(matches!(answer.status, 200 | 429), "status {}", answer.status);
        if answer.status == 429 {
            refusal = Some(answer);
        }
    }
    let served = target.seen.lock().expect("the requests").len();
    // The burst of the quota is served, and no more than users allow.
    assert!((QUOTA.burst as usize..=ALLOWED).contains(&served), "{served} requests served");
    let mut refusal = refusal.expect("a refusal");
    // On a busy machine a control host may answer too late, and the entry then refuses by its own share.
    for _ in 0..MAX_RETRIES {
        tokio::time::sleep(retry_after(&refusal)).await;
        // The named time may be longer than the lease of a target.
        deployment.announce("target", "records", target.address).await;
        refusal = deployment.exchange_at(0, &get_with_key("/parcel")).await;
        if refusal.status == 200 {
            break;
        }
    }
    assert_eq!(refusal.status, 200);
    deployment.stop().await;
}
