//! Two core hosts lose their disks shortly after another one was replaced as planned.

use crate::*;

/// The core host that is taken away, and its successor.
const REPLACED: u8 = 15;
const SUCCESSOR: u8 = 16;
/// Time after its start from which the successor counts as caught up; `catch-up-s` is 4.
const CATCH_UP: Duration = Duration::from_secs(6);

/// A successor joins and catches up, the old host is stopped by SIGTERM for good, and soon after an acknowledgement two
/// of the other hosts lose their disks.
pub fn run(trouble: &str, record: &Record) -> Verdict {
    let mut platform = Platform::new(record.clone(), 2);
    let mut hosts = platform.start_all(&[]);
    let first = configuration(7, "safe", 4_000, 49, 0);
    if send_configuration(record, &hosts, &first, Duration::from_secs(15)).is_none() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    if trouble == "rolling" {
        return replace_three(&mut platform, record, hosts);
    }

    let successor = format!("core-{SUCCESSOR}");
    platform.write_settings(&successor, SUCCESSOR, true, &SEEDS, false);
    platform.start(&successor, true);
    thread::sleep(CATCH_UP);
    let replaced = format!("core-{REPLACED}");
    platform.process(&replaced).signal("TERM");
    record.line(format!("platform: SIGTERM {replaced}, which leaves for good"));
    let grace = Instant::now() + Duration::from_secs(6);
    while platform.process(&replaced).has_ended().is_none() && Instant::now() < grace {
        thread::sleep(Duration::from_millis(20));
    }
    platform.kill(&replaced);
    let gone_at = Instant::now();
    hosts.retain(|host| host.ip() != platform.ip(REPLACED));
    hosts.push(platform.control(SUCCESSOR));

    // Longer than `catch-up-s`, so that the host that has left does not count as lost by any reading.
    let pause = if trouble == "late" { 9_000 } else { 4_500 };
    thread::sleep(Duration::from_millis(pause));
    let next = configuration(9, "safe", 4_000, 49, 0);
    let acknowledged = send_configuration(record, &hosts, &next, Duration::from_secs(15));
    let Some(by) = acknowledged else { return Verdict::NotRun };
    if trouble != "0" {
        let hosts = CORES.iter().copied().filter(|last| *last != REPLACED);
        let (mut lost, others): (Vec<u8>, Vec<u8>) =
            hosts.partition(|last| platform.ip(*last) == by.ip());
        lost.extend(others.iter().copied().take(2 - lost.len()));
        let since = gone_at.elapsed().as_secs_f64();
        record.line(format!("platform: the final fault, {since:.3} s after {replaced} has gone"));
        for last in &lost {
            platform.lose_disk(&format!("core-{last}"));
        }
        thread::sleep(Duration::from_millis(800));
        for last in &lost {
            let name = format!("core-{last}");
            platform.write_settings(&name, *last, true, &SEEDS, false);
            platform.start(&name, true);
        }
    }
    // recovery-s and contact-window-ms.
    thread::sleep(Duration::from_secs(16));
    match read_configuration(record, &hosts, Duration::from_secs(20)) {
        Some(newest) if newest >= 9 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Three hosts are replaced as planned, one each two seconds, with successors that have caught up. No disk is lost.
fn replace_three(platform: &mut Platform, record: &Record, mut hosts: Vec<SocketAddr>) -> Verdict {
    for last in [16, 17, 18] {
        let name = format!("core-{last}");
        platform.write_settings(&name, last, true, &SEEDS, false);
        platform.start(&name, true);
        hosts.push(platform.control(last));
    }
    thread::sleep(CATCH_UP);
    for last in [15, 14, 13] {
        let name = format!("core-{last}");
        platform.process(&name).signal("TERM");
        record.line(format!("platform: SIGTERM {name}, which leaves for good"));
        hosts.retain(|host| host.ip() != platform.ip(last));
        thread::sleep(Duration::from_secs(2));
        let ended = platform.process(&name).has_ended();
        record.line(format!("platform: {name} has ended: {ended:?}"));
    }
    thread::sleep(Duration::from_secs(16));
    match read_configuration(record, &hosts, Duration::from_secs(20)) {
        Some(newest) if newest >= 7 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
