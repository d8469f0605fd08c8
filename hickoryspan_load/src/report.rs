//! Renders the report of an experiment as Markdown.

use std::fmt::Write;

use crate::experiment::ExperimentSettings;
use crate::summary::RunSummary;

/// Renders the report of an experiment.
///
/// The 99th percentiles are also given as ratios to the first variant, because absolute values depend on the machine.
pub fn render_report(settings: &ExperimentSettings, summaries: &[RunSummary]) -> String {
    let mut text = String::new();
    let faults: Vec<String> = settings.faults.iter().map(ToString::to_string).collect();
    let faults = if faults.is_empty() { "none".to_owned() } else { faults.join(", ") };
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "Profile {}, {} requests/s for {}, service time {}, seed {}, faults: {faults}\n",
        settings.profile,
        settings.requests_per_second,
        humantime::format_duration(settings.duration),
        humantime::format_duration(settings.service_time),
        settings.seed,
    );
    let _ = writeln!(
        text,
        "| variant | class | requests | p50 ms | p99 ms | p99 ratio | p99.9 ms | mean coverage | outcomes |\n\
         |---|---|---|---|---|---|---|---|---|"
    );
    for summary in summaries {
        for (index, class) in summary.classes.iter().enumerate() {
            let first = summaries[0].classes[index].latency_ms.p99;
            let ratio = if first > 0.0 { class.latency_ms.p99 / first } else { 0.0 };
            let outcomes: Vec<String> =
                class.outcomes.iter().map(|(name, count)| format!("{name} {count}")).collect();
            let _ = writeln!(
                text,
                "| {} | {} | {} | {:.1} | {:.1} | {ratio:.2} | {:.1} | {:.5} | {} |",
                summary.variant,
                class.class,
                class.requests,
                class.latency_ms.p50,
                class.latency_ms.p99,
                class.latency_ms.p999,
                class.mean_coverage,
                outcomes.join(", "),
            );
        }
    }
    let _ = writeln!(
        text,
        "\n| variant | extra load | complete/s | connections/limit | broken invariants |\n|---|---|---|---|---|"
    );
    for summary in summaries {
        let _ = writeln!(
            text,
            "| {} | {:.2}% | {:.1} | {:.2} | {} |",
            summary.variant,
            100.0 * summary.extra_load,
            summary.goodput,
            summary.connection_share,
            summary.breaches.len(),
        );
    }
    text
}
