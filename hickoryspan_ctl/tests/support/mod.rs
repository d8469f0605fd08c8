//! Runs the command line in this process, against control replicas or a stand-in with scripted answers.

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

/// A finished run.
#[derive(Debug)]
pub struct Ended {
    pub status: ExitStatus,
    pub results: String,
    pub notes: String,
}

/// Runs the command line with these addresses; no output may show the credential.
pub async fn ctl(addresses: &[SocketAddr], arguments: &[&str]) -> Ended {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    let addresses = addresses.join(",");
    let (results, notes) = (SharedText::default(), SharedText::default());
    let mut console =
        CommandConsole { results: Box::new(results.clone()), notes: Box::new(notes.clone()) };
    let reader = SettingsReader::new(move |name| match name {
        "HICKORYSPAN_CREDENTIAL" => Some(CREDENTIAL.to_owned()),
        "HICKORYSPAN_CONTROL_ADDRESSES" => Some(addresses.clone()),
        "HICKORYSPAN_OPERATOR" => Some("ana".to_owned()),
        _ => None,
    });
    let arguments = CtlArguments::parse_args_default(arguments).unwrap();
    let status = run(arguments, reader, &mut console).await;
    let ended = Ended { status, results: results.text(), notes: notes.text() };
    assert!(!format!("{ended:?}").contains(CREDENTIAL), "{ended:?}");
    ended
}

/// What the stand-in does with one request.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// Answers with status and body.
    Answer(StatusCode, String),
    /// Redirects to the address.
    Redirect(SocketAddr),
    /// Reads the request and closes the connection.
    Close,
}

/// A stand-in for a control replica: reacts to requests in order, and repeats the last reaction.
pub struct StandIn {
    pub address: SocketAddr,
    bodies: Arc<Mutex<Vec<String>>>,
    _task: AbortOnDropHandle<()>,
}

impl StandIn {
    pub async fn start(reactions: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::serve(listener, reactions)
    }

    pub fn serve(listener: TcpListener, reactions: Vec<Reaction>) -> Self {
        let address = listener.local_addr().unwrap();
        let bodies = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&bodies);
        let mut reactions = VecDeque::from(reactions);
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let body = read_request(&mut stream).await;
                seen.lock().unwrap().push(body);
                let reaction = match reactions.len() {
                    1 => reactions[0].clone(),
                    _ => reactions.pop_front().unwrap(),
                };
                react(&mut stream, reaction).await;
            }
        });
        Self { address, bodies, _task: AbortOnDropHandle::new(task) }
    }

    /// The bodies of the requests so far.
    pub fn bodies(&self) -> Vec<String> {
        self.bodies.lock().unwrap().clone()
    }
}

// The client closes its connection after each request, so that one request is read from each.
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

async fn react(stream: &mut TcpStream, reaction: Reaction) {
    let (status, location, body) = match reaction {
        Reaction::Answer(status, body) => (status, String::new(), body),
        Reaction::Redirect(leader) => {
            let location = format!("location: http://{leader}/v1/admin/commands\r\n");
            (StatusCode::TEMPORARY_REDIRECT, location, String::new())
        }
        Reaction::Close => return,
    };
    let answer =
        format!("HTTP/1.1 {status}\r\n{location}content-length: {}\r\n\r\n{body}", body.len());
    // The client may have given up meanwhile.
    let _ = stream.write_all(answer.as_bytes()).await;
}
