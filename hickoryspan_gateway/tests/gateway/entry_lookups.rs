//! Look-ups of entries that an entry answers from what the control hosts report.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::{Deployment, TEST_TIMEOUT, route, to_service};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::fanouts::relays::RelaySettings;
use hickoryspan_gateway::GatewayEntry;

fn listed(entry: &GatewayEntry) -> BTreeSet<SocketAddr> {
    entry.entry_list().open_entries().into_iter().map(|open| open.caller_address).collect()
}

/// Waits until an entry lists `count` entries, and returns them.
async fn await_listed(entry: &GatewayEntry, count: usize) -> BTreeSet<SocketAddr> {
    let complete = async {
        while listed(entry).len() != count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, complete).await.expect("the list is complete");
    listed(entry)
}

// A caller may ask any entry, so all of them must know the same open entries. One that stops disappears.
#[tokio::test]
async fn all_entries_know_the_open_entries() {
    let mut deployment = Deployment::start_with(2, RelaySettings::default()).await;
    let entry = deployment.entry.as_ref().expect("an entry");
    assert!(listed(entry).is_empty(), "without a configuration no entry is open");
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    let entry = deployment.entry.as_ref().expect("an entry");
    let all = await_listed(entry, 3).await;
    assert!(all.contains(&deployment.address));
    for other in &deployment.others {
        assert_eq!(await_listed(other, 3).await, all);
    }
    let stopped = deployment.entry.take().expect("an entry");
    stopped.drain().await;
    for other in &deployment.others {
        assert!(!await_listed(other, 2).await.contains(&deployment.address));
    }
    deployment.stop().await;
}
