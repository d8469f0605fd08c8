//! Requests that are sent to a searcher long after it was acknowledged as draining.

use crate::*;

/// A searcher stops answering and is then taken away. A request that waits for a connection to it is sent when the
/// requests before it reach their time limit, long after the searcher was acknowledged as draining.
pub fn run(trouble: &str, record: &Record) -> Verdict {
    let mut platform = Platform::new(record.clone(), 2);
    let fronts: [u8; 7] = [31, 32, 33, 34, 35, 36, 37];
    let hosts = platform.start_all(&fronts);
    let text = configuration(7, "unsafe", 4_000, 26, 0);
    if send_configuration(record, &hosts, &text, Duration::from_secs(15)).is_none() {
        return Verdict::NotRun;
    }
    let hangs = Arc::new(AtomicBool::new(false));
    let searchers: Vec<Arc<Searcher>> =
        [("i-7f3a91c2", 41, "midt-a"), ("i-8f3a91c3", 42, "midt-b")]
            .into_iter()
            .map(|(id, last, zone)| {
                let address = SocketAddr::new(platform.ip(last), platform.ports.searcher);
                let hangs = Arc::clone(&hangs);
                Searcher::start(id, "kafi81c", address, zone, 6, hosts.clone(), record, move |_| {
                    match hangs.load(Ordering::SeqCst) {
                        true => Treatment::Hang,
                        false => Treatment::Work(Duration::from_millis(160)),
                    }
                })
            })
            .collect();
    if !wait_until_ready(record, &platform, &fronts) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let front = platform.front(31);
    for index in 0..4 {
        if client_request(record, front, &format!("before-{index}"), 4_000).status != 200 {
            return Verdict::NotRun;
        }
    }
    let is_troubled = trouble != "0";
    hangs.store(is_troubled, Ordering::SeqCst);
    if is_troubled {
        record.line("searchers: both hang from now on");
    }
    let began = Instant::now();
    let send = |id: String, after_ms: u64| {
        let record = record.clone();
        let at = began + Duration::from_millis(after_ms);
        thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            client_request(&record, front, &id, 4_000);
        })
    };
    let first = (0..3).map(|index| send(format!("first-{index}"), 0));
    let mut clients: Vec<_> = first.collect();
    clients.extend((0..2).map(|index| send(format!("queued-{index}"), 800)));
    thread::sleep(Duration::from_millis(850));
    // The searcher that has most of the first requests leaves.
    let count = |searcher: &&Arc<Searcher>| {
        let runs = searcher.runs.lock().unwrap();
        runs.iter().filter(|(id, _)| id.starts_with("first-")).count()
    };
    let leaving = searchers.iter().max_by_key(count).expect("a searcher");
    leaving.draining.store(true, Ordering::SeqCst);
    let acknowledged = leaving.announce(&hosts, "draining");
    let acknowledged_at = record.seconds();
    record.line(format!(
        "searcher {}: says that it drains; acknowledged: {acknowledged}",
        leaving.id
    ));
    for client in clients {
        let _ = client.join();
    }
    if !acknowledged {
        return Verdict::NotRun;
    }
    let mut late = 0;
    for (id, at) in leaving.runs.lock().unwrap().iter() {
        if *at > acknowledged_at + 3.0 {
            late += 1;
            let after = at - acknowledged_at;
            record.line(format!(
                "judge: request {id} reached {} {after:.3} s after the acknowledgement",
                leaving.id
            ));
        }
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
