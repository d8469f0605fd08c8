//! Departures of targets that do not exist, which anyone who reaches a control host can report.

use std::time::Duration;

use crate::support::{Deployment, TEST_TIMEOUT, route, to_service};
use hickoryspan_core::gateway::documents::document::RepeatRule;

/// Number of targets that the control host may know.
const MAX_TARGETS: usize = 16;
/// Departures that are reported. Far more than there is room for.
const DEPARTURES: usize = 400;
/// Bytes of one departure on disk at most: a short name and a time.
const DEPARTURE_BYTES: u64 = 100;

/// Guards against departures that fill the memory of the control hosts and entries that remember them, and the disk.
#[tokio::test]
async fn departures_of_unknown_targets_are_bounded() {
    let mut deployment = Deployment::start_with_targets(MAX_TARGETS).await;
    // Departures are accepted only where a leader is known.
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    let departures = async {
        for number in 0..DEPARTURES {
            deployment.depart(&format!("invented-{number}")).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT + Duration::from_secs(30), departures).await.expect("an end");
    deployment.hub.save();
    let saved = deployment.saved_bytes();
    let room = (MAX_TARGETS as u64 + 1) * DEPARTURE_BYTES;
    assert!(saved <= room, "{saved} bytes are remembered, {room} at most");
    deployment.stop().await;
}
