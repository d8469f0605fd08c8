//! Requests that a stopping entry takes too late.

use crate::*;

/// An entry is stopped by SIGTERM. A client that looked it up before opens a connection shortly before it stops
/// accepting, and its request takes most of a second.
pub fn run(trouble: &str, record: &Record) -> Verdict {
    let mut platform = Platform::new(record.clone(), 2);
    let fronts: [u8; 2] = [31, 32];
    let hosts = platform.start_all(&fronts);
    let text = configuration(7, "unsafe", 4_000, 49, 0);
    if send_configuration(record, &hosts, &text, Duration::from_secs(15)).is_none() {
        return Verdict::NotRun;
    }
    // The work of one request: 900 ms. The site names 960 ms as the longest.
    let work = Duration::from_millis(900);
    let searchers: Vec<Arc<Searcher>> =
        [("i-7f3a91c2", 41, "midt-a"), ("i-8f3a91c3", 42, "midt-b")]
            .into_iter()
            .map(|(id, last, zone)| {
                let address = SocketAddr::new(platform.ip(last), platform.ports.searcher);
                Searcher::start(
                    id,
                    "kafi81c",
                    address,
                    zone,
                    6,
                    hosts.clone(),
                    record,
                    move |_: &str| Treatment::Work(work),
                )
            })
            .collect();
    if !wait_until_ready(record, &platform, &fronts) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let stopped = platform.front(31);
    for index in 0..3 {
        let answer = client_request(record, stopped, &format!("before-{index}"), 4_000);
        if answer.status != 200 {
            return Verdict::NotRun;
        }
    }
    let directory = SocketAddr::new(platform.ip(12), platform.ports.directory);
    let path = "/resolve?name=pupu76.example&region=midtjylland&zone=midt-a";
    let found =
        call(directory, "GET", path, &[("Connection", "close")], b"", Duration::from_secs(1));
    let looked_up_at = Instant::now();
    record.line(format!("client: looks up the entries: {}", describe(&found)));
    if !String::from_utf8_lossy(&found.body).contains(&stopped.to_string()) {
        return Verdict::NotRun;
    }
    let is_stopped = trouble != "0";
    let stop_at = Instant::now();
    if is_stopped {
        platform.process("front-31").signal("TERM");
        record.line("platform: SIGTERM front-31");
    }
    let ids: Vec<String> = (0..6).map(|index| format!("late-{index}")).collect();
    let clients: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(index, id)| {
            let at = stop_at + Duration::from_millis(4_300 + 50 * index as u64);
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let age = looked_up_at.elapsed();
                assert!(age < Duration::from_secs(5), "the look-up is older than ttl_s");
                client_request(&record, stopped, &id, 4_000)
            })
        })
        .collect();
    let answers: Vec<Answer> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    if is_stopped {
        thread::sleep((stop_at + Duration::from_secs(6)).saturating_duration_since(Instant::now()));
        match platform.process("front-31").has_ended() {
            Some(status) => {
                record.line(format!("platform: front-31 has ended by itself: {status}"))
            }
            None => platform.kill("front-31"),
        }
    }
    thread::sleep(Duration::from_secs(1));
    let mut lost = 0;
    for (id, answer) in ids.iter().zip(&answers) {
        let run = searchers.iter().find_map(|searcher| searcher.has_run(id));
        if run.is_some() && !answer.complete {
            lost += 1;
            record
                .line(format!("judge: request {id} was passed on to a searcher and has no answer"));
        }
    }
    record.line(format!("judge: {lost} of {} requests lost", ids.len()));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
