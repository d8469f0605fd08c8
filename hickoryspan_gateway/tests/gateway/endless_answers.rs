//! Targets that send bytes without end, in a head, in a body or after a complete answer, until the entry closes the
//! connection. Memory and time must stay bounded, and other requests must not suffer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::support::{
    Deployment, ScriptedTarget, SeenRequest, TEST_TIMEOUT, TargetAction, TargetScript, get, route,
    to_service, to_shards,
};
use hickoryspan_core::gateway::documents::document::RepeatRule;
use rstest::rstest;

/// Size of each write of an endless answer.
const WRITE_BYTES: usize = 16 * 1024;
/// Number of crashes after which a request is refused.
const FAULTY_ANSWERS: usize = 3;

/// What an endless answer starts with, and what it repeats.
#[derive(Clone, Copy)]
enum EndlessAnswer {
    StatusLine,
    HeaderLine,
    HeaderLines,
    InterimAnswers,
    BodyWithoutLength,
    Chunks,
    ChunkExtension,
    Trailers,
}

impl EndlessAnswer {
    fn action(self, request: &SeenRequest) -> TargetAction {
        let id = request.header("hs-request-id").unwrap_or("none");
        let head = format!("HTTP/1.1 200 OK\r\nhs-request-id: {id}\r\nhs-stamp: endless\r\n");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let repeat = |text: &str| text.repeat(WRITE_BYTES / text.len());
        let (first, repeated) = match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), repeat("x")),
            Self::HeaderLine => (format!("{head}x-filler: "), repeat("x")),
            Self::HeaderLines => (head, repeat("x-filler: x\r\n")),
            Self::InterimAnswers => (String::new(), repeat("HTTP/1.1 102 Processing\r\n\r\n")),
            Self::BodyWithoutLength => (format!("{head}\r\n"), repeat("x")),
            Self::Chunks => (chunked, repeat("4\r\nxxxx\r\n")),
            Self::ChunkExtension => (format!("{chunked}4;"), repeat("x")),
            Self::Trailers => (format!("{chunked}0\r\n"), repeat("x-filler: x\r\n")),
        };
        TargetAction::SendForever(first.into_bytes(), repeated.into_bytes())
    }

    fn script(self) -> TargetScript {
        Arc::new(move |request| self.action(request))
    }
}

fn answering(body: &'static [u8]) -> TargetScript {
    Arc::new(move |request: &SeenRequest| TargetAction::Send(request.answer("stamp", body)))
}

/// Waits until the entry has closed all endless answers of a target.
async fn await_cut_off(target: &ScriptedTarget) {
    let cut_off = async {
        while target.endless.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, cut_off).await.expect("the entry closes the connection");
}

fn request_with_deadline(path: &str, millis: u64) -> Vec<u8> {
    let text = String::from_utf8(get(path)).expect("a text");
    text.replace("hs-deadline-ms: 6000", &format!("hs-deadline-ms: {millis}")).into_bytes()
}

// The request may have run, so it must neither be sent again nor be answered as if it had not run. It ends by its
// deadline at the latest, and requests to another target through the same entry are answered meanwhile.
#[rstest]
#[tokio::test]
async fn endless_answer_ends_as_a_lost_one(
    #[values(
        EndlessAnswer::StatusLine,
        EndlessAnswer::HeaderLine,
        EndlessAnswer::HeaderLines,
        EndlessAnswer::InterimAnswers,
        EndlessAnswer::BodyWithoutLength,
        EndlessAnswer::Chunks,
        EndlessAnswer::ChunkExtension,
        EndlessAnswer::Trailers
    )]
    endless: EndlessAnswer,
) {
    let faulty = ScriptedTarget::start(endless.script()).await;
    let sound = ScriptedTarget::start(answering(b"sound")).await;
    let mut deployment = Deployment::start().await;
    let routes = vec![
        route("/faulty/", RepeatRule::AtMostOnce, to_service("faulty")),
        route("/sound/", RepeatRule::Idempotent, to_service("sound")),
    ];
    deployment.configure(routes).await;
    deployment.announce("tf", "faulty", faulty.address).await;
    deployment.announce("ts", "sound", sound.address).await;
    let to_faulty = request_with_deadline("/faulty/", 1_000);
    let to_sound = get("/sound/");
    let (failed, answered) =
        tokio::join!(deployment.exchange(&to_faulty), deployment.exchange(&to_sound));
    assert!(matches!(failed.status, 502 | 504), "{failed:?}");
    assert_eq!((answered.status, answered.body.as_slice()), (200, b"sound".as_slice()));
    assert_eq!(faulty.count(), 1, "a request that may have run is not repeated");
    await_cut_off(&faulty).await;
    deployment.stop().await;
}

// Guards against a request that every entry refuses for minutes, because a faulty target's bytes were taken for crashes
// of its process.
#[rstest]
#[tokio::test]
async fn bytes_that_are_no_answer_are_no_crash(
    #[values(
        Some(EndlessAnswer::HeaderLines),
        Some(EndlessAnswer::BodyWithoutLength),
        Some(EndlessAnswer::Trailers),
        None
    )]
    endless: Option<EndlessAnswer>,
) {
    let seen = AtomicUsize::new(0);
    let target = ScriptedTarget::start(Arc::new(move |request: &SeenRequest| {
        match (seen.fetch_add(1, Ordering::SeqCst) < FAULTY_ANSWERS, endless) {
            (true, Some(endless)) => endless.action(request),
            (true, None) => TargetAction::Send(b"\x16\x03\x01 no answer\r\n\r\n".to_vec()),
            (false, _) => TargetAction::Send(request.answer("stamp", b"sound")),
        }
    }))
    .await;
    let mut deployment = Deployment::start().await;
    let destination = to_service("one");
    deployment.configure(vec![route("/one/", RepeatRule::AtMostOnce, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    for _ in 0..FAULTY_ANSWERS {
        let failed = deployment.exchange(&get("/one/")).await;
        assert!(matches!(failed.status, 502 | 504), "{failed:?}");
    }
    let answer = deployment.exchange(&get("/one/")).await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"sound".as_slice()));
    deployment.stop().await;
}

// In a fan-out the other target of the shard takes over.
#[rstest]
#[tokio::test]
async fn other_target_of_the_shard_replaces_an_endless_answer(
    #[values(
        EndlessAnswer::HeaderLines,
        EndlessAnswer::BodyWithoutLength,
        EndlessAnswer::InterimAnswers
    )]
    endless: EndlessAnswer,
) {
    const RECORD: &[u8] = &[7; 16];
    let faulty = ScriptedTarget::start(endless.script()).await;
    let sound = ScriptedTarget::start(answering(RECORD)).await;
    let neighbour = ScriptedTarget::start(answering(RECORD)).await;
    let mut deployment = Deployment::start().await;
    let destination = to_shards(&["a", "b"], 1.0);
    deployment.configure(vec![route("/all/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("faulty", "a", faulty.address).await;
    deployment.announce("sound", "a", sound.address).await;
    deployment.announce("neighbour", "b", neighbour.address).await;
    for _ in 0..4 {
        let answer = deployment.exchange(&get("/all/q")).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.header("hs-missing-parts"), Some("0"));
    }
    await_cut_off(&faulty).await;
    deployment.stop().await;
}

// Bytes after a complete answer belong to no request. The next request must not read them.
#[tokio::test]
async fn endless_bytes_after_an_answer_are_not_taken_for_the_next_one() {
    let target = ScriptedTarget::start(Arc::new(|request: &SeenRequest| {
        let filler = b"HTTP/1.1 200 OK\r\nhs-stamp: late\r\ncontent-length: 4\r\n\r\nlate".to_vec();
        TargetAction::SendForever(request.answer("stamp", b"own"), filler)
    }))
    .await;
    let mut deployment = Deployment::start().await;
    let destination = to_service("one");
    deployment.configure(vec![route("/one/", RepeatRule::Idempotent, destination)]).await;
    deployment.announce("t", "one", target.address).await;
    for number in 0..4 {
        let request = String::from_utf8(get("/one/")).expect("a text");
        let request = request.replace("r-1", &format!("r-{number}"));
        let answer = deployment.exchange(request.as_bytes()).await;
        assert_eq!((answer.status, answer.body.as_slice()), (200, b"own".as_slice()));
    }
    await_cut_off(&target).await;
    deployment.stop().await;
}
