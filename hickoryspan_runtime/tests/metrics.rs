//! The metrics page, as a scraper reads it.

use hickoryspan_runtime::metrics_page::MetricsPage;

// The recorder of a process can be installed only once, so one test checks everything.
#[test]
fn page_shows_counters_gauges_and_histograms() {
    let page = MetricsPage::install().expect("install the recorder");
    metrics::counter!("requests_total", "route" => "a\"b\\c\nd").increment(2);
    metrics::counter!("requests_total", "route" => "e").increment(1);
    metrics::gauge!("links").set(1.5);
    for seconds in [0.0005, 0.002, 0.03, 99.0] {
        metrics::histogram!("latency_seconds").record(seconds);
    }
    metrics::histogram!("coverage_ratio", "class" => "phone").record(0.9);
    let text = page.render();
    for line in [
        "# TYPE requests_total counter",
        r#"requests_total{route="a\"b\\c\nd"} 2"#,
        r#"requests_total{route="e"} 1"#,
        "# TYPE links gauge",
        "links 1.5",
        "# TYPE latency_seconds histogram",
        r#"latency_seconds_bucket{le="0.001"} 1"#,
        r#"latency_seconds_bucket{le="0.002"} 2"#,
        r#"latency_seconds_bucket{le="0.02"} 2"#,
        r#"latency_seconds_bucket{le="0.03"} 3"#,
        r#"latency_seconds_bucket{le="10"} 3"#,
        r#"latency_seconds_bucket{le="+Inf"} 4"#,
        "latency_seconds_sum 99.0325",
        "latency_seconds_count 4",
        r#"coverage_ratio_bucket{class="phone",le="0.75"} 0"#,
        r#"coverage_ratio_bucket{class="phone",le="0.9"} 1"#,
        r#"coverage_ratio_count{class="phone"} 1"#,
    ] {
        assert!(text.lines().any(|found| found == line), "{line:?} is missing in:\n{text}");
    }
    let again = MetricsPage::install().expect("the recorder is shared");
    assert_eq!(again.render(), text);
}
