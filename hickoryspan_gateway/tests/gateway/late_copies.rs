//! Targets that send a second copy of an answer, late: at the point where the next answer on that connection is due. The
//! request ID tells whose answer it is, unless the same request was sent on that connection twice.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TargetAction, TargetScript, get, route, to_service,
    to_shards,
};
use hickoryspan_core::gateway::documents::document::{RepeatRule, RouteDestination};
use rstest::rstest;

const RECORD: [u8; 16] = [7; 16];

/// What a target has done.
#[derive(Default)]
struct TargetRecord {
    /// The last answer on each connection, of which a copy is to follow.
    owed: HashMap<usize, Vec<u8>>,
    has_rejected: bool,
    runs: usize,
}

fn rejection(id: &str, status: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nhs-request-id: {id}\r\nhs-not-run: 1\r\n");
    format!("{head}content-length: 0\r\n\r\n").into_bytes()
}

/// A target that rejects the first request and has room for it when it comes again. It sends a late copy of its rejection.
fn copying_target(record: &Arc<Mutex<TargetRecord>>, status: &'static str) -> TargetScript {
    let record = Arc::clone(record);
    Arc::new(move |request: &SeenRequest| {
        let mut record = record.lock().expect("the record");
        let id = request.header("hs-request-id").expect("an ID");
        let copy = record.owed.remove(&request.connection).unwrap_or_default();
        if !std::mem::replace(&mut record.has_rejected, true) {
            let answer = rejection(id, status);
            record.owed.insert(request.connection, answer.clone());
            return TargetAction::Send([copy, answer].concat());
        }
        record.runs += 1;
        TargetAction::Send([copy, request.answer("stamp", &RECORD)].concat())
    })
}

// Guards against a late copy of a rejection that passes for the answer to the second send of the same request: the request
// would be sent a third time and run twice.
#[rstest]
#[tokio::test]
async fn a_late_copy_of_a_rejection_is_no_answer_to_the_next_send(
    #[values("503 Busy", "429 Busy", "421 Other")] status: &'static str,
    #[values(
        (RepeatRule::AtMostOnce, to_service("one")),
        (RepeatRule::Idempotent, to_service("one")),
        (RepeatRule::Idempotent, to_shards(&["one"], 1.0))
    )]
    served: (RepeatRule, RouteDestination),
) {
    let records = [(); 2].map(|()| Arc::<Mutex<TargetRecord>>::default());
    let mut deployment = Deployment::start().await;
    let (repeat, destination) = served;
    deployment.configure(vec![route("/one/", repeat, destination)]).await;
    let mut targets = Vec::new();
    for (number, record) in records.iter().enumerate() {
        let target = ScriptedTarget::start(copying_target(record, status)).await;
        deployment.announce(&format!("t{number}"), "one", target.address).await;
        targets.push(target);
    }
    let answer = deployment.exchange(&get("/one/")).await;
    let runs: usize = records.iter().map(|record| record.lock().expect("the record").runs).sum();
    assert_eq!((answer.status, runs), (200, 1), "{answer:?}");
    deployment.stop().await;
}
