//! Runs the command line tool inside the test process, and provides a mock control replica with scripted responses.

#![allow(dead_code, reason = "each test binary uses a part of the module")]
#![allow(clippy::unwrap_used, reason = "a failed helper has to fail its test")]

use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use gumdrop::Options;
use hickoryspan_ctl::arguments::CtlArguments;
use hickoryspan_ctl::exit_status::ExitStatus;
use hickoryspan_ctl::{CommandConsole, run};
use hickoryspan_runtime::settings::SettingsReader;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;

pub const CREDENTIAL: &str = "credential-of-the-tests";

#[derive(Clone, Default)]
struct SharedText(Arc<Mutex<Vec<u8>>>);

impl SharedText {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedText {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Exit status and output of a run.
#[derive(Debug)]
pub struct RunOutput {
    pub status: ExitStatus,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the command line tool with these control addresses and checks that its output does not contain the
/// credential.
pub async fn ctl(addresses: &[SocketAddr], arguments: &[&str]) -> RunOutput {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let addresses = addresses.join(",");
    let (stdout, stderr) = (SharedText::default(), SharedText::default());
    let mut console =
        CommandConsole { stdout: Box::new(stdout.clone()), stderr: Box::new(stderr.clone()) };
    let reader = SettingsReader::new(move |name| match name {
        "HICKORYSPAN_CREDENTIAL" => Some(CREDENTIAL.to_owned()),
        "HICKORYSPAN_CONTROL_ADDRESSES" => Some(addresses.clone()),
        "HICKORYSPAN_OPERATOR" => Some("ana".to_owned()),
        _ => None,
    });
    let arguments = CtlArguments::parse_args_default(arguments).unwrap();
    let status = run(arguments, reader, &mut console).await;
    let output = RunOutput { status, stdout: stdout.text(), stderr: stderr.text() };
    assert!(!format!("{output:?}").contains(CREDENTIAL), "{output:?}");
    output
}

/// What the mock control replica does with a request.
#[derive(Clone, Debug)]
pub enum MockBehavior {
    /// Responds with this status and body.
    Answer(StatusCode, String),
    /// Redirects to this address.
    Redirect(SocketAddr),
    /// Reads the request and closes the connection without a response.
    Close,
}

/// A mock control replica. Applies the scripted behaviors to its requests in order and repeats the last one.
pub struct MockControl {
    pub address: SocketAddr,
    bodies: Arc<Mutex<Vec<String>>>,
    _task: AbortOnDropHandle<()>,
}

impl MockControl {
    pub async fn start(behaviors: Vec<MockBehavior>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::serve(listener, behaviors)
    }

    pub fn serve(listener: TcpListener, behaviors: Vec<MockBehavior>) -> Self {
        let address = listener.local_addr().unwrap();
        let bodies = Arc::new(Mutex::new(Vec::new()));
        let received = Arc::clone(&bodies);
        let mut behaviors = VecDeque::from(behaviors);
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let body = read_request(&mut stream).await;
                received.lock().unwrap().push(body);
                let behavior = match behaviors.len() {
                    1 => behaviors[0].clone(),
                    _ => behaviors.pop_front().unwrap(),
                };
                respond(&mut stream, behavior).await;
            }
        });
        Self { address, bodies, _task: AbortOnDropHandle::new(task) }
    }

    /// Returns the bodies of the requests received so far.
    pub fn bodies(&self) -> Vec<String> {
        self.bodies.lock().unwrap().clone()
    }
}

// Reads a single request, because the client opens a new connection for each request.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |length| length.trim().parse().unwrap());
            if bytes.len() >= end + 4 + length {
                return String::from_utf8(bytes[end + 4..].to_vec()).unwrap();
            }
        }
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return String::new();
        }
    }
}

async fn respond(stream: &mut TcpStream, behavior: MockBehavior) {
    let (status, location, body) = match behavior {
        MockBehavior::Answer(status, body) => (status, String::new(), body),
        MockBehavior::Redirect(leader) => {
            let location = format!("location: http://{leader}/v1/admin/commands\r\n");
            (StatusCode::TEMPORARY_REDIRECT, location, String::new())
        }
        MockBehavior::Close => return,
    };
    let answer =
        format!("HTTP/1.1 {status}\r\n{location}content-length: {}\r\n\r\n{body}", body.len());
    // Ignores write errors, because the client may have timed out and closed the connection.
    let _ = stream.write_all(answer.as_bytes()).await;
}
