//! Case: an unsafe request is rejected by both searchers of its service, which are full for a moment. One of them is
//! faulty: a second copy of its rejection arrives late, at the point where the next answer on that connection is expected.

mod rig;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::*;

const CLIENTS: u64 = 4;
/// How long the clients send, which is also how long one searcher is faulty: the pages give 5 s.
const SENDING: Duration = Duration::from_millis(4_800);
/// One request in this many finds both searchers full, so that one answer in 41 of the faulty one has a second copy at
/// most: 0.024, where the pages give 0.03.
const FULL_EVERY: u64 = 80;
const WORK: Duration = Duration::from_millis(10);
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(4);

/// What both searchers know of the requests, and what they have counted.
#[derive(Default)]
struct Desk {
    requests: Mutex<BTreeMap<String, Requested>>,
    answers_of_faulty: AtomicU64,
    copies: AtomicU64,
}

/// One client attempt.
#[derive(Clone, Default)]
struct Requested {
    /// Whether it meets full searchers when it first comes to them.
    meets_full: bool,
    rejected_by: Vec<usize>,
    runs: u32,
}

impl Desk {
    /// Returns whether this searcher is full when this request arrives. A second time there is room for it.
    fn is_full(&self, searcher: usize, id: &str) -> bool {
        let mut requests = self.requests.lock().expect("requests");
        let number = requests.len() as u64;
        let meets_full = number % FULL_EVERY == FULL_EVERY - 1;
        let requested = requests
            .entry(id.to_owned())
            .or_insert_with(|| Requested { meets_full, ..Requested::default() });
        let is_full = requested.meets_full && !requested.rejected_by.contains(&searcher);
        if is_full {
            requested.rejected_by.push(searcher);
        }
        is_full
    }

    fn note_run(&self, id: &str) -> u32 {
        let mut requests = self.requests.lock().expect("requests");
        let requested = requests.entry(id.to_owned()).or_default();
        requested.runs += 1;
        requested.runs
    }
}

/// A searcher, which serves one request at a time on each connection, as the pages say.
struct Searching {
    number: usize,
    is_faulty: bool,
    desk: Arc<Desk>,
    record: Record,
}

impl Searching {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let (number, record) = (self.number, &self.record);
        let mut late_copy: Option<(String, String)> = None;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            // The faulty searcher's second copy of its last answer goes out where the next answer is due.
            if let Some((of, copy)) = late_copy.take() {
                record
                    .line(format!("searcher {number}: second copy of its rejection of {of}, late"));
                if writer.write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            if self.is_faulty {
                self.desk.answers_of_faulty.fetch_add(1, Ordering::Relaxed);
            }
            if self.desk.is_full(number, &id) {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                record.line(format!("searcher {number}: is full, rejects {id} without running it"));
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                if self.is_faulty {
                    self.desk.copies.fetch_add(1, Ordering::Relaxed);
                    late_copy = Some((id, answer));
                }
                continue;
            }
            let count = self.desk.note_run(&id);
            record.line(format!("searcher {number}: runs {id}, run {count}"));
            thread::sleep(WORK);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: 3e1b.07.5a2.600.0.{id}\r\nContent-Length: 4\r\n\r\ndone"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Runs the case and returns its exit code. The deployment ends when it is dropped.
fn run() -> i32 {
    let record = Record::create(&record_path());
    let trouble = has_trouble();
    record.line(format!("trouble: {trouble}"));
    let Some(net) = Net::choose() else { return NOT_RUN };
    let mut deployment = Deployment::new(net.clone(), &["celje", "zalec"], &[1, 2, 3], 1);
    let controls: Vec<_> = (1..=3).map(|host| net.address(host, CONTROL_PORT)).collect();
    for host in 1..=3u8 {
        let zone = if host == 2 { "zalec" } else { "celje" };
        let machine =
            Machine { name: format!("core-{host}"), host, zone: zone.into(), is_core: true };
        if deployment.start(&machine, true).is_err() {
            return NOT_RUN;
        }
    }
    let entry = Machine { name: "front-1".into(), host: 11, zone: "celje".into(), is_core: false };
    if deployment.start(&entry, true).is_err() {
        return NOT_RUN;
    }
    let desk = Arc::<Desk>::default();
    let addresses = [net.address(100, SEARCHER_PORT), net.address(101, SEARCHER_PORT)];
    for (number, address) in addresses.into_iter().enumerate() {
        let searching = Searching {
            number,
            is_faulty: trouble && number == 0,
            desk: Arc::clone(&desk),
            record: record.clone(),
        };
        if serve(address, move |stream| searching.serve(stream)).is_err() {
            return NOT_RUN;
        }
    }
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{HOST}\",\"path-prefix\":\"/orders/\",\"kind\":\"unsafe\",\
         \"timeout-ms\":4000,\"target-latency-ms\":250,\"priority\":2,\"service\":\"orders\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"orders\",\"health-check-path\":\"/health\",\"connection-limit\":100,\"protocol\":\"h1\",\"transport-security\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    );
    let stored =
        control_call(&controls, "POST", "/Configuration.Replace", &config, Duration::from_secs(20));
    if stored.is_none_or(|answer| answer.status() != 200) {
        record.line("the configuration was not acknowledged");
        return NOT_RUN;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let searchers = ["celje", "zalec"].into_iter().zip(addresses).enumerate();
    let searchers = searchers.map(|(number, (zone, address))| Searcher {
        id: format!("i-7f3a91c{number}"),
        service: "orders".into(),
        zone: zone.into(),
        address,
        slots: 2,
    });
    if !announce_all(controls, searchers.collect(), Arc::clone(&stop)) {
        return NOT_RUN;
    }
    if !await_ready(net.address(11, READY_PORT), Duration::from_secs(20)) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(2));
    let front = net.address(11, FRONT_PORT);
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let mut endings = Vec::new();
                for number in 0.. {
                    if began.elapsed() >= SENDING {
                        break;
                    }
                    let id = format!("{:016x}", 0x9c41_d07b_0000_0000u64 + (client << 24) + number);
                    record.line(format!("client {client}: sends unsafe request {id}"));
                    let ending = request(
                        front,
                        "POST",
                        "/orders/2f",
                        &id,
                        Duration::from_millis(4_000),
                        b"one pallet",
                    );
                    record.line(format!("client {client}: {id} ends with {}", ending.text()));
                    endings.push((id, ending.status()));
                    thread::sleep(PAUSE);
                }
                endings
            })
        })
        .collect();
    let mut endings: BTreeMap<String, u16> = BTreeMap::new();
    for client in clients {
        endings.extend(client.join().expect("client"));
    }
    let served = endings.values().filter(|status| **status == 200).count();
    thread::sleep(Duration::from_secs(1));
    let requests = desk.requests.lock().expect("requests").clone();
    let runs_of = |id: &String| requests.get(id).map_or(0, |requested| requested.runs);
    let twice: Vec<&String> = requests.keys().filter(|id| runs_of(id) > 1).collect();
    let is_promise = |status: u16| matches!(status, 429 | 503 | 408 | 421);
    let refused = endings.iter().filter(|(id, status)| is_promise(**status) && runs_of(id) > 0);
    let refused: Vec<&String> = refused.map(|(id, _)| id).collect();
    record.line(format!(
        "requests {}, served {served}, run more than once {}, refused though run {}; second copies {} beside {} answers of the faulty searcher",
        endings.len(),
        twice.len(),
        refused.len(),
        desk.copies.load(Ordering::Relaxed),
        desk.answers_of_faulty.load(Ordering::Relaxed)
    ));
    for id in &twice {
        record.line(format!("TWICE: {id} ran {} times", runs_of(id)));
    }
    for id in &refused {
        record.line(format!("REFUSED: {id} was refused with {} and ran", endings[*id]));
    }
    drop(deployment);
    if served == 0 {
        return NOT_RUN;
    }
    if twice.is_empty() && refused.is_empty() { HELD } else { BROKEN }
}

fn main() {
    exit(run());
}
