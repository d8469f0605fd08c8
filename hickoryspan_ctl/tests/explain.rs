//! `explain` against a stand-in for an entry on loopback.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread::JoinHandle;

use serde_json::{Value, json};

/// Answers one request and returns it.
fn serve_once(answer: &Value) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = answer.to_string();
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut seen = Vec::new();
        let mut buffer = [0; 4_096];
        while !seen.ends_with(b"}") {
            let count = stream.read(&mut buffer).unwrap();
            seen.extend_from_slice(&buffer[..count]);
        }
        let length = body.len();
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").unwrap();
        String::from_utf8(seen).unwrap()
    });
    (address, served)
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickoryspan-ctl"))
        .args(arguments)
        .env_clear()
        .output()
        .unwrap()
}

fn explanation() -> Value {
    json!({
        "entry": "front-1", "version": 7, "policy": "expected-work", "route": "list",
        "account": null, "priority": 1,
        "checks": [{"check": "route", "passed": true, "detail": "by host and path prefix"}],
        "work": {"mean_ms": 28.0, "high_ms": 51.5, "source": "route", "explained": 0.25},
        "hedge_after_ms": 40.0, "further_services": 3,
        "services": [{"service": "one", "queue": 0.5, "targets": [{
            "target": "t-1", "domain": "a", "excluded": "ejected", "cost": 0.03, "aversion": 1.0,
            "in_flight": 2, "wait_ms": 4.0, "service_ms": 28.0, "report_age_ms": 12,
            "cold": true, "overdue": false, "limited": false
        }]}]
    })
}

// Guards against a text that leaves out why a target is not chosen, and a key that reaches the command line.
#[test]
fn explanation_is_printed_as_text() {
    let (address, served) = serve_once(&explanation());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("key");
    std::fs::write(&file, "a-key\n").unwrap();
    let key = ["--key-file", file.to_str().unwrap()];
    let address = address.to_string();
    let place = ["explain", address.as_str(), "search.example", "/list/x?y=1"];
    let output = run(&[place.as_slice(), &key].concat());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    for part in
        ["front-1", "route list", "passed", "28.0 ms", "25%", "t-1", "ejected cold", "3 further"]
    {
        assert!(text.contains(part), "{part} is missing in {text}");
    }
    let question = served.join().unwrap();
    assert!(question.starts_with("POST /explain"), "{question}");
    for part in ["\"key\":\"a-key\"", "\"path\":\"/list/x?y=1\"", "\"method\":\"GET\""] {
        assert!(question.contains(part), "{part} is missing in {question}");
    }
}

#[test]
fn explanation_is_printed_as_json() {
    let (address, served) = serve_once(&explanation());
    let address = address.to_string();
    let output = run(&["--json", "explain", &address, "search.example", "/list/x"]);
    let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(printed, explanation());
    served.join().unwrap();
}

// Guards against an exit code 0 without an explanation.
#[test]
fn entry_that_does_not_answer_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let output = run(&["explain", &address, "search.example", "/list/x"]);
    assert_eq!(output.status.code(), Some(5), "{output:?}");
    assert_eq!(run(&["explain", "nowhere", "search.example", "/"]).status.code(), Some(2));
}
