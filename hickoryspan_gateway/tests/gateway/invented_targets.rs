//! Targets that do not exist, which anyone who reaches a control host can announce and report as gone.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, get, route, to_service,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use hickoryspan_core::gateway::membership::messages::DirectoryUpdate;
use hickoryspan_core::gateway::targets::directory::{
    AnnouncementAge, TargetAnnouncement, TargetDeparture, TargetPhase,
};
use hickoryspan_core::types::{FailureDomain, ServiceId, TargetId, WallTime};
use hickoryspan_gateway::{AnnounceVerdict, LinkHandler};

/// Number of targets that the control host may know.
const MAX_TARGETS: usize = 16;
/// Departures that are reported. Far more than there is room for.
const DEPARTURES: usize = 400;
/// Targets that another control host passes on.
const PEER_TARGETS: u16 = 400;
/// Bytes of one target in memory, as the limit assumes. It takes fewer on disk.
const TARGET_BYTES: u64 = 1_024;
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

fn invented_target(number: u16) -> TargetAnnouncement {
    TargetAnnouncement {
        target: TargetId::new(format!("invented-{number}")).expect("a name"),
        age: AnnouncementAge { started: WallTime(1), sequence: 1 },
        service: ServiceId::new("one").expect("a name"),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + number),
        domain: FailureDomain::new("a").expect("a domain"),
        slots: 2,
        phase: TargetPhase::Ready,
        cold: Duration::ZERO,
    }
}

/// Guards against a limit that each control host applies to what is announced at itself, while all of them know the sum.
#[tokio::test]
async fn targets_that_other_hosts_pass_on_are_bounded() {
    let deployment = Deployment::start_with_targets(MAX_TARGETS).await;
    let peer = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
    let targets = (0..PEER_TARGETS).map(invented_target).collect();
    deployment.hub.apply(peer, DirectoryUpdate::Targets(targets));
    deployment.hub.save();
    let saved = deployment.saved_bytes();
    let room = MAX_TARGETS as u64 * TARGET_BYTES;
    assert!(saved <= room, "{saved} bytes are remembered, {room} at most");
    deployment.stop().await;
}

/// Guards against a flood of invented departures after which true targets cannot leave, and against a departure that is
/// confirmed though no entry was told of it.
#[tokio::test]
async fn a_known_target_leaves_during_a_flood_of_invented_departures() {
    let mut deployment = Deployment::start_with_targets(MAX_TARGETS).await;
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, to_service("one"))]).await;
    let true_target = invented_target(0);
    assert_eq!(announce_itself(&deployment, &true_target).await, AnnounceVerdict::Accepted);
    let departure = |target| TargetDeparture { target, started: Some(WallTime(1)) };
    let invented = (1..PEER_TARGETS).map(|number| departure(invented_target(number).target));
    let mut verdicts = Vec::new();
    for departure in invented {
        let hub = Arc::clone(&deployment.hub);
        verdicts.push(tokio::spawn(async move { hub.depart(departure).await }));
    }
    let mut unconfirmed = 0;
    for verdict in verdicts {
        unconfirmed +=
            usize::from(verdict.await.expect("a verdict") == AnnounceVerdict::Unconfirmed);
    }
    // All came within about a second, in which few are sent to the entries.
    assert!(unconfirmed > usize::from(PEER_TARGETS) / 2, "{unconfirmed} are unconfirmed");
    let verdict = deployment.hub.depart(departure(true_target.target)).await;
    assert_eq!(verdict, AnnounceVerdict::Accepted);
    deployment.stop().await;
}

/// Guards against an entry that takes all targets that control hosts name, and against one that never learns those it
/// had no room for.
#[tokio::test]
async fn an_entry_takes_a_target_when_there_is_room() {
    let mut deployment = Deployment::start().await;
    let answer = |request: &SeenRequest| TargetAction::Send(request.answer("stamp", b"answer"));
    let target = ScriptedTarget::start(Arc::new(answer)).await;
    let invented = invented_target(0);
    deployment.add_entry_with_targets(1).await;
    deployment.configure(vec![route("/two/", RepeatRule::Idempotent, to_service("two"))]).await;
    assert_eq!(announce_itself(&deployment, &invented).await, AnnounceVerdict::Accepted);
    // Confirmed by both entries, so the invented target comes first.
    deployment.depart("nobody").await;
    deployment.announce("true", "two", target.address).await;
    let answer = deployment.exchange_at(1, &get("/two/")).await;
    assert_eq!((answer.status, answer.body.as_slice()), (503, b"no_target".as_slice()));
    assert_eq!(deployment.exchange_at(0, &get("/two/")).await.status, 200);
    deployment.hub.depart(TargetDeparture { target: invented.target, started: None }).await;
    let served = async {
        while deployment.exchange_at(1, &get("/two/")).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, served).await.expect("the target is learned");
    deployment.stop().await;
}

/// Announces a target from its own address.
async fn announce_itself(deployment: &Deployment, target: &TargetAnnouncement) -> AnnounceVerdict {
    deployment.hub.announce(target.address.ip(), target.clone()).await
}
