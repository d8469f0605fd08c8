//! Test rig of the review: starts the platform programs on loopback addresses, and offers small stand-ins for the
//! operator, searchers and clients. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const FRONT_PORT: u16 = 8104;
pub const READY_PORT: u16 = 8108;
pub const CONTROL_PORT: u16 = 8106;
pub const DIRECTORY_PORT: u16 = 8100;
pub const INTERNAL_PORT: u16 = 7380;
pub const SEARCHER_PORT: u16 = 8080;
pub const HOST: &str = "pupu76.example";

/// Writes `record.txt` with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}\n", text.as_ref());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis() as u64
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        let seed = unix_millis() ^ (u64::from(std::process::id()) << 32);
        Self(seed | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// A group of loopback addresses on which the ports of the deployment are free.
#[derive(Clone)]
pub struct Net {
    second: u8,
    third: u8,
}

impl Net {
    pub fn choose() -> Option<Self> {
        let mut random = Random::new();
        for _ in 0..50 {
            let net = Self {
                second: 20 + (random.next() % 200) as u8,
                third: (random.next() % 250) as u8,
            };
            let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, INTERNAL_PORT, 9464];
            let free = ports.iter().all(|port| TcpListener::bind((net.ip(1), *port)).is_ok());
            if free {
                return Some(net);
            }
        }
        None
    }

    pub fn ip(&self, host: u8) -> std::net::Ipv4Addr {
        std::net::Ipv4Addr::new(127, self.second, self.third, host)
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        (self.ip(host), port).into()
    }
}

/// One machine of the deployment.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub host: u8,
    pub zone: String,
    pub is_core: bool,
}

/// The deployment: machines, their settings files and processes.
pub struct Deployment {
    pub net: Net,
    pub folder: PathBuf,
    pub zones: Vec<String>,
    pub seeds: Vec<u8>,
    pub tolerance: usize,
    pub memory_mb: usize,
    pub started: bool,
    pub extra_bounds: String,
    processes: HashMap<String, Child>,
    machines: HashMap<String, Machine>,
}

impl Deployment {
    pub fn new(net: Net, zones: &[&str], seeds: &[u8], tolerance: usize) -> Self {
        let folder = std::env::temp_dir().join(format!(
            "hs-review-{}-{}",
            std::process::id(),
            unix_millis()
        ));
        fs::create_dir_all(&folder).expect("temporary folder");
        Self {
            net,
            folder,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            seeds: seeds.to_vec(),
            tolerance,
            memory_mb: 260,
            started: false,
            extra_bounds: String::new(),
            processes: HashMap::new(),
            machines: HashMap::new(),
        }
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let ip = self.net.ip(machine.host);
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.net.address(*seed, CONTROL_PORT)))
            .collect();
        let zones: Vec<String> =
            self.zones.iter().map(|zone| format!("{zone} = \"savinja\"")).collect();
        let data = self.folder.join(format!("{}-data", machine.name));
        let (serves, listen, data_line, class, memory) = if machine.is_core {
            (
                "\"control\",\"directory\"",
                format!("control = \"{ip}:{CONTROL_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\""),
                format!("data-directory = \"{}\"\n", data.display()),
                "core",
                256,
            )
        } else {
            (
                "\"front\"",
                format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\""),
                String::new(),
                "front",
                self.memory_mb,
            )
        };
        format!(
            "node-name = \"{name}\"\nrole = \"my-{class}\"\nmachine-class = \"{class}\"\nserves = [{serves}]\n\
             ip-address = \"{ip}\"\nzone = \"{zone}\"\nregion = \"savinja\"\ninternal-port-range = [{INTERNAL_PORT},{last}]\n\
             seed-nodes = [{seeds}]\nis-bootstrap = {bootstrap}\ncounts-toward-tolerance = {core}\n{data_line}\
             discovery = \"registration\"\nentry = \"directory\"\nheartbeat-interval-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\nconfig_mode = \"highest\"\n\n\
             [zones]\n{zones}\n\n[listen-addresses]\n{listen}\n\n\
             [limits]\ncpu-share = 0.25\ncpu-cores = 1\nmemory-mb = {memory}\nfile-descriptors = 4100\nlink-mbps = 1000.0\ndisk-mb = 128\n\n\
             [fault-tolerance]\nmachines = {tolerance}\nzones = 0\nregions = 0\n\n\
             [bounds]\nseed-lag-s = 3\naddress-reuse-s = 2\ncontact-window-ms = 4000\nack-timeout-ms = 5000\ncatch-up-s = 4\n\
             drain-ms = 3000\ngrace-period-s = 6\nloss-slack-ms = 200\nconfig-propagation-ms = 3000\nrollback-slack-ms = 250\n\
             outer-bound-ms = 12000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-extra = 54\nrecovery-s = 12\n\
             ttl_max_s = 5\n{extra}",
            name = machine.name,
            zone = machine.zone,
            last = INTERNAL_PORT + 15,
            seeds = seeds.join(","),
            core = machine.is_core,
            zones = zones.join("\n"),
            tolerance = self.tolerance,
            extra = self.extra_bounds,
        )
    }

    /// Starts the process of a machine, with the command of the deploy file.
    pub fn start(&mut self, machine: &Machine, bootstrap: bool) -> io::Result<()> {
        let path = self.folder.join(format!("{}.toml", machine.name));
        fs::write(&path, self.settings(machine, bootstrap))?;
        if machine.is_core {
            fs::create_dir_all(self.folder.join(format!("{}-data", machine.name)))?;
        }
        let program = if machine.is_core {
            "target/release/hickoryspan-platform-control"
        } else {
            "target/release/hickoryspan-platform-entry"
        };
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)))?;
        let child = Command::new(program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HICKORYSPAN_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_process(child.id());
        self.processes.insert(machine.name.clone(), child);
        self.machines.insert(machine.name.clone(), machine.clone());
        Ok(())
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(Child::id)
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self, name: &str) -> Option<String> {
        let child = self.processes.get_mut(name)?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }

    /// Kills a process without waiting for its end.
    pub fn kill_now(&mut self, name: &str) {
        if let Some(child) = self.processes.get_mut(name) {
            let _ = child.kill();
        }
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(child) = self.processes.get_mut(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = self.processes.get(name) {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    pub fn wipe_disk(&self, name: &str) {
        let data = self.folder.join(format!("{name}-data"));
        let _ = fs::remove_dir_all(&data);
    }

    pub fn resident_bytes(&self, name: &str) -> Option<u64> {
        let pid = self.pid(name)?;
        let text = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
        Some(pages * 4096)
    }

    /// Returns the processor time of a process in seconds.
    pub fn processor_seconds(&self, name: &str) -> Option<f64> {
        let pid = self.pid(name)?;
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let rest = text.rsplit(')').next()?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks: f64 =
            fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }

    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if let Ok(list) = std::env::var("REVIEW_PIDS") {
            // All of them have ended.
            let _ = fs::write(list, "");
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

/// Tells `start.sh` of a process, which ends it if the case is interrupted.
pub fn note_process(pid: u32) {
    if let Ok(list) = std::env::var("REVIEW_PIDS") {
        let list = fs::OpenOptions::new().append(true).open(list);
        let _ = list.and_then(|mut list| writeln!(list, "{pid}"));
    }
}

/// An HTTP/1.1 message: its first line, its headers with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads the head of a message. `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let Some(line) = read_line(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if line.is_empty() {
            return Ok(Some(Message { first, headers, body: Vec::new() }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body has a length, is chunked or is empty.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let size = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            read_line(reader)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = connect(address, timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a call to any of the control machines until one answers with 200. Follows redirects.
pub fn control_call(
    controls: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    patience: Duration,
) -> Option<Message> {
    let began = Instant::now();
    let mut index = 0;
    while began.elapsed() < patience {
        let mut address = controls[index % controls.len()];
        index += 1;
        for _ in 0..3 {
            match call(address, method, path, body, Duration::from_secs(1)) {
                Ok(answer) if answer.status() == 307 => {
                    let target = answer
                        .header("location")
                        .unwrap_or("")
                        .trim_start_matches("http://")
                        .to_owned();
                    let Some(next) = target.split('/').next().and_then(|text| text.parse().ok())
                    else {
                        break;
                    };
                    address = next;
                }
                Ok(answer)
                    if answer.status() == 200
                        || (400..500).contains(&answer.status())
                            && answer.status() != 408
                            && answer.status() != 429 =>
                {
                    return Some(answer);
                }
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

/// One searcher: what it announces.
#[derive(Clone)]
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
}

/// Announces searchers like a sound one does, until `stop` is set. Returns once all were acknowledged.
pub fn announce_all(
    controls: Vec<SocketAddr>,
    searchers: Vec<Searcher>,
    stop: Arc<AtomicBool>,
) -> bool {
    let born = unix_millis();
    let sequence = Arc::new(AtomicU64::new(1));
    let beat = move |seq: u64| {
        let mut all = true;
        for (index, searcher) in searchers.iter().enumerate() {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":{seq},\"born\":{born}}}",
                searcher.service, searcher.address, searcher.zone, searcher.slots
            );
            let path = format!("/Instances.Heartbeat/{}", searcher.id);
            let mut done = false;
            for attempt in 0..controls.len() {
                let control = controls[(index + attempt) % controls.len()];
                let answer = call(control, "POST", &path, &body, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    done = true;
                    break;
                }
            }
            all &= done;
        }
        all
    };
    let began = Instant::now();
    while !beat(sequence.fetch_add(1, Ordering::Relaxed)) {
        if began.elapsed() > Duration::from_secs(20) {
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1_000));
            beat(sequence.fetch_add(1, Ordering::Relaxed));
        }
    });
    true
}

/// Waits until an entry says that it is ready.
pub fn await_ready(address: SocketAddr, patience: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < patience {
        if call(address, "GET", "/readiness", "", Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
        {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// How a client's attempt ended.
#[derive(Clone, Debug)]
pub enum Ending {
    Answer(Message),
    Closed,
    NoAnswer,
    NoConnection,
}

impl Ending {
    pub fn text(&self) -> String {
        match self {
            Self::Answer(answer) => format!("{} ({} bytes)", answer.status(), answer.body.len()),
            Self::Closed => "connection closed without an answer".to_owned(),
            Self::NoAnswer => "no answer".to_owned(),
            Self::NoConnection => "no connection".to_owned(),
        }
    }

    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(answer) => answer.status(),
            _ => 0,
        }
    }
}

/// Sends one client request on a new connection.
pub fn request(
    entry: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
    body: &[u8],
) -> Ending {
    let Ok(mut stream) = connect(entry, deadline) else { return Ending::NoConnection };
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: {}\r\n",
        deadline.as_millis()
    );
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
        return Ending::Closed;
    }
    match read_message(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => Ending::Answer(answer),
        Ok(None) => Ending::Closed,
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            Ending::NoAnswer
        }
        Err(_) => Ending::Closed,
    }
}

/// Serves connections with a thread for each.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::Builder::new().stack_size(128 * 1024).spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = Arc::clone(&handler);
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(move || handler(stream));
        }
    })?;
    Ok(())
}

/// Whether this run makes the trouble of the case.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The path of `record.txt`, which `run.sh` passes as the first argument.
pub fn record_path() -> PathBuf {
    PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()))
}
