//! A request that crashes the searchers that run it, and comes again after they have started again.

use crate::*;

/// Path of the request that crashes searchers.
const CRASHING_PATH: &str = "/timi402/plate-7";
/// Work of a usual request.
const WORK: Duration = Duration::from_millis(160);
/// Time after which a searcher that has crashed starts again.
const DOWN: Duration = Duration::from_millis(2_000);
/// `contact-window-ms`.
const CONTACT_WINDOW_S: f64 = 4.0;
/// Number of times that the request comes, and the pause between two.
const ATTEMPTS: usize = 14;
const PAUSE: Duration = Duration::from_millis(5_500);
/// Pause between two usual requests at one entry; both together get 22 a second.
const USUAL_PAUSE: Duration = Duration::from_millis(90);

/// A service has two searchers, whose first heartbeat comes one interval after they start again. Usual requests keep coming; one request crashes each searcher that begins to run it.
pub fn run(trouble: &str, record: &Record) -> Verdict {
    let does_crash = trouble != "0";
    let mut platform = Platform::new(record.clone(), 2);
    let fronts: [u8; 2] = [31, 32];
    let hosts = platform.start_all(&fronts);
    let text = configuration(7, "safe", 4_000, 49, 0);
    if send_configuration(record, &hosts, &text, Duration::from_secs(15)).is_none() {
        return Verdict::NotRun;
    }
    let searchers: Vec<Arc<Searcher>> =
        [("i-7f3a91c2", 41, "midt-a"), ("i-8f3a91c3", 42, "midt-b")]
            .into_iter()
            .map(|(id, last, zone)| {
                let address = SocketAddr::new(platform.ip(last), platform.ports.searcher);
                let treat = move |line: &str| match does_crash && line.contains(CRASHING_PATH) {
                    true => Treatment::Crash(DOWN),
                    false => Treatment::Work(WORK),
                };
                Searcher::start(id, "kafi81c", address, zone, 6, hosts.clone(), record, treat)
            })
            .collect();
    searchers.iter().for_each(|searcher| searcher.be_quiet());
    if !wait_until_ready(record, &platform, &fronts) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let usual: Vec<_> = fronts
        .iter()
        .map(|last| send_usual(platform.front(*last), *last, Arc::clone(&stop)))
        .collect();
    thread::sleep(Duration::from_secs(2));

    let mut third_crash_at = None;
    let mut late_retries = 0;
    for attempt in 0..ATTEMPTS {
        let id = format!("plate-7-{attempt}");
        let front = platform.front(fronts[attempt % 2]);
        let sent_at = record.seconds();
        let answer = get(front, &id, CRASHING_PATH);
        thread::sleep(Duration::from_millis(50));
        let reached = searchers.iter().filter(|searcher| searcher.has_run(&id).is_some()).count();
        record.line(format!(
            "client: request {id} to {front}: {}; {reached} searchers began to run it",
            describe(&answer)
        ));
        if third_crash_at.is_some_and(|at| sent_at > at + CONTACT_WINDOW_S) && reached > 0 {
            late_retries += 1;
        }
        let crashes: usize = searchers.iter().map(|searcher| searcher.count_runs("plate-7-")).sum();
        if does_crash && crashes >= 3 {
            third_crash_at.get_or_insert(record.seconds());
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for (last, usual) in fronts.iter().zip(usual) {
        let counts = usual.join().unwrap_or_default();
        record.line(format!(
            "client: usual requests to front-{last} by status (0: no answer): {counts:?}"
        ));
    }
    record.line(format!(
        "judge: {late_retries} retries reached searchers later than contact-window-ms after the third crash"
    ));
    if late_retries > 3 { Verdict::Broken } else { Verdict::Held }
}

fn get(front: SocketAddr, id: &str, path: &str) -> Answer {
    let headers = [
        ("Host", "pupu76.example"),
        ("Request-Id", id),
        ("Request-Deadline", "4000"),
        ("Connection", "close"),
    ];
    call(front, "GET", path, &headers, b"", Duration::from_secs(4))
}

/// Sends usual requests to one entry until `stop` is set; returns how many ended with each status.
fn send_usual(
    front: SocketAddr,
    last: u8,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<BTreeMap<u16, u32>> {
    thread::spawn(move || {
        let mut clients = Vec::new();
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            let id = format!("usual-{last}-{number}");
            clients.push(thread::spawn(move || get(front, &id, &format!("/timi402/{id}")).status));
            number += 1;
            thread::sleep(USUAL_PAUSE);
        }
        let mut counts = BTreeMap::new();
        for status in clients.into_iter().filter_map(|client| client.join().ok()) {
            *counts.entry(status).or_default() += 1;
        }
        counts
    })
}
