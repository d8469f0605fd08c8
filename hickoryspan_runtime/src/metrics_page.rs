//! The metrics endpoint in the Prometheus text format.

use std::sync::OnceLock;

use anyhow::{Context, anyhow};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of latency histograms in seconds. They extend from well below to well above the
/// deadlines of both tenants.
const LATENCY_BUCKETS_SECONDS: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.076, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Upper bounds of the buckets of ratio histograms. They are close together near 1, where missing parts of a response
/// show.
const RATIO_BUCKETS: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 1.0];
/// Name suffix of metrics that are ratios.
const RATIO_SUFFIX: &str = "_ratio";

static HANDLE: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();

/// Renders the metrics that the process has recorded.
#[derive(Clone)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the metrics recorder of the process. If it is already installed, as by another role of a local
    /// deployment in the same process, the page renders the existing one.
    pub fn install() -> anyhow::Result<Self> {
        let installed = HANDLE.get_or_init(|| {
            PrometheusBuilder::new()
                .set_buckets(&LATENCY_BUCKETS_SECONDS)
                .and_then(|builder| {
                    let matcher = Matcher::Suffix(RATIO_SUFFIX.to_owned());
                    builder.set_buckets_for_metric(matcher, &RATIO_BUCKETS)
                })
                .and_then(|builder| builder.install_recorder())
                .map_err(|error| error.to_string())
        });
        let handle =
            installed.clone().map_err(|error| anyhow!(error)).context("install metrics")?;
        Ok(Self { handle })
    }

    /// Renders the metrics in the Prometheus text format. It must be called regularly, because it also compacts the
    /// histograms.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
