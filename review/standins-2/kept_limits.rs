//! Case: a version raises `max-header-bytes`. Clients that keep their connections use the new limit some seconds after its
//! acknowledgement.

mod rig;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::*;

const CLIENTS: u64 = 24;
const FRONTS: u64 = 3;
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
/// A client's pause between two requests on its connection.
const PAUSE: Duration = Duration::from_millis(400);
/// Limits on headers of the two versions, in bytes.
const OLD_LIMIT: usize = 16_384;
const NEW_LIMIT: usize = 65_536;
/// Size of the header that a client sends under the new limit, in bytes.
const LARGE_HEADER: usize = 20_000;
/// `config-propagation-ms`.
const PROPAGATION: Duration = Duration::from_millis(3_000);

/// A client that keeps its connection for many requests.
struct Client {
    front: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    /// Sends a request on the kept connection, or on a new one if there is none. Returns the status and whether the
    /// connection was kept; status 0 if there was no answer.
    fn request(&mut self, id: &str, padding: usize) -> (u16, bool) {
        let is_kept = self.stream.is_some();
        if self.stream.is_none() {
            self.stream = connect(self.front, TIME_LIMIT).ok().map(BufReader::new);
        }
        let Some(stream) = self.stream.as_mut() else { return (0, false) };
        let head = format!(
            "GET /orders/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: 4000\r\nX-Token: {}\r\n\r\n",
            "t".repeat(padding)
        );
        let sent = stream.get_mut().write_all(head.as_bytes());
        let answer = sent.and_then(|()| read_message(stream)).ok().flatten();
        let Some(answer) = answer else {
            self.stream = None;
            return (0, is_kept);
        };
        if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.stream = None;
        }
        (answer.status(), is_kept)
    }
}

fn config(version: u32, header_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{HOST}\",\"path-prefix\":\"/orders/\",\"kind\":\"safe\",\
         \"timeout-ms\":4000,\"target-latency-ms\":250,\"priority\":2,\"service\":\"orders\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"orders\",\"health-check-path\":\"/health\",\"connection-limit\":100,\"protocol\":\"h1\",\"transport-security\":false}}],\
         \"limits\":{{\"max-header-bytes\":{header_bytes},\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

fn serve_orders(stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let id = request.header("request-id").unwrap_or("").to_owned();
        thread::sleep(Duration::from_millis(5));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: 3e1b.07.5a2.600.0.{id}\r\nServer-Load: 1,0,2\r\nContent-Length: 5\r\n\r\norder"
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Runs the case and returns its exit code. The deployment ends when it is dropped.
fn run() -> i32 {
    let record = Record::create(&record_path());
    let trouble = has_trouble();
    record.line(format!("trouble: {trouble}"));
    let Some(net) = Net::choose() else { return NOT_RUN };
    let mut deployment =
        Deployment::new(net.clone(), &["celje", "zalec", "mozirje"], &[1, 2, 3], 1);
    for host in (1..=3u8).chain(11..11 + FRONTS as u8) {
        let zone = ["celje", "zalec", "mozirje"][usize::from(host % 3)];
        let is_core = host < 11;
        let kind = if is_core { "core" } else { "front" };
        let machine = Machine { name: format!("{kind}-{host}"), host, zone: zone.into(), is_core };
        if deployment.start(&machine, true).is_err() {
            return NOT_RUN;
        }
    }
    let controls: Vec<SocketAddr> = (1..=3).map(|host| net.address(host, CONTROL_PORT)).collect();
    let replace = |version: u32, header_bytes: usize| {
        let body = config(version, header_bytes);
        let answer = control_call(
            &controls,
            "POST",
            "/Configuration.Replace",
            &body,
            Duration::from_secs(20),
        );
        answer.is_some_and(|answer| answer.status() == 200)
    };
    // Without the trouble, the higher limit holds from the start and version 8 changes nothing.
    if !replace(7, if trouble { OLD_LIMIT } else { NEW_LIMIT }) {
        return NOT_RUN;
    }
    let searchers: Vec<Searcher> = (0..3u8)
        .map(|number| Searcher {
            id: format!("i-7f3a91c{number}"),
            service: "orders".into(),
            zone: ["celje", "zalec", "mozirje"][usize::from(number)].into(),
            address: net.address(100 + number, SEARCHER_PORT),
            slots: 6,
        })
        .collect();
    for searcher in &searchers {
        if serve(searcher.address, serve_orders).is_err() {
            return NOT_RUN;
        }
    }
    if !announce_all(controls.clone(), searchers, Arc::new(AtomicBool::new(false))) {
        return NOT_RUN;
    }
    for host in 11..11 + FRONTS as u8 {
        if !await_ready(net.address(host, READY_PORT), Duration::from_secs(20)) {
            return NOT_RUN;
        }
    }
    thread::sleep(Duration::from_secs(2));
    // Set once the clients may use the new limit.
    let is_in_force = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(0));
    let tally: Arc<Mutex<BTreeMap<(&'static str, u16), u64>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = net.address(11 + (number % FRONTS) as u8, FRONT_PORT);
            let (record, tally, stop) = (record.clone(), Arc::clone(&tally), Arc::clone(&stop));
            let (is_in_force, next_id) = (Arc::clone(&is_in_force), Arc::clone(&next_id));
            thread::spawn(move || {
                let mut client = Client { front, stream: None };
                let mut has_used_limit = false;
                while !stop.load(Ordering::Relaxed) {
                    let is_large = is_in_force.load(Ordering::Relaxed) && !has_used_limit;
                    has_used_limit |= is_large;
                    let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
                    let padding = if is_large { LARGE_HEADER } else { 16 };
                    let (status, is_kept) = client.request(&id, padding);
                    let kind = match (is_large, is_kept) {
                        (false, _) => "small",
                        (true, true) => "large, kept connection",
                        (true, false) => "large, new connection",
                    };
                    if is_large || status != 200 {
                        record.line(format!("client {number}: {id} ({kind}) ends with {status}"));
                    }
                    *tally.lock().expect("tally").entry((kind, status)).or_default() += 1;
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if !replace(8, NEW_LIMIT) {
        return NOT_RUN;
    }
    let acknowledged_at = Instant::now();
    record.line(format!("version 8 is acknowledged: max-header-bytes {NEW_LIMIT}"));
    thread::sleep(PROPAGATION + Duration::from_secs(2));
    // The same request on a new connection of each front machine shows that version 8 is in force there.
    let mut is_allowed = true;
    for front in 0..FRONTS {
        let mut client = Client { front: net.address(11 + front as u8, FRONT_PORT), stream: None };
        let (status, _) = client.request(&format!("{:016x}", 0xff00 + front), LARGE_HEADER);
        record
            .line(format!("front {front}: a large header on a new connection ends with {status}"));
        is_allowed &= status == 200;
    }
    record.line(format!(
        "{:.1} s after the acknowledgement the clients use the new limit",
        acknowledged_at.elapsed().as_secs_f64()
    ));
    is_in_force.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let tally = tally.lock().expect("tally");
    for ((kind, status), count) in tally.iter() {
        record.line(format!("{count} requests ({kind}) ended with {status}"));
    }
    let all: u64 = tally.values().sum();
    let is_denied =
        |status: u16| (300..500).contains(&status) && ![408, 421, 429].contains(&status);
    let denied: u64 =
        tally.iter().filter(|((_, status), _)| is_denied(*status)).map(|(_, count)| count).sum();
    let kept: u64 = tally
        .iter()
        .filter(|((kind, _), _)| *kind == "large, kept connection")
        .map(|(_, count)| count)
        .sum();
    record.line(format!("refused as only version 7 allows: {denied} of {kept} large requests on kept connections; requests in all: {all}"));
    if !is_allowed || kept == 0 {
        return NOT_RUN;
    }
    if denied > 0 { BROKEN } else { HELD }
}

fn main() {
    exit(run());
}
