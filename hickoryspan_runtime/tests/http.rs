//! Tests that the server limits its input and finishes requests at a planned stop, and that the client never reports a
//! request as not sent after a part of it was sent.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_runtime::http_client::{HttpConnection, SendError};
use hickoryspan_runtime::http_server::{
    HttpHandler, HttpLimits, HttpServer, ResponseFuture, read_body, text_response,
};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 1024;
/// Size of a response in bytes that exceeds the buffers of both sockets.
const LARGE_BYTES: usize = 64 * 1024 * 1024;

/// Answers `/slow` only after `release` is notified, and `/large` with a large body.
struct TestHandler {
    limits: HttpLimits,
    arrived: Notify,
    release: Notify,
}

impl HttpHandler for TestHandler {
    fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> ResponseFuture<'_> {
        Box::pin(async move {
            if request.uri().path() == "/slow" {
                self.arrived.notify_one();
                self.release.notified().await;
            }
            if request.uri().path() == "/large" {
                return text_response(StatusCode::OK, "x".repeat(LARGE_BYTES));
            }
            match read_body(request.into_body(), &self.limits, None).await {
                Ok(body) => text_response(StatusCode::OK, body.len().to_string()),
                Err(error) => text_response(error.status(), error.to_string()),
            }
        })
    }
}

async fn start(
    limits: HttpLimits,
) -> (SocketAddr, Arc<TestHandler>, CancellationToken, tokio::task::JoinHandle<()>) {
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap(), limits.clone()).await.unwrap();
    let address = server.local_address().unwrap();
    let handler = Arc::new(TestHandler { limits, arrived: Notify::new(), release: Notify::new() });
    let stop = CancellationToken::new();
    let task = tokio::spawn(server.serve(handler.clone(), stop.clone()));
    (address, handler, stop, task)
}

fn request(path: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::post(path).header("host", "test").body(Full::new(body.into())).unwrap()
}

#[tokio::test]
async fn large_bodies_are_refused() {
    let limits = HttpLimits { body_bytes: 16, ..Default::default() };
    let (address, _handler, stop, task) = start(limits).await;
    let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
    let small = connection.send(request("/", "0123456789"), MAX_RESPONSE_BYTES).await.unwrap();
    assert_eq!((small.status, &small.body[..]), (StatusCode::OK, b"10".as_slice()));
    let large = connection.send(request("/", vec![b'x'; 17]), MAX_RESPONSE_BYTES).await.unwrap();
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    connection.close().await;
    stop.cancel();
    task.await.unwrap();
}

#[tokio::test]
async fn a_stop_finishes_the_request_in_flight() {
    let (address, handler, stop, task) = start(HttpLimits::default()).await;
    let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
    let send = connection.send(request("/slow", "abc"), MAX_RESPONSE_BYTES);
    let stop_during = async {
        handler.arrived.notified().await;
        stop.cancel();
        handler.release.notify_one();
    };
    let (answer, ()) = tokio::join!(send, stop_during);
    assert_eq!(answer.unwrap().status, StatusCode::OK);
    task.await.unwrap();
    assert!(HttpConnection::open(address, TIMEOUT).await.is_err());
}

#[tokio::test]
async fn a_closed_connection_reports_that_nothing_was_sent() {
    let (address, _handler, stop, task) = start(HttpLimits::default()).await;
    let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
    connection.send(request("/", ""), MAX_RESPONSE_BYTES).await.unwrap();
    stop.cancel();
    task.await.unwrap();
    // The client detects the end of the connection only when the connection's task has read it.
    while !connection.is_closed() {
        tokio::task::yield_now().await;
    }
    let error = connection.send(request("/", "abc"), MAX_RESPONSE_BYTES).await.unwrap_err();
    assert!(matches!(error, SendError::NotSent(_)), "{error}");
}

#[tokio::test]
async fn a_connection_cut_after_the_request_reports_a_loss() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 64];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
    };
    let client = async {
        let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
        connection.send(request("/", "abc"), MAX_RESPONSE_BYTES).await.unwrap_err()
    };
    let ((), error) = tokio::join!(server, client);
    assert!(matches!(error, SendError::ConnectionLost(_)), "{error}");
}

// A peer that sends without end must not keep the process busy until a deadline ends the request.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header_line("HTTP/1.1 200 OK\r\nx-filler: ", "x")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x-filler: x\r\n")]
#[case::interim_responses("", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", "x")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x")]
#[case::trailers("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n")]
#[tokio::test]
async fn an_endless_response_ends_without_a_deadline(#[case] first: &str, #[case] repeated: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let repeated = repeated.repeat(1_000);
        let mut sent = stream.write_all(first.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(repeated.as_bytes()).await;
        }
    };
    let client = async {
        let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
        connection.send(request("/", "abc"), MAX_RESPONSE_BYTES).await.unwrap_err()
    };
    let ((), error) = tokio::join!(server, client);
    // Not a lost connection, which can mean that the peer has crashed.
    let is_invalid = matches!(error, SendError::InvalidResponse(_) | SendError::TooLarge(_));
    assert!(is_invalid, "{error}");
}

#[tokio::test]
async fn a_client_that_stops_reading_frees_its_connection_slot() {
    let read_time = Duration::from_millis(50);
    let limits = HttpLimits { connections: 1, read_time, ..Default::default() };
    let (address, _handler, stop, task) = start(limits).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET /large HTTP/1.1\r\nhost: test\r\n\r\n").await.unwrap();
    let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
    let sent = connection.send(request("/", ""), MAX_RESPONSE_BYTES);
    let answer = tokio::time::timeout(TIMEOUT, sent).await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    drop(idle);
    connection.close().await;
    stop.cancel();
    task.await.unwrap();
}

/// Returns all that is received until the connection ends.
async fn read_raw(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let end = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut received)).await.unwrap();
    end.unwrap_or_else(|error| panic!("{error} after {received:?}"));
    String::from_utf8(received).unwrap()
}

// Guards against a stop that resets a connection whose first request it has not read yet.
#[rstest]
#[case::waits_in_the_queue_of_the_system(0)]
#[case::was_accepted(100)]
#[tokio::test]
async fn a_stop_answers_the_first_request_on_a_new_connection(#[case] turns_before: usize) {
    let (address, _handler, stop, task) = start(HttpLimits::default()).await;
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    for _ in 0..turns_before {
        tokio::task::yield_now().await;
    }
    // The server shares this thread, so it runs again only after the request was sent and the stop has come.
    std::io::Write::write_all(&mut stream, b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").unwrap();
    stop.cancel();
    stream.set_nonblocking(true).unwrap();
    let answer = read_raw(&mut TcpStream::from_std(stream).unwrap()).await;
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    task.await.unwrap();
}

// Guards against a stop that closes a connection while the next request on it is already on its way.
#[tokio::test]
async fn a_stop_answers_a_request_that_was_sent_on_an_open_connection() {
    let (address, _handler, stop, task) = start(HttpLimits::default()).await;
    let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
    connection.send(request("/", ""), MAX_RESPONSE_BYTES).await.unwrap();
    stop.cancel();
    let answer = connection.send(request("/", "abc"), MAX_RESPONSE_BYTES).await.unwrap();
    assert_eq!((answer.status, &answer.body[..]), (StatusCode::OK, b"3".as_slice()));
    task.await.unwrap();
}

// Guards against requests that end with their connection when the drain time is over.
#[tokio::test]
async fn the_end_of_the_drain_time_answers_the_requests_in_flight() {
    let limits = HttpLimits { drain_time: Duration::from_millis(50), ..Default::default() };
    let (address, handler, stop, task) = start(limits).await;
    let mut connection = HttpConnection::open(address, TIMEOUT).await.unwrap();
    let send = connection.send(request("/slow", "abc"), MAX_RESPONSE_BYTES);
    let stop_during = async {
        handler.arrived.notified().await;
        stop.cancel();
    };
    let (answer, ()) = tokio::join!(send, stop_during);
    assert_eq!(answer.unwrap().status, StatusCode::GATEWAY_TIMEOUT);
    task.await.unwrap();
}

// Guards against refusals that are lost because the connection is reset while the caller still sends its request.
#[tokio::test]
async fn a_refusal_reaches_a_caller_that_still_sends_the_body() {
    let limits = HttpLimits { body_bytes: 16, ..Default::default() };
    let (address, _handler, stop, task) = start(limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: test\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; LARGE_BYTES]).await.unwrap();
    let answer = read_raw(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    stop.cancel();
    task.await.unwrap();
}
