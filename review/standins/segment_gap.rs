//! Removed log segments of which some reappear after a loss of power.

use crate::*;

/// Routes that three growths of the configuration add, of 350 routes each.
const EXTRA_ROUTES: usize = 1_050;

/// Returns the names of the log segments in a replica's folder, in ascending order.
fn segments(folder: &Path) -> Vec<String> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let names = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    let mut names: Vec<String> =
        names.filter(|name| name.starts_with("log-") && name.ends_with(".seg")).collect();
    names.sort();
    names
}

/// Core hosts lose power, one after the other, while the newest removals of log segments are not synced. Of the removed
/// names, the disk keeps the first and the third.
pub fn run(trouble: &str, record: &Record) -> Verdict {
    let is_power_lost = trouble != "0";
    let mut platform = Platform::new(record.clone(), 2);
    let hosts = platform.start_all(&[]);
    let replica = |platform: &Platform, last: u8| {
        platform.data_folder(&format!("core-{last}")).join("replica")
    };
    // The stand-in's view of the disks: links to the segments, so that a removed name can reappear.
    let links = platform.folder.join("disk-links");
    let mut struck: Vec<u8> = Vec::new();
    // The segments of each replica before the last change.
    let mut before: BTreeMap<u8, Vec<String>> = BTreeMap::new();
    let mut version = 7;
    let mut acknowledged = 0;
    thread::sleep(Duration::from_secs(3));
    while struck.len() < 3 {
        if record.seconds() > 70.0 {
            record.line("no more time for changes");
            break;
        }
        let text = configuration(version, "safe", 4_000, 49, EXTRA_ROUTES);
        let sent = hosts.iter().any(|host| {
            operator_call(*host, "POST", "/Configuration.Replace", text.as_bytes()).status == 200
        });
        if !sent {
            thread::sleep(Duration::from_millis(200));
            continue;
        }
        acknowledged = version;
        version += 2;
        // Followers learn with the next heartbeat that the change is committed; they take a snapshot when they apply it.
        thread::sleep(Duration::from_millis(150));
        let mut hit = None;
        for last in CORES.iter().copied().filter(|last| !struck.contains(last)) {
            let folder = replica(&platform, last);
            let shadow = links.join(format!("core-{last}"));
            fs::create_dir_all(&shadow).expect("links");
            for name in segments(&folder) {
                if !shadow.join(&name).exists() {
                    let _ = fs::hard_link(folder.join(&name), shadow.join(&name));
                }
            }
            let present = segments(&folder);
            let removed = before.insert(last, present.clone()).unwrap_or_default();
            if present.is_empty() && removed.len() >= 3 {
                hit = Some((last, folder, shadow, removed));
            }
        }
        let Some((last, folder, shadow, removed)) = hit else { continue };
        thread::sleep(Duration::from_millis(200));
        if !segments(&folder).is_empty() {
            continue;
        }
        let name = format!("core-{last}");
        record.line(format!("operator: version {acknowledged} acknowledged; {name} has removed {removed:?} and synced nothing since"));
        platform.kill(&name);
        if is_power_lost {
            let newest = removed.len();
            for kept in [newest - 3, newest - 1] {
                fs::hard_link(shadow.join(&removed[kept]), folder.join(&removed[kept]))
                    .expect("keep a name");
            }
            record.line(format!(
                "platform: {name} has lost power; of the removed names the disk has kept {} and {}",
                removed[newest - 3],
                removed[newest - 1]
            ));
        }
        struck.push(last);
        for _ in 0..3 {
            thread::sleep(Duration::from_millis(500));
            platform.process(&name).start_again();
            record.line(format!("platform: starts {name} again"));
            thread::sleep(Duration::from_secs(1));
            match platform.process(&name).has_ended() {
                Some(status) => {
                    let last_line = platform.log_tail(&name);
                    record.line(format!(
                        "platform: {name} has ended by itself: {status}: {last_line}"
                    ));
                }
                None => break,
            }
        }
        // catch-up-s: until then the host counts as lost.
        thread::sleep(Duration::from_secs(4));
    }
    record.line(format!("operator: the newest acknowledged version is {acknowledged}"));
    if struck.is_empty() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(12));
    let newest = read_configuration(record, &hosts, Duration::from_secs(10));
    match newest {
        Some(newest) if newest >= acknowledged => {
            let ended = struck
                .iter()
                .filter(|last| platform.process(&format!("core-{last}")).has_ended().is_some());
            let ended = ended.count();
            record.line(format!("judge: {ended} of the core hosts do not run"));
            if ended >= 2 { Verdict::Broken } else { Verdict::Held }
        }
        _ => Verdict::Broken,
    }
}
