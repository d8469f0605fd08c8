//! Guards against a late copy of an answer that passes for the answer to another attempt: an order that runs would be
//! reported as `not_run` or be sent again.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use common::*;
use hickoryspan_core::membership::TargetRecord;
use hickoryspan_core::types::{ConnectionCount, SlotCount};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const ORDERS: usize = 6;

/// How often each order has run, by the caller's request ID.
type RunCounts = Arc<Mutex<HashMap<String, usize>>>;

fn find_field<'a>(head: &'a str, name: &str) -> &'a str {
    let find = |line: &'a str| line.strip_prefix(name)?.strip_prefix(": ");
    head.lines().find_map(find).unwrap_or_default()
}

fn answer(attempt: &str, status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nhs-attempt-id: {attempt}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sheds the first order on a connection. A copy of that answer follows where the next one is due, and the order that has
/// come there runs.
async fn serve(mut stream: TcpStream, runs: RunCounts) -> Option<()> {
    let mut copy = String::new();
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let attempt = find_field(&head, "hs-attempt-id");
        let sent = if copy.is_empty() {
            copy = answer(attempt, "503 Service Unavailable", r#"{"status":"shed"}"#);
            copy.clone()
        } else {
            let order = find_field(&head, "hs-request-id").to_owned();
            *runs.lock().unwrap().entry(order).or_default() += 1;
            copy.clone() + &answer(attempt, "200 OK", r#"{"status":"done","result":1}"#)
        };
        stream.write_all(sent.as_bytes()).await.ok()?;
    }
}

async fn start_copying_target(runs: RunCounts) -> (SocketAddr, JoinSet<Option<()>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            connections.spawn(serve(stream, Arc::clone(&runs)));
        }
    });
    (address, tasks)
}

#[tokio::test]
async fn a_late_copy_of_an_answer_is_not_taken_for_another_one() {
    let runs = RunCounts::default();
    let (address, tasks) = start_copying_target(Arc::clone(&runs)).await;
    let record = TargetRecord {
        target: "copying".parse().unwrap(),
        incarnation: Default::default(),
        address,
        tenant: TENANT.parse().unwrap(),
        service: "press".parse().unwrap(),
        failure_domain: "d1".parse().unwrap(),
        slots: SlotCount(2),
        connections: ConnectionCount(8),
        partitions: vec![single_partition()],
        draining: false,
    };
    let control = FakeControl::start(view([record], std::time::Duration::from_secs(2))).await;
    let entry = start_entry(&control).await;
    wait_ready(&entry, []).await;
    for number in 0..ORDERS {
        let id = format!("o{number}");
        let answer = order(entry.caller_address(), &order_headers(&id)).await;
        let ran = runs.lock().unwrap().get(&id).copied().unwrap_or_default();
        assert!(ran <= 1, "{id} ran {ran} times: {}", answer.body);
        assert!(answer.outcome() != "not_run" || ran == 0, "{id} ran: {}", answer.body);
    }
    assert!(!runs.lock().unwrap().is_empty(), "no order has come to a used connection");
    entry.stop().await;
    drop(tasks);
    control.stop().await;
}
