//! The metrics endpoint in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};

use anyhow::{Context, anyhow};
use metrics::{Key, Label};

use crate::metrics_recorder::{BucketHistogram, PageRecorder, PageRegistry, PageStorage};

static REGISTRY: OnceLock<Result<Arc<PageRegistry>, String>> = OnceLock::new();

/// Renders the metrics that the process has recorded.
#[derive(Clone)]
pub struct MetricsPage {
    registry: Arc<PageRegistry>,
}

impl MetricsPage {
    /// Installs the metrics recorder of the process. If it is already installed, as by another role of a local
    /// deployment in the same process, the page renders the existing one.
    pub fn install() -> anyhow::Result<Self> {
        let installed = REGISTRY.get_or_init(|| {
            let registry = Arc::new(PageRegistry::new(PageStorage));
            metrics::set_global_recorder(PageRecorder(Arc::clone(&registry)))
                .map(|()| registry)
                .map_err(|error| error.to_string())
        });
        let registry =
            installed.clone().map_err(|error| anyhow!(error)).context("install metrics")?;
        Ok(Self { registry })
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut page = PageText::default();
        self.registry.visit_counters(|key, counter| {
            page.add_sample(key, "counter", counter.load(Ordering::Relaxed));
        });
        self.registry.visit_gauges(|key, gauge| {
            page.add_sample(key, "gauge", f64::from_bits(gauge.load(Ordering::Relaxed)));
        });
        self.registry.visit_histograms(|key, histogram| page.add_histogram(key, histogram));
        page.finish()
    }
}

/// The lines of the page, grouped by metric.
#[derive(Default)]
struct PageText {
    families: BTreeMap<String, MetricFamily>,
}

struct MetricFamily {
    kind: &'static str,
    lines: Vec<String>,
}

impl PageText {
    fn family(&mut self, key: &Key, kind: &'static str) -> &mut Vec<String> {
        let family = self.families.entry(key.name().to_owned());
        &mut family.or_insert_with(|| MetricFamily { kind, lines: Vec::new() }).lines
    }

    fn add_sample(&mut self, key: &Key, kind: &'static str, value: impl Display) {
        let line = format!("{}{} {value}", key.name(), label_text(key, None));
        self.family(key, kind).push(line);
    }

    fn add_histogram(&mut self, key: &Key, histogram: &BucketHistogram) {
        let name = key.name();
        let mut count = 0;
        let lines = self.family(key, "histogram");
        for (bound, total) in histogram.cumulative() {
            let bound = if bound.is_finite() { bound.to_string() } else { "+Inf".to_owned() };
            lines.push(format!("{name}_bucket{} {total}", label_text(key, Some(bound))));
            count = total;
        }
        let labels = label_text(key, None);
        lines.push(format!("{name}_sum{labels} {}", histogram.sum()));
        lines.push(format!("{name}_count{labels} {count}"));
    }

    fn finish(self) -> String {
        let mut text = String::new();
        for (name, MetricFamily { kind, lines }) in self.families {
            text.push_str(&format!("# TYPE {name} {kind}\n"));
            for line in lines {
                text.push_str(&line);
                text.push('\n');
            }
            text.push('\n');
        }
        text
    }
}

/// Returns the labels of a sample in braces, or nothing if there are none. `bound` is the upper bound of a bucket.
fn label_text(key: &Key, bound: Option<String>) -> String {
    let label = |label: &Label| format!("{}=\"{}\"", label.key(), escape(label.value()));
    let bound = bound.map(|bound| format!("le=\"{bound}\""));
    let labels: Vec<String> = key.labels().map(label).chain(bound).collect();
    if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) }
}

fn escape(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
