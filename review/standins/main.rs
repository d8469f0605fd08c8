//! Stand-ins for the platform, the operator, clients and searchers, and the cases that use them.
//!
//! Built by `review/build.sh` with the standard library alone. `run.sh` of a case calls it with the number of the
//! case and the case's folder. Every address is a loopback address.

mod first_start;
mod forgotten_crash;
mod ghost_voter;
mod late_stop;
mod segment_gap;

use std::collections::BTreeMap;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The whole program ends after this time, with code 2.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Writes `record.txt`.
#[derive(Clone)]
struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    fn new(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("create record.txt");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}\n", self.seconds(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ports that all hosts of a deployment use.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    control: u16,
    directory: u16,
    front: u16,
    ready: u16,
    searcher: u16,
}

/// Last numbers of the addresses of the core hosts.
const CORES: [u8; 5] = [11, 12, 13, 14, 15];
/// Last numbers of the addresses of the seeds.
const SEEDS: [u8; 3] = [11, 12, 13];
/// `heartbeat-interval-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Offset of the port for directory links from the first internal port.
const DIRECTORY_LINK_OFFSET: u16 = 2;

/// A process of the system.
struct Process {
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    root: PathBuf,
}

/// The platform: it writes settings files, starts and stops processes.
struct Platform {
    root: PathBuf,
    folder: PathBuf,
    prefix: [u8; 3],
    ports: Ports,
    tolerance: u32,
    processes: BTreeMap<String, Process>,
    record: Record,
}

impl Platform {
    fn new(record: Record, tolerance: u32) -> Self {
        let root = std::env::current_dir().expect("working directory");
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("hickoryspan-review-{pid}"));
        fs::create_dir_all(&folder).expect("temporary folder");
        let prefix = [127, 64 + (pid / 250 % 120) as u8, (pid % 250) as u8 + 1];
        let ports = free_ports(prefix);
        Self { root, folder, prefix, ports, tolerance, processes: BTreeMap::new(), record }
    }

    fn ip(&self, last: u8) -> IpAddr {
        let [a, b, c] = self.prefix;
        IpAddr::V4(Ipv4Addr::new(a, b, c, last))
    }

    fn control(&self, last: u8) -> SocketAddr {
        SocketAddr::new(self.ip(last), self.ports.control)
    }

    fn front(&self, last: u8) -> SocketAddr {
        SocketAddr::new(self.ip(last), self.ports.front)
    }

    fn directory_link(&self, last: u8) -> SocketAddr {
        SocketAddr::new(self.ip(last), self.ports.internal + DIRECTORY_LINK_OFFSET)
    }

    fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Writes the settings file of a host, with the fields of a file that the platform writes.
    fn write_settings(&self, name: &str, last: u8, is_core: bool, seeds: &[u8], bootstrap: bool) {
        let zone = ["midt-a", "midt-b", "midt-c"][last as usize % 3];
        let class = if is_core { "core" } else { "front" };
        let ip = self.ip(last);
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}\"", self.control(*seed))).collect();
        let Ports { internal, control, directory, front, ready, .. } = self.ports;
        let (data, listen, serves) = if is_core {
            let data = self.data_folder(name);
            fs::create_dir_all(&data).expect("data folder");
            (
                format!("data-directory = \"{}\"\n", data.display()),
                format!("control = \"{ip}:{control}\"\ndirectory = \"{ip}:{directory}\"\n"),
                "\"control\",\"directory\"",
            )
        } else {
            (
                String::new(),
                format!(
                    "front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ndirectory = \"{ip}:{directory}\"\n"
                ),
                "\"front\",\"directory\"",
            )
        };
        let text = format!(
            "node-name = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\nserves = [{serves}]\n\
             ip-address = \"{ip}\"\nzone = \"{zone}\"\nregion = \"midtjylland\"\n\
             internal-port-range = [{internal},{last_internal}]\nseed-nodes = [{seeds}]\n\
             is-bootstrap = {bootstrap}\ncounts-toward-tolerance = {is_core}\n{data}discovery = \"registration\"\n\
             entry = \"directory\"\nheartbeat-interval-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n\
             config_mode = \"highest\"\n[zones]\nmidt-a = \"midtjylland\"\nmidt-b = \"midtjylland\"\n\
             midt-c = \"midtjylland\"\n[listen-addresses]\n{listen}[limits]\ncpu-share = 0.6\ncpu-cores = 1\n\
             memory-mb = 260\nfile-descriptors = 4100\nlink-mbps = 1000.0\ndisk-mb = 128\n[fault-tolerance]\n\
             machines = {tolerance}\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\naddress-reuse-s = 2\n\
             contact-window-ms = 4000\nack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\n\
             grace-period-s = 6\nloss-slack-ms = 200\nconfig-propagation-ms = 3000\nrollback-slack-ms = 250\n\
             outer-bound-ms = 12000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-extra = 54\n\
             recovery-s = 12\nttl_max_s = 5\n",
            role = if is_core { "control" } else { "entry" },
            last_internal = internal + 15,
            seeds = seeds.join(","),
            tolerance = self.tolerance,
        );
        fs::write(self.folder.join(format!("{name}.toml")), text).expect("settings file");
    }

    fn start(&mut self, name: &str, is_core: bool) {
        let program = if is_core {
            "target/release/hickoryspan-platform-control"
        } else {
            "target/release/hickoryspan-platform-entry"
        };
        let settings = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process { program, settings, log, child: None, root: self.root.clone() };
        process.start_again();
        self.record.line(format!("platform: starts {name}"));
        self.processes.insert(name.to_owned(), process);
    }

    /// Starts five core hosts with the same three seeds, and entries. Returns the control addresses.
    fn start_all(&mut self, fronts: &[u8]) -> Vec<SocketAddr> {
        for last in CORES {
            let name = format!("core-{last}");
            self.write_settings(&name, last, true, &SEEDS, true);
            self.start(&name, true);
        }
        for last in fronts {
            let name = format!("front-{last}");
            self.write_settings(&name, *last, false, &SEEDS, true);
            self.start(&name, false);
        }
        CORES.iter().map(|last| self.control(*last)).collect()
    }

    fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("known process")
    }

    fn kill(&mut self, name: &str) {
        self.process(name).kill();
        self.record.line(format!("platform: SIGKILL {name}"));
    }

    /// Kills a process and empties its data folder.
    fn lose_disk(&mut self, name: &str) {
        self.kill(name);
        let data = self.data_folder(name);
        let _ = fs::remove_dir_all(&data);
        fs::create_dir_all(&data).expect("data folder");
        self.record.line(format!("platform: {name} has lost its disk"));
    }

    fn log_tail(&self, name: &str) -> String {
        let log = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
        // Without the temporary folder of this run.
        log.lines().last().unwrap_or_default().replace(&*self.folder.to_string_lossy(), "")
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Process {
    fn start_again(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(self.root.join(self.program))
            .current_dir(&self.root)
            .env("HICKORYSPAN_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("start a program of the deploy file; build it first");
        note_started(child.id());
        self.child = Some(child);
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

/// Processes to end if the time limit is reached.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process, also in the file that `run.sh` reads to end all processes if it is interrupted.
fn note_started(pid: u32) {
    PIDS.lock().unwrap().push(pid);
    let path = std::env::var_os("PROCESS_LIST");
    let file =
        path.and_then(|path| fs::OpenOptions::new().create(true).append(true).open(path).ok());
    if let Some(mut file) = file {
        let _ = writeln!(file, "{pid}");
    }
}

fn start_watchdog(record: Record) {
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        record.line("time limit reached");
        for pid in PIDS.lock().unwrap().iter() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        }
        std::process::exit(2);
    });
}

/// Returns ports that are free on the loopback addresses of this run.
fn free_ports(prefix: [u8; 3]) -> Ports {
    let [a, b, c] = prefix;
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
    for attempt in 0..200 {
        let base = 12_000 + ((seed / 1_000 + attempt * 97) % 18_000) as u16;
        let is_free = |port: u16| {
            [1, 11, 31]
                .iter()
                .all(|last| TcpListener::bind((Ipv4Addr::new(a, b, c, *last), port)).is_ok())
        };
        if (base..base + 22).all(is_free) {
            return Ports {
                internal: base,
                control: base + 16,
                directory: base + 17,
                front: base + 18,
                ready: base + 19,
                searcher: base + 20,
            };
        }
    }
    eprintln!("no free ports");
    std::process::exit(2);
}

/// An HTTP response as a client reads it.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    complete: bool,
    end: String,
    /// The host that answered, after redirects.
    host: Option<SocketAddr>,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

struct HttpReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpReader {
    fn fill(&mut self) -> Result<usize, String> {
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk) {
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(count)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err("no answer in time".to_owned())
            }
            Err(error) => Err(format!("connection failed: {}", error.kind())),
        }
    }

    /// Reads a head; `None` if the peer closed the connection before the first byte.
    fn read_head(&mut self) -> Result<Option<Vec<String>>, String> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                return Ok(Some(text.split("\r\n").map(str::to_owned).collect()));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err("closed within a head".to_owned())
                };
            }
        }
    }

    fn read_body(&mut self, length: usize) -> Result<Vec<u8>, String> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err("closed within a body".to_owned());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }
}

fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

fn content_length(headers: &[(String, String)]) -> usize {
    let header = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    header.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Sends one request on a new connection and reads the answer.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let result = try_call(address, method, path, headers, body, timeout);
    result.unwrap_or_else(|end| Answer { end, ..Answer::default() })
}

fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))
        .map_err(|error| format!("not connected: {}", error.kind()))?;
    stream.set_read_timeout(Some(timeout)).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    let mut reader = HttpReader { stream, buffer: Vec::new() };
    reader.stream.write_all(&bytes).map_err(|error| format!("not sent: {}", error.kind()))?;
    let lines = reader.read_head()?.ok_or("closed without an answer")?;
    let status = lines[0].split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let headers = parse_headers(&lines[1..]);
    let length = content_length(&headers);
    let body = reader.read_body(length)?;
    Ok(Answer { status, headers, body, complete: true, host: Some(address), ..Answer::default() })
}

/// Follows redirects of a control host, as an operator does.
fn operator_call(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Answer {
    let mut address = address;
    let mut answer = Answer::default();
    for _ in 0..3 {
        let headers = [("Content-Type", "application/json"), ("Connection", "close")];
        answer = call(address, method, path, &headers, body, Duration::from_secs(1));
        let next = (answer.status == 307)
            .then(|| answer.header("location").map(str::to_owned))
            .flatten()
            .and_then(|text| {
                let rest = text.strip_prefix("http://")?.to_owned();
                rest.split('/').next()?.parse().ok()
            });
        match next {
            Some(next) => address = next,
            None => return answer,
        }
    }
    answer
}

fn describe(answer: &Answer) -> String {
    match answer.status {
        0 => answer.end.clone(),
        status => format!(
            "{status} {}",
            String::from_utf8_lossy(&answer.body[..answer.body.len().min(80)])
        ),
    }
}

/// Reads the version in the text of a configuration.
fn version_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let rest = text.split("\"version\":").nth(1)?;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// A configuration with one route to one service, and `extra` further routes to it.
fn configuration(version: u64, kind: &str, timeout_ms: u64, limit: u32, extra: usize) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"pupu76.example\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout-ms\":{timeout_ms},\"target-latency-ms\":600,\"priority\":2,\"service\":\"kafi81c\",\
             \"max-attempts\":2}}"
        )
    };
    let mut routes = vec![route("r-s4qmv29", "/timi402/")];
    routes.extend((0..extra).map(|index| {
        route(
            &format!("r-extra-{version}-{index:05}"),
            &format!("/extra/{index:05}/of-many-routes/"),
        )
    }));
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"kafi81c\",\"health-check-path\":\
         \"/health\",\"connection-limit\":{limit},\"protocol\":\"h1\",\"transport-security\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}

/// Sends a configuration until it is acknowledged; returns the host that acknowledged it.
fn send_configuration(
    record: &Record,
    hosts: &[SocketAddr],
    text: &str,
    time: Duration,
) -> Option<SocketAddr> {
    let version = version_of(text.as_bytes()).unwrap_or(0);
    let until = Instant::now() + time;
    let mut last = String::new();
    while Instant::now() < until {
        for host in hosts {
            let answer = operator_call(*host, "POST", "/Configuration.Replace", text.as_bytes());
            if answer.status == 200 {
                let by = answer.host.unwrap_or(*host);
                record.line(format!("operator: version {version} acknowledged by {by}"));
                return Some(by);
            }
            let answer = describe(&answer);
            if answer != last {
                record.line(format!("operator: version {version} sent to {host}: {answer}"));
                last = answer;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("operator: version {version} not acknowledged within {time:?}"));
    None
}

/// Reads the configuration from any host; returns the newest version read.
fn read_configuration(record: &Record, hosts: &[SocketAddr], time: Duration) -> Option<u64> {
    let until = Instant::now() + time;
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut newest = None;
    while Instant::now() < until {
        for host in hosts {
            let answer = operator_call(*host, "GET", "/Configuration.Read", b"");
            let label = match answer.status {
                200 => format!("version {:?}", version_of(&answer.body)),
                _ => describe(&answer),
            };
            *counts.entry(label).or_default() += 1;
            if answer.status == 200 {
                newest = newest.max(version_of(&answer.body));
            }
        }
        if newest.is_some() {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    for (label, count) in counts {
        record.line(format!("operator: reads the configuration: {count} times: {label}"));
    }
    newest
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// How a searcher treats one request.
#[derive(Clone, Copy)]
enum Treatment {
    Work(Duration),
    /// It crashes as it begins to work, and starts again under its id after this time.
    Crash(Duration),
}

/// A searcher: serves requests and announces itself.
struct Searcher {
    id: String,
    service: String,
    address: SocketAddr,
    zone: &'static str,
    slots: u32,
    born: AtomicU64,
    crashed: AtomicBool,
    /// The open connections.
    streams: Mutex<Vec<TcpStream>>,
    /// Time of the next heartbeat.
    beat_at: Mutex<Instant>,
    sequence: AtomicU64,
    quiet: AtomicBool,
    /// Decides by the request line.
    treat: Box<dyn Fn(&str) -> Treatment + Send + Sync>,
    /// Ids that it began to run, with the time.
    runs: Mutex<Vec<(String, f64)>>,
    record: Record,
}

impl Searcher {
    fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: &'static str,
        slots: u32,
        hosts: Vec<SocketAddr>,
        record: &Record,
        treat: impl Fn(&str) -> Treatment + Send + Sync + 'static,
    ) -> Arc<Self> {
        let searcher = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone,
            slots,
            born: AtomicU64::new(unix_millis()),
            crashed: AtomicBool::new(false),
            streams: Mutex::default(),
            beat_at: Mutex::new(Instant::now()),
            sequence: AtomicU64::new(1),
            quiet: AtomicBool::new(false),
            treat: Box::new(treat),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address).expect("bind a searcher");
        let serving = Arc::clone(&searcher);
        thread::spawn(move || serving.listen(listener));
        let beating = Arc::clone(&searcher);
        thread::spawn(move || {
            loop {
                let now = Instant::now();
                let is_due = *beating.beat_at.lock().unwrap() <= now;
                let is_silent = beating.crashed.load(Ordering::SeqCst);
                if is_due && !is_silent {
                    *beating.beat_at.lock().unwrap() = now + HEARTBEAT;
                    beating.announce(&hosts);
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        searcher
    }

    /// Sends a heartbeat to one host after the other until one acknowledges it.
    fn announce(&self, hosts: &[SocketAddr]) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.born.load(Ordering::SeqCst)
        );
        let path = format!("/Instances.Heartbeat/{}", self.id);
        hosts.iter().any(|host| operator_call(*host, "POST", &path, body.as_bytes()).status == 200)
    }

    /// Accepts connections. While the searcher has crashed, nobody listens at its address.
    fn listen(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.crashed.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(listening) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = listening.set_nonblocking(true);
            let Ok((stream, _)) = listening.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            self.streams.lock().unwrap().extend(stream.try_clone());
            let serving = Arc::clone(&self);
            thread::spawn(move || serving.serve(stream));
        }
    }

    /// Ends all connections, and starts again under the same id after `time`, with a new `born`.
    fn crash(&self, time: Duration) {
        self.crashed.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(time);
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.sequence.store(1, Ordering::SeqCst);
        *self.beat_at.lock().unwrap() = Instant::now() + HEARTBEAT;
        self.crashed.store(false, Ordering::SeqCst);
        self.record.line(format!("searcher {}: has started again", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = HttpReader { stream, buffer: Vec::new() };
        while let Ok(Some(lines)) = reader.read_head() {
            let headers = parse_headers(&lines[1..]);
            let get = |name: &str| {
                let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.clone())
            };
            let length = content_length(&headers);
            if reader.read_body(length).is_err() {
                return;
            }
            let Some(request) = get("request-id") else {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = reader.stream.write_all(head.as_bytes());
                continue;
            };
            if get("expected-instance").is_some_and(|expected| expected != self.id) {
                let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                let _ = reader.stream.write_all(head.as_bytes());
                continue;
            }
            self.runs.lock().unwrap().push((request.clone(), self.record.seconds()));
            let is_recorded = self.is_recorded(&request);
            if is_recorded {
                self.record.line(format!("searcher {}: begins to run request {request}", self.id));
            }
            match (self.treat)(&lines[0]) {
                Treatment::Work(time) => thread::sleep(time),
                Treatment::Crash(time) => {
                    self.record.line(format!("searcher {}: crashes by {request}", self.id));
                    return self.crash(time);
                }
            }
            let body = format!("record of {request}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: 3e1b.07.{}.{request}\r\n\
                 Server-Load: 1,0,{}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                self.slots,
                body.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                self.record.line(format!(
                    "searcher {}: the caller of request {request} has closed the connection",
                    self.id
                ));
                return;
            }
            if is_recorded {
                let id = &self.id;
                self.record.line(format!("searcher {id}: has run and answered request {request}"));
            }
        }
    }

    /// Leaves usual requests out of the record.
    fn be_quiet(&self) {
        self.quiet.store(true, Ordering::SeqCst);
    }

    fn is_recorded(&self, request: &str) -> bool {
        !(self.quiet.load(Ordering::SeqCst) && request.starts_with("usual-"))
    }

    fn count_runs(&self, prefix: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(request, _)| request.starts_with(prefix)).count()
    }

    fn has_run(&self, request: &str) -> Option<f64> {
        let runs = self.runs.lock().unwrap();
        runs.iter().find(|(known, _)| known == request).map(|(_, at)| *at)
    }
}

/// Sends one client attempt and records its answer.
fn client_request(record: &Record, front: SocketAddr, id: &str, deadline_ms: u64) -> Answer {
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", "pupu76.example"),
        ("Request-Id", id),
        ("Request-Deadline", deadline.as_str()),
        ("Content-Type", "application/octet-stream"),
    ];
    record.line(format!("client: sends request {id} to {front}"));
    let path = format!("/timi402/{id}");
    let time = Duration::from_millis(deadline_ms);
    let answer = call(front, "POST", &path, &headers, b"an order", time);
    record.line(format!("client: request {id}: {}", describe(&answer)));
    answer
}

fn wait_until_ready(record: &Record, platform: &Platform, fronts: &[u8]) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let is_ready = |last: &u8| {
            let address = SocketAddr::new(platform.ip(*last), platform.ports.ready);
            call(
                address,
                "GET",
                "/readiness",
                &[("Connection", "close")],
                b"",
                Duration::from_secs(1),
            )
            .status
                == 200
        };
        if fronts.iter().all(is_ready) {
            record.line("platform: all entries are ready");
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line("platform: the entries do not become ready");
    false
}

/// A path between two hosts that can be cut without a sign, as in a network partition.
struct CutPath {
    open: Arc<AtomicBool>,
}

impl CutPath {
    fn new(from: SocketAddr, to: SocketAddr, is_open: bool) -> Self {
        let open = Arc::new(AtomicBool::new(is_open));
        let listener = TcpListener::bind(from).expect("bind a path");
        let state = Arc::clone(&open);
        thread::spawn(move || {
            let mut held = Vec::new();
            for stream in listener.incoming().flatten() {
                if !state.load(Ordering::SeqCst) {
                    held.push(stream);
                    continue;
                }
                held.clear();
                let Ok(target) = TcpStream::connect(to) else { continue };
                forward(&stream, &target);
                forward(&target, &stream);
            }
        });
        Self { open }
    }

    fn heal(&self) {
        self.open.store(true, Ordering::SeqCst);
    }
}

fn forward(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
    let _ = to.set_nodelay(true);
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
        let _ = from.shutdown(std::net::Shutdown::Both);
    });
}

/// The end of a case.
enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn run_case(case: &str, trouble: &str, record: &Record) -> Verdict {
    match case {
        "first-start" => first_start::run(trouble, record),
        "ghost-voter" => ghost_voter::run(trouble, record),
        "late-stop" => late_stop::run(trouble, record),
        "segment-gap" => segment_gap::run(trouble, record),
        "forgotten-crash" => forgotten_crash::run(trouble, record),
        _ => Verdict::NotRun,
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().expect("folder of the case"));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = Record::new(&folder);
    start_watchdog(record.clone());
    record.line(format!("case {case}, TROUBLE={trouble}"));
    let panics = record.clone();
    std::panic::set_hook(Box::new(move |panic| panics.line(format!("stand-in: {panic}"))));
    // A failed expectation, for example a port that is taken, means that the case could not run.
    let run = || run_case(&case, &trouble, &record);
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(format!("result: {text}"));
    std::process::exit(code);
}
