//! A configuration that a lone voter acknowledges at the first start.

use crate::*;

/// Longest cut of one core host from the others that the site file names for a plain `core_cut`, in seconds.
const LONGEST_CUT: f64 = 5.5;

/// A core host is cut off from the others from the first start. It acknowledges a configuration and loses its disk.
pub fn run(trouble: &str, record: &Record) -> Verdict {
    let is_cut = trouble == "1";
    let is_wiped = trouble != "0";
    let mut platform = Platform::new(record.clone(), 2);
    let name = |last: u8| format!("core-{last}");
    // Paths between core-11 and the others. Both sides know each other at first by the addresses of the paths.
    let path = |from: u8, to: u8| {
        CutPath::new(platform.directory_link(from), platform.directory_link(to), !is_cut)
    };
    let paths = [path(1, 11), path(22, 12), path(23, 13)];
    platform.write_settings(&name(11), 11, true, &[11, 22, 23], true);
    for last in &CORES[1..] {
        platform.write_settings(&name(*last), *last, true, &[1, 12, 13], true);
    }
    if is_cut {
        record.line("network: core-11 is cut off from the other core hosts");
    }
    let cut_at = record.seconds();
    for last in CORES {
        platform.start(&name(last), true);
    }
    let hosts: Vec<SocketAddr> = CORES.iter().map(|last| platform.control(*last)).collect();
    let text = configuration(7, "safe", 4_000, 49, 0);
    let acknowledged = send_configuration(record, &hosts, &text, Duration::from_secs(15));
    let Some(by) = acknowledged else { return Verdict::NotRun };
    if is_wiped {
        let wiped = CORES.iter().copied().find(|last| platform.control(*last) == by).unwrap_or(11);
        platform.lose_disk(&name(wiped));
        if is_cut {
            let cut = record.seconds() - cut_at;
            paths.iter().for_each(CutPath::heal);
            record.line(format!("network: the cut has healed after {cut:.3} s"));
            if cut > LONGEST_CUT {
                record.line("the cut was longer than the site file allows");
                return Verdict::NotRun;
            }
        }
        thread::sleep(Duration::from_secs(1));
        let seeds: &[u8] = if wiped == 11 { &[11, 22, 23] } else { &[1, 12, 13] };
        platform.write_settings(&name(wiped), wiped, true, seeds, false);
        platform.start(&name(wiped), true);
    }
    // recovery-s and contact-window-ms.
    thread::sleep(Duration::from_secs(16));
    let newest = read_configuration(record, &hosts, Duration::from_secs(20));
    if newest == Some(7) {
        return Verdict::Held;
    }
    let next = configuration(9, "safe", 4_000, 49, 0);
    if send_configuration(record, &hosts, &next, Duration::from_secs(15)).is_none() {
        record.line("operator: no later version is accepted either");
    }
    Verdict::Broken
}
