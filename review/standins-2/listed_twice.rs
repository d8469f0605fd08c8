//! Case: a version names one service twice among the shards of a route. Answers then hold two parts of that service.

mod rig;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rig::*;

const SHARDS: usize = 8;
const REQUESTS: u64 = 40;
const RESULT_LIMIT: usize = 20;
const TIME_LIMIT: Duration = Duration::from_millis(1_200);
const PROPAGATION: Duration = Duration::from_millis(3_000);

/// The service of each stamp that a searcher has handed out, with the request.
type Stamps = Arc<Mutex<HashMap<String, (String, String)>>>;

struct Shard {
    service: String,
    searcher: usize,
    stamps: Stamps,
    next: Arc<AtomicU64>,
}

impl Shard {
    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let stamp =
                format!("3e1b.{}.{}", self.searcher, self.next.fetch_add(1, Ordering::Relaxed));
            let known = (self.service.clone(), id.clone());
            self.stamps.lock().expect("stamps").insert(stamp.clone(), known);
            // All searchers of a shard hold the same records.
            let records: Vec<u8> = (0..5u8)
                .flat_map(|record| {
                    let mut bytes = [record; 16];
                    bytes[..self.service.len()].copy_from_slice(self.service.as_bytes());
                    bytes
                })
                .collect();
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\nServer-Load: 1,0,2\r\nContent-Length: {}\r\n\r\n",
                records.len()
            );
            if writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&records)).is_err()
            {
                return;
            }
        }
    }
}

fn config(version: u32, shards: &[String]) -> String {
    let services: Vec<String> = (0..SHARDS)
        .map(|shard| format!("{{\"name\":\"shard{shard}\",\"health-check-path\":\"/health\",\"connection-limit\":26,\"protocol\":\"h1\",\"transport-security\":false}}"))
        .collect();
    let shards: Vec<String> = shards.iter().map(|shard| format!("\"{shard}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-lots\",\"host\":\"{HOST}\",\"path-prefix\":\"/lots/\",\"kind\":\"safe\",\
         \"timeout-ms\":1200,\"target-latency-ms\":80,\"priority\":1,\"shard-services\":[{}],\"max-attempts\":2,\
         \"result-limit\":{RESULT_LIMIT},\"minimum-shard-share\":0.89}}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        shards.join(","),
        services.join(",")
    )
}

/// Runs the case and returns its exit code. The deployment ends when it is dropped.
fn run() -> i32 {
    let record = Record::create(&record_path());
    let trouble = has_trouble();
    record.line(format!("trouble: {trouble}"));
    let Some(net) = Net::choose() else { return NOT_RUN };
    let mut deployment = Deployment::new(net.clone(), &["celje", "zalec"], &[1, 2, 3], 1);
    for host in [1u8, 2, 3, 11, 12] {
        let is_core = host < 11;
        let kind = if is_core { "core" } else { "front" };
        let zone = if host % 2 == 0 { "zalec" } else { "celje" };
        let machine = Machine { name: format!("{kind}-{host}"), host, zone: zone.into(), is_core };
        if deployment.start(&machine, true).is_err() {
            return NOT_RUN;
        }
    }
    let controls: Vec<SocketAddr> = (1..=3).map(|host| net.address(host, CONTROL_PORT)).collect();
    let replace = |version: u32, shards: &[String]| {
        let body = config(version, shards);
        let answer = control_call(
            &controls,
            "POST",
            "/Configuration.Replace",
            &body,
            Duration::from_secs(20),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!(
            "operator: version {version} with the shards {}: {status}",
            shards.join(" ")
        ));
        status
    };
    let all: Vec<String> = (0..SHARDS).map(|shard| format!("shard{shard}")).collect();
    if replace(7, &all) != 200 {
        return NOT_RUN;
    }
    let stamps = Stamps::default();
    let next = Arc::<AtomicU64>::default();
    let mut searchers = Vec::new();
    for number in 0..SHARDS * 2 {
        let address = net.address(100 + number as u8, SEARCHER_PORT);
        let service = all[number / 2].clone();
        let shard = Shard {
            service: service.clone(),
            searcher: number,
            stamps: Arc::clone(&stamps),
            next: Arc::clone(&next),
        };
        if serve(address, move |stream| shard.serve(stream)).is_err() {
            return NOT_RUN;
        }
        let zone = if number % 2 == 0 { "celje" } else { "zalec" };
        searchers.push(Searcher {
            id: format!("i-{number:08x}"),
            service,
            zone: zone.into(),
            address,
            slots: 2,
        });
    }
    if !announce_all(controls.clone(), searchers, Arc::new(AtomicBool::new(false))) {
        return NOT_RUN;
    }
    for host in [11, 12] {
        if !await_ready(net.address(host, READY_PORT), Duration::from_secs(20)) {
            return NOT_RUN;
        }
    }
    thread::sleep(Duration::from_secs(2));
    // The new list has the same services; with the trouble, one of them stands in it twice.
    let mut named: Vec<String> = all.iter().rev().cloned().collect();
    if trouble {
        named.push(all[3].clone());
    }
    let acknowledged = replace(8, &named) == 200;
    thread::sleep(PROPAGATION);
    let mut tally: BTreeMap<&'static str, u64> = BTreeMap::new();
    for number in 0..REQUESTS {
        let front = net.address(11 + (number % 2) as u8, FRONT_PORT);
        let id = format!("{number:016x}");
        let ending = request(front, "GET", "/lots/2f", &id, TIME_LIMIT, b"");
        let verdict = match &ending {
            Ending::Answer(answer) if answer.status() == 200 => {
                let stamps = stamps.lock().expect("stamps");
                let parts = answer.headers.iter().filter(|(name, _)| name == "part-stamps");
                let parts: Vec<&str> =
                    parts.flat_map(|(_, value)| value.split(',')).map(str::trim).collect();
                let services: Vec<&str> = parts
                    .iter()
                    .filter_map(|stamp| stamps.get(*stamp))
                    .filter(|(_, of)| *of == id)
                    .map(|(service, _)| service.as_str())
                    .collect();
                let different: BTreeSet<&str> = services.iter().copied().collect();
                record.line(format!("client: {id} ends with 200, parts of {}", services.join(" ")));
                if services.len() < parts.len() {
                    "success with a stamp that is not of this request"
                } else if different.len() < parts.len() {
                    "success with two stamps of one service"
                } else {
                    "sound success"
                }
            }
            ending => {
                record.line(format!("client: {id} ends with {}", ending.text()));
                "no success"
            }
        };
        *tally.entry(verdict).or_default() += 1;
    }
    for (verdict, count) in &tally {
        record.line(format!("{count} of {REQUESTS} requests: {verdict}"));
    }
    let sound = tally.get("sound success").copied().unwrap_or(0);
    let mixed: u64 = tally
        .iter()
        .filter(|(verdict, _)| verdict.starts_with("success"))
        .map(|(_, count)| count)
        .sum();
    record.line(format!("version 8 acknowledged: {acknowledged}; wrong successes: {mixed}"));
    match (mixed, sound) {
        (0, 0) => NOT_RUN,
        (0, _) => HELD,
        _ => BROKEN,
    }
}

fn main() {
    exit(run());
}
