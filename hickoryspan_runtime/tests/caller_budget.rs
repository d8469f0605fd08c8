//! Which connections are ended when callers need more room than there is.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hickoryspan_runtime::caller_budget::{
    AnswerRoom, BudgetExhausted, CallerAccount, CallerBudget, CallerBudgetSettings, RequestCharge,
};
use hickoryspan_runtime::http_server::{
    HttpHandler, HttpLimits, HttpServer, ResponseFuture, charge_of, read_body, text_response,
};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Time after which a request that runs may be ended for others.
const LONG_RUN: Duration = Duration::from_millis(1_050);
/// Much longer than any step takes when it works.
const TIMEOUT: Duration = Duration::from_secs(10);

const SETTINGS: CallerBudgetSettings = CallerBudgetSettings {
    connections: 8,
    small_bytes: 20_000,
    large_bytes: 200_000,
    answer_bytes: 100_000,
};

fn peer(last: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, last)), 1)
}

/// A connection with one request.
struct Caller {
    account: Arc<CallerAccount>,
    charge: Arc<RequestCharge>,
}

impl Caller {
    fn open(budget: &Arc<CallerBudget>, last: u8) -> Self {
        let account = budget.open(peer(last)).unwrap();
        let (parts, ()) = Request::new(()).into_parts();
        let charge = account.begin_request(&parts);
        Self { account, charge }
    }

    fn with_bytes(budget: &Arc<CallerBudget>, last: u8, bytes: usize) -> Self {
        let caller = Self::open(budget, last);
        caller.charge.add(bytes).unwrap();
        caller
    }
}

// Guards against the loss of a caller that has just begun while one stays that began long ago and holds as much.
#[test]
fn the_slowest_goes_first() {
    let budget = CallerBudget::new(SETTINGS);
    let slow = Caller::with_bytes(&budget, 1, 60_000);
    let middle = Caller::with_bytes(&budget, 2, 60_000);
    let fast = Caller::with_bytes(&budget, 3, 60_000);
    let next = Caller::with_bytes(&budget, 4, 60_000);
    assert!(slow.charge.is_evicted());
    assert!([middle, fast, next].iter().all(|caller| !caller.charge.is_evicted()));
}

// Guards against the loss of a request that is complete.
#[test]
fn complete_requests_stay() {
    let budget = CallerBudget::new(SETTINGS);
    let complete: Vec<_> = (1..4).map(|last| Caller::with_bytes(&budget, last, 60_000)).collect();
    complete.iter().for_each(|caller| caller.charge.complete());
    let next = Caller::open(&budget, 4);
    assert_eq!(next.charge.add(60_000), Err(BudgetExhausted));
    assert!(complete.iter().all(|caller| !caller.charge.is_evicted()));
}

// Guards against a crowd at one address that displaces a caller at another one, or that takes all room.
#[test]
fn an_address_that_holds_much_goes_before_others() {
    let budget = CallerBudget::new(SETTINGS);
    let crowd: Vec<_> = (0..3).map(|_| Caller::with_bytes(&budget, 1, 45_000)).collect();
    let other = Caller::with_bytes(&budget, 9, 50_000);
    let next = Caller::with_bytes(&budget, 2, 50_000);
    assert!(!other.charge.is_evicted());
    assert!(!next.charge.is_evicted());
    assert!(crowd[0].charge.is_evicted());
    // Complete requests of one address take three quarters of the room at most.
    let budget = CallerBudget::new(SETTINGS);
    let complete: Vec<_> = (0..3).map(|_| Caller::with_bytes(&budget, 1, 50_000)).collect();
    complete.iter().for_each(|caller| caller.charge.complete());
    assert_eq!(Caller::open(&budget, 1).charge.add(20_000), Err(BudgetExhausted));
    Caller::with_bytes(&budget, 2, 50_000);
}

// Guards against small requests that are refused because large ones have taken the room.
#[test]
fn small_requests_have_room_beside_large_ones() {
    let budget = CallerBudget::new(SETTINGS);
    let large: Vec<_> = (1..4).map(|last| Caller::with_bytes(&budget, last, 60_000)).collect();
    large.iter().for_each(|caller| caller.charge.complete());
    let small = Caller::with_bytes(&budget, 5, 10_000);
    assert!(!small.charge.is_evicted());
}

// Guards against a request inside the limits that is refused though nobody else is there.
#[test]
fn a_request_larger_than_all_room_is_kept_while_it_is_alone() {
    let budget = CallerBudget::new(SETTINGS);
    let alone = Caller::with_bytes(&budget, 1, 262_144);
    alone.charge.complete();
    assert!(!alone.charge.is_evicted());
}

// Guards against room that is never given back, after which nobody is served any more.
#[test]
fn everything_is_given_back() {
    let budget = CallerBudget::new(SETTINGS);
    for _ in 0..1_000 {
        let caller = Caller::with_bytes(&budget, 1, 140_000);
        caller.charge.complete();
        caller.charge.note_answer(50_000);
    }
    for _ in 0..1_000 {
        // Each is ended by the next one.
        Caller::with_bytes(&budget, 1, 140_000);
    }
    let whole = Caller::with_bytes(&budget, 1, 140_000);
    assert!(!whole.charge.is_evicted());
    assert_eq!(budget.connections(), 1);
}

// Guards against memory that is taken for a request before those that were ended for it have dropped theirs.
#[tokio::test]
async fn a_request_waits_for_what_ended_ones_hold() {
    let budget = CallerBudget::new(SETTINGS);
    let ended: Vec<_> = (1..4).map(|last| Caller::with_bytes(&budget, last, 60_000)).collect();
    let next = Caller::with_bytes(&budget, 4, 60_000);
    assert!(ended[0].charge.is_evicted());
    let mut room = Box::pin(next.charge.await_room());
    assert!(is_pending(&mut room).await);
    drop(ended);
    room.await;
}

/// Returns whether a future waits.
async fn is_pending<T>(future: &mut (impl Future<Output = T> + Unpin)) -> bool {
    tokio::select! {
        biased;
        _ = future => false,
        () = tokio::task::yield_now() => true,
    }
}

// Guards against callers that cannot connect because others have connected and send nothing.
#[test]
fn a_new_connection_ends_the_oldest_idle_one() {
    let budget = CallerBudget::new(SETTINGS);
    let running = Caller::open(&budget, 1);
    running.charge.complete();
    let idle: Vec<_> = (0..7).map(|_| Caller::open(&budget, 1)).collect();
    let next = budget.open(peer(2));
    assert!(next.is_some());
    assert!(!running.charge.is_evicted());
    let evicted = idle.iter().map(|caller| caller.charge.is_evicted()).collect::<Vec<_>>();
    assert_eq!(evicted.iter().filter(|evicted| **evicted).count(), 1);
    assert!(evicted[0]);
    drop((running.account, idle));
}

// Guards against an answer that is given up for the next one before its caller could read it.
#[tokio::test]
async fn an_answer_that_is_read_is_not_given_up() {
    let budget = CallerBudget::new(SETTINGS);
    for last in 1..4 {
        let caller = Caller::open(&budget, last);
        caller.charge.complete();
        hold_answer(&caller.charge, 80_000).await;
        caller.charge.note_answer(80_000);
        let next = Caller::open(&budget, 9);
        next.charge.complete();
        let mut reserved = Box::pin(hold_answer(&next.charge, 80_000));
        assert!(is_pending(&mut reserved).await);
        assert!(!caller.charge.is_evicted());
        drop(caller);
        reserved.await;
    }
}

// Guards against answers whose callers do not read them and that take the room of others, and against requests that wait
// for each other's answers.
#[tokio::test]
async fn an_unread_answer_makes_room_for_the_next_one() {
    let budget = CallerBudget::new(SETTINGS);
    let unread = Caller::open(&budget, 1);
    unread.charge.complete();
    hold_answer(&unread.charge, 80_000).await;
    unread.charge.note_answer(80_000);
    let next = Caller::open(&budget, 2);
    next.charge.complete();
    // A small answer has room, and a large one waits until the caller had time to read.
    hold_answer(&next.charge, 10_000).await;
    assert!(!unread.charge.is_evicted());
    let next = Caller::open(&budget, 2);
    next.charge.complete();
    hold_answer(&next.charge, 70_000).await;
    assert!(unread.charge.is_evicted());
    // Another part of an answer is not waited for.
    let other = Caller::open(&budget, 3);
    other.charge.complete();
    let mut room = AnswerRoom::new(&other.charge);
    room.grow(5_000).await.unwrap();
    assert_eq!(room.grow(80_000).await, Err(BudgetExhausted));
}

/// Takes room for an answer, which the request keeps.
async fn hold_answer(charge: &RequestCharge, bytes: usize) {
    let mut room = AnswerRoom::new(charge);
    room.grow(bytes).await.unwrap();
    room.keep(bytes);
}

// Guards against a request to many shards that is lost because its parts do not fit all at once, though little of each is
// kept.
#[tokio::test]
async fn parts_of_a_request_wait_for_each_other() {
    let budget = CallerBudget::new(SETTINGS);
    let caller = Caller::open(&budget, 1);
    caller.charge.complete();
    let mut first = AnswerRoom::new(&caller.charge);
    first.grow(60_000).await.unwrap();
    let mut second = AnswerRoom::new(&caller.charge);
    let mut waiting = Box::pin(second.grow(60_000));
    assert!(is_pending(&mut waiting).await);
    first.keep(320);
    waiting.await.unwrap();
}

// Guards against work for another process that takes all room of answers, counts as a connection or is ended for one.
#[tokio::test]
async fn tasks_share_the_room_of_answers() {
    let budget = CallerBudget::new(SETTINGS);
    let task = budget.begin_task(peer(1), 100).unwrap();
    assert_eq!(budget.connections(), 0);
    let mut room = AnswerRoom::new(&task);
    room.grow(60_000).await.unwrap();
    let caller = Caller::open(&budget, 2);
    caller.charge.complete();
    let mut next = AnswerRoom::new(&caller.charge);
    let mut waiting = Box::pin(next.grow(60_000));
    assert!(is_pending(&mut waiting).await);
    assert!(!task.is_evicted());
    drop(room);
    waiting.await.unwrap();
    let large = budget.begin_task(peer(1), 100_000).unwrap();
    assert!(budget.begin_task(peer(1), 100_000).is_err());
    budget.begin_task(peer(3), 100).unwrap();
    drop(large);
}

/// Reads a body once `release` is notified, which stands for a pause of this process.
#[derive(Default)]
struct PausingHandler {
    arrived: Notify,
    release: Notify,
}

impl HttpHandler for PausingHandler {
    fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture<'_> {
        Box::pin(async move {
            self.arrived.notify_one();
            self.release.notified().await;
            let (parts, body) = request.into_parts();
            let charge = charge_of(&parts);
            match read_body(body, &HttpLimits::default(), charge.as_deref()).await {
                Ok(_) => text_response(StatusCode::OK, "run"),
                Err(error) => text_response(error.status(), error.to_string()),
            }
        })
    }
}

// Guards against a request that becomes complete while its connection is being ended: it would be passed on to a target,
// and the connection would be closed without its answer.
#[tokio::test]
async fn a_request_on_a_connection_that_is_being_ended_is_not_passed_on() {
    let budget = CallerBudget::new(CallerBudgetSettings { connections: 1, ..SETTINGS });
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), HttpLimits::default()).await.unwrap();
    let server = server.with_budget(Arc::clone(&budget));
    let address = server.local_address().unwrap();
    let handler = Arc::new(PausingHandler::default());
    let stop = CancellationToken::new();
    let task = tokio::spawn(server.serve(handler.clone(), stop.clone()));
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab").await.unwrap();
    tokio::time::timeout(TIMEOUT, handler.arrived.notified()).await.unwrap();
    let next = budget.open(peer(9));
    assert!(next.is_some());
    handler.release.notify_one();
    let mut answer = Vec::new();
    tokio::time::timeout(TIMEOUT, caller.read_to_end(&mut answer)).await.unwrap().unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    stop.cancel();
    task.await.unwrap();
}

// Guards against connections that are ended for new ones which are then refused all the same.
#[tokio::test]
async fn a_refused_connection_ends_no_other() {
    let budget = CallerBudget::new(SETTINGS);
    let mut open = Vec::new();
    for _ in 0..SETTINGS.connections {
        open.push(budget.open(peer(1)).unwrap());
    }
    // The ended one has not gone yet, and there is no room for more beside it.
    let next = budget.open(peer(2)).unwrap();
    assert!(budget.open(peer(3)).is_none());
    let ended = open.iter().filter(|account| is_ended(account)).count();
    assert_eq!(ended, 1);
    drop(next);
}

fn is_ended(account: &CallerAccount) -> bool {
    futures::FutureExt::now_or_never(account.evicted()).is_some()
}

/// Opens connections of one address whose requests are complete and run.
fn run_requests(budget: &Arc<CallerBudget>, last: u8, count: usize, bytes: usize) -> Vec<Caller> {
    let open = |_| {
        let caller = Caller::with_bytes(budget, last, bytes);
        caller.charge.complete();
        caller
    };
    (0..count).map(open).collect()
}

// Guards against a crowd of whole requests that run for long and keep all others from connecting.
#[tokio::test]
async fn a_long_run_is_ended_for_an_address_that_has_less() {
    let budget = CallerBudget::new(SETTINGS);
    let crowd = run_requests(&budget, 1, SETTINGS.connections, 100);
    // Requests that have just begun are not ended.
    assert!(budget.open(peer(2)).is_none());
    tokio::time::sleep(LONG_RUN).await;
    // Members of the crowd do not end each other.
    assert!(budget.open(peer(1)).is_none());
    let next = budget.open(peer(2)).unwrap();
    let ended = crowd.iter().filter(|caller| caller.charge.is_evicted()).count();
    assert_eq!(ended, 1);
    drop(next);
}

// Guards against large whole requests that run for long and take the room of all others.
#[tokio::test]
async fn a_large_run_makes_room_for_an_address_that_has_less() {
    let budget = CallerBudget::new(SETTINGS);
    let crowd = [run_requests(&budget, 1, 2, 50_000), run_requests(&budget, 2, 2, 50_000)];
    let next = Caller::open(&budget, 3);
    assert_eq!(next.charge.add(50_000), Err(BudgetExhausted));
    drop(next);
    tokio::time::sleep(LONG_RUN).await;
    let next = Caller::with_bytes(&budget, 3, 50_000);
    let ended = crowd.iter().flatten().filter(|caller| caller.charge.is_evicted()).count();
    assert_eq!(ended, 1);
    drop(next);
}

// Guards against callers with a fair part that lose their requests to others.
#[tokio::test]
async fn a_fair_part_is_not_ended() {
    let budget = CallerBudget::new(SETTINGS);
    let half = SETTINGS.connections / 2;
    let crowd = [run_requests(&budget, 1, half, 100), run_requests(&budget, 2, half, 100)];
    tokio::time::sleep(LONG_RUN).await;
    assert!(budget.open(peer(1)).is_none());
    assert!(crowd.iter().flatten().all(|caller| !caller.charge.is_evicted()));
}
