//! Case: all searchers of a service crash once while they run the same ordinary query, and are back after some seconds.
//! Later comes the final fault. The query is of the kind that many clients send: the same path every time.

mod rig;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::*;

/// The figures of `pladekort` in glasplade-soeg.toml: 160 ms of work, and the requests a second of its `scale` days.
const WORK: Duration = Duration::from_millis(160);
const REQUESTS_PER_SECOND: f64 = 24.8;
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
const SEARCHERS: usize = 5;
/// Nine of ten requests are for the same record.
const OTHERS_EVERY: u64 = 10;
const POPULAR_PATH: &str = "/plates/2f";
/// Time before the crash.
const CALM: Duration = Duration::from_secs(10);
/// How long the searchers are down: the pages give 3.5 to 4.5 s.
const DOWN: Duration = Duration::from_millis(3_500);
/// Time between their return and the final fault.
const AFTER_RETURN: Duration = Duration::from_secs(4);
/// How long the machines are down in the final fault.
const MACHINES_DOWN: Duration = Duration::from_millis(600);
const RECOVERY: Duration = Duration::from_secs(12);
/// How long requests are judged after that.
const JUDGED: Duration = Duration::from_secs(12);

/// What a searcher runs at the moment, as it tells the rig.
type Running = Arc<Mutex<BTreeMap<usize, BTreeSet<String>>>>;

/// The searcher's process: it announces itself, serves one request at a time on each connection, and tells the rig on its
/// standard output what it runs.
fn run_searcher(arguments: &[String]) {
    let [id, address, zone, controls @ ..] = arguments else { return };
    let Ok(address) = address.parse::<SocketAddr>() else { return };
    let controls: Vec<SocketAddr> = controls.iter().filter_map(|text| text.parse().ok()).collect();
    let served = serve(address, |stream: TcpStream| {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or("").to_owned();
            println!("runs {id} {}", request.path());
            thread::sleep(WORK);
            println!("ends {id} {}", request.path());
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: 3e1b.07.5a2.600.0.{id}\r\nServer-Load: 1,0,6\r\nContent-Length: 5\r\n\r\nplate"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    if served.is_err() {
        return;
    }
    let searcher = Searcher {
        id: id.clone(),
        service: "konservering".into(),
        zone: zone.clone(),
        address,
        slots: 6,
    };
    announce_all(controls, vec![searcher], Arc::new(AtomicBool::new(false)));
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

/// The searchers' processes.
struct Searchers {
    net: Net,
    controls: Vec<SocketAddr>,
    running: Running,
    record: Record,
    processes: Vec<Option<Child>>,
    starts: usize,
}

impl Searchers {
    fn start(&mut self, number: usize) {
        self.starts += 1;
        let zone = ["midt-a", "midt-b", "midt-a", "midt-b", "midt-c"][number % 5];
        let address = self.net.address(100 + number as u8, SEARCHER_PORT);
        let mut command = Command::new(std::env::current_exe().expect("own program"));
        command.args(["searcher", &format!("i-{:08x}", self.starts), &address.to_string(), zone]);
        command.args(self.controls.iter().map(ToString::to_string));
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
        let Ok(mut child) = child else { return };
        note_process(child.id());
        let lines = child.stdout.take().expect("the searcher's output");
        let (running, record) = (Arc::clone(&self.running), self.record.clone());
        thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                record.line(format!("searcher {number}: {line}"));
                let mut running = running.lock().expect("running");
                let of_this = running.entry(number).or_default();
                match line.split_once(' ') {
                    Some(("runs", request)) => drop(of_this.insert(request.to_owned())),
                    Some(("ends", request)) => drop(of_this.remove(request)),
                    _ => {}
                }
            }
        });
        self.processes[number] = Some(child);
    }

    fn crash_all(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
        }
        for child in self.processes.iter_mut() {
            if let Some(mut child) = child.take() {
                let _ = child.wait();
            }
        }
        self.running.lock().expect("running").clear();
    }

    /// Returns how many searchers run the popular query.
    fn count_busy(&self) -> usize {
        let running = self.running.lock().expect("running");
        let is_popular = |request: &String| request.ends_with(POPULAR_PATH);
        running.values().filter(|requests| requests.iter().any(is_popular)).count()
    }
}

impl Drop for Searchers {
    fn drop(&mut self) {
        self.crash_all();
    }
}

/// One request of a client, for the check.
struct Sent {
    at: Instant,
    is_popular: bool,
    status: u16,
}

fn run() -> i32 {
    let record = Record::create(&record_path());
    let trouble = has_trouble();
    record.line(format!("trouble: {trouble}"));
    let Some(net) = Net::choose() else { return NOT_RUN };
    let mut deployment =
        Deployment::new(net.clone(), &["midt-a", "midt-b", "midt-c"], &[1, 2, 3], 2);
    let zones = ["midt-a", "midt-a", "midt-b", "midt-b", "midt-c"];
    let cores = (0..5u8).map(|index| Machine {
        name: format!("core-{}", index + 1),
        host: index + 1,
        zone: zones[usize::from(index)].into(),
        is_core: true,
    });
    let fronts = (0..3u8).map(|index| Machine {
        name: format!("front-{}", index + 1),
        host: index + 11,
        zone: ["midt-a", "midt-b", "midt-c"][usize::from(index)].into(),
        is_core: false,
    });
    let machines: Vec<Machine> = cores.chain(fronts).collect();
    for machine in &machines {
        if deployment.start(machine, true).is_err() {
            return NOT_RUN;
        }
    }
    let controls: Vec<SocketAddr> = (1..=5).map(|host| net.address(host, CONTROL_PORT)).collect();
    let config = |version: u32| {
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-plates\",\"host\":\"{HOST}\",\"path-prefix\":\"/plates/\",\"kind\":\"safe\",\
             \"timeout-ms\":4000,\"target-latency-ms\":600,\"priority\":2,\"service\":\"konservering\",\"max-attempts\":2}}],\
             \"services\":[{{\"name\":\"konservering\",\"health-check-path\":\"/health\",\"connection-limit\":49,\"protocol\":\"h1\",\"transport-security\":false}}],\
             \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
        )
    };
    let replace = |version: u32| {
        let body = config(version);
        let answer = control_call(
            &controls,
            "POST",
            "/Configuration.Replace",
            &body,
            Duration::from_secs(20),
        );
        answer.is_some_and(|answer| answer.status() == 200)
    };
    if !replace(7) {
        return NOT_RUN;
    }
    let mut searchers = Searchers {
        net: net.clone(),
        controls: controls.clone(),
        running: Arc::default(),
        record: record.clone(),
        processes: (0..SEARCHERS).map(|_| None).collect(),
        starts: 0,
    };
    (0..SEARCHERS).for_each(|number| searchers.start(number));
    for host in 11..=13 {
        if !await_ready(net.address(host, READY_PORT), Duration::from_secs(20)) {
            return NOT_RUN;
        }
    }
    thread::sleep(Duration::from_secs(2));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = {
        let (sent, stop, record, net) =
            (Arc::clone(&sent), Arc::clone(&stop), record.clone(), net.clone());
        thread::spawn(move || {
            let began = Instant::now();
            let mut number = 0u64;
            while !stop.load(Ordering::Relaxed) {
                if number as f64 >= began.elapsed().as_secs_f64() * REQUESTS_PER_SECOND {
                    thread::sleep(Duration::from_millis(3));
                    continue;
                }
                let is_popular = number % OTHERS_EVERY != OTHERS_EVERY - 1;
                let path = if is_popular {
                    POPULAR_PATH.to_owned()
                } else {
                    format!("/plates/{number:x}")
                };
                let front = net.address(11 + (number % 3) as u8, FRONT_PORT);
                let id = format!("{number:016x}");
                number += 1;
                let (sent, record) = (Arc::clone(&sent), record.clone());
                thread::spawn(move || {
                    let at = Instant::now();
                    let ending = request(front, "GET", &path, &id, TIME_LIMIT, b"");
                    record.line(format!("client: {id} {path} ends with {}", ending.text()));
                    sent.lock().expect("sent").push(Sent {
                        at,
                        is_popular,
                        status: ending.status(),
                    });
                });
            }
        })
    };
    thread::sleep(CALM);
    if trouble {
        // Any moment would do at which some of them run the query, which is most of the time.
        let waited = Instant::now();
        while searchers.count_busy() < 3 && waited.elapsed() < Duration::from_secs(10) {
            thread::sleep(Duration::from_millis(1));
        }
        let busy = searchers.count_busy();
        searchers.crash_all();
        record.line(format!(
            "all {SEARCHERS} searchers have crashed, {busy} of them while they ran {POPULAR_PATH}"
        ));
        thread::sleep(DOWN);
        (0..SEARCHERS).for_each(|number| searchers.start(number));
        record.line("the searchers are started again");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(AFTER_RETURN);
    if !replace(8) {
        record.line("version 8 was not acknowledged");
        return NOT_RUN;
    }
    let fault_at = Instant::now();
    record
        .line("version 8 is acknowledged; the final fault: all processes of the system are killed");
    for machine in &machines {
        deployment.kill_now(&machine.name);
    }
    for machine in &machines {
        deployment.kill(&machine.name);
    }
    thread::sleep(MACHINES_DOWN.saturating_sub(fault_at.elapsed()));
    for machine in &machines {
        if deployment.start(machine, false).is_err() {
            return NOT_RUN;
        }
    }
    let back_at = Instant::now();
    record.line("all processes are started again");
    thread::sleep(RECOVERY + JUDGED);
    stop.store(true, Ordering::Relaxed);
    let _ = clients.join();
    let judged_until = back_at + RECOVERY + JUDGED;
    thread::sleep(TIME_LIMIT + Duration::from_millis(500));
    let sent = sent.lock().expect("sent");
    let share = |name: &str, filter: &dyn Fn(&Sent) -> bool| {
        let all = sent.iter().filter(|sent| filter(sent)).count();
        let served = sent.iter().filter(|sent| filter(sent) && sent.status == 200).count();
        record.line(format!("{name}: {served} of {all} served"));
        (served as f64 / all.max(1) as f64, all)
    };
    let is_late = |sent: &Sent| sent.at > back_at + RECOVERY && sent.at < judged_until;
    let (before, _) = share("before the final fault", &|sent| sent.at < fault_at);
    let (after, count) = share("later than 12 s after the machines were back", &is_late);
    share("of these, the query that many clients send", &|sent| is_late(sent) && sent.is_popular);
    share("of these, other queries", &|sent| is_late(sent) && !sent.is_popular);
    if before < 0.25 || count == 0 {
        return NOT_RUN;
    }
    if after < 0.25 { BROKEN } else { HELD }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "searcher") {
        return run_searcher(&arguments[1..]);
    }
    exit(run());
}
