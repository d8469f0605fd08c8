//! `hickoryspan-load`: runs experiments on a local deployment that is modelled on one tenant.

use std::fs;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use gumdrop::Options;
use hickoryspan_load::experiment::{ExperimentSettings, run_experiment};
use hickoryspan_load::report::render_report;
use hickoryspan_runtime::process::{LogSettings, ProgramArguments, SettingsRequest, run_program};
use hickoryspan_runtime::settings::{SettingFaults, SettingValue, SettingsReader};

/// Flags of `hickoryspan-load`.
#[derive(Debug, Default, Options)]
struct LoadOptions {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "check the settings and exit", no_short)]
    check_settings: bool,
    #[options(help = "print the settings in force and exit", no_short)]
    print_settings: bool,
    #[options(help = "quindio or vestera (default quindio)", no_short, meta = "NAME")]
    profile: Option<String>,
    #[options(
        help = "mean arrivals a second, above 0 to 5000 (default 40)",
        no_short,
        meta = "RATE"
    )]
    rate: Option<String>,
    #[options(
        help = "median time of a sub-request in its slot, 1ms to 1s (default 4ms)",
        no_short,
        meta = "DURATION"
    )]
    service_time: Option<String>,
    #[options(help = "length of each run, 1s to 10m (default 15s)", no_short, meta = "DURATION")]
    duration: Option<String>,
    #[options(help = "seed of arrivals, faults and targets (default 41)", no_short, meta = "SEED")]
    seed: Option<String>,
    #[options(
        help = "policies to compare: full, baseline, no-hedging, random-routing, no-ejection \
                (default baseline,full)",
        no_short,
        meta = "LIST"
    )]
    variants: Option<String>,
    #[options(
        help = "faults of every run: stragglers:SHARE:FACTOR, stall:AT:LENGTH, lose-replicas:AT, \
                lose-domain:AT, silence:AT:SHARE, rolling-restart:AT",
        no_short,
        meta = "LIST"
    )]
    faults: Option<String>,
    #[options(help = "file for one JSON line a run", no_short, meta = "FILE")]
    output: Option<String>,
    #[options(
        help = "error, warn, info, debug or trace (default error)",
        no_short,
        meta = "LEVEL"
    )]
    log_level: Option<String>,
    #[options(help = "text or json (default text)", no_short, meta = "FORMAT")]
    log_format: Option<String>,
}

struct LoadSettings {
    experiment: ExperimentSettings,
    output: Option<String>,
    logs: LogSettings,
}

const PROGRAM: &str = "hickoryspan-load";

fn main() -> ExitCode {
    run_program::<LoadOptions>(PROGRAM, env!("CARGO_PKG_VERSION"), |settings| run(&settings))
}

impl ProgramArguments for LoadOptions {
    type Settings = LoadSettings;

    fn version_requested(&self) -> bool {
        self.version
    }

    fn settings_request(&self) -> SettingsRequest {
        SettingsRequest { check: self.check_settings, print: self.print_settings }
    }

    fn read(
        &self,
        reader: SettingsReader,
    ) -> Result<(Self::Settings, Vec<SettingValue>), SettingFaults> {
        read_settings(self, reader)
    }
}

fn read_settings(
    options: &LoadOptions,
    mut reader: SettingsReader,
) -> Result<(LoadSettings, Vec<SettingValue>), SettingFaults> {
    let default = ExperimentSettings::default();
    let mut experiment = ExperimentSettings {
        profile: reader.with_default(
            "profile",
            options.profile.as_deref(),
            default.profile,
            "quindio or vestera",
            |_| true,
        ),
        requests_per_second: reader.with_default(
            "rate",
            options.rate.as_deref(),
            default.requests_per_second,
            "a number above 0, at most 5000",
            |rate| *rate > 0.0 && *rate <= 5000.0,
        ),
        service_time: reader.duration(
            "service-time",
            options.service_time.as_deref(),
            default.service_time,
            Duration::from_millis(1)..=Duration::from_secs(1),
        ),
        duration: reader.duration(
            "duration",
            options.duration.as_deref(),
            default.duration,
            Duration::from_secs(1)..=Duration::from_secs(600),
        ),
        seed: reader.with_default(
            "seed",
            options.seed.as_deref(),
            default.seed,
            "a whole number",
            |_| true,
        ),
        variants: reader.list("variants", options.variants.as_deref(), "see --help"),
        faults: reader.list("faults", options.faults.as_deref(), "see --help"),
    };
    if experiment.variants.is_empty() {
        experiment.variants = default.variants;
    }
    let output = reader.optional("output", options.output.as_deref(), "a file", |_| true);
    let level = options.log_level.as_deref().or(Some("error"));
    let logs = LogSettings::read(&mut reader, options.log_format.as_deref(), level);
    let values = reader.finish()?;
    Ok((LoadSettings { experiment, output, logs }, values))
}

#[tokio::main]
async fn run(settings: &LoadSettings) -> anyhow::Result<ExitCode> {
    settings.logs.install()?;
    let summaries = run_experiment(&settings.experiment).await?;
    println!("{}", render_report(&settings.experiment, &summaries));
    for violation in summaries.iter().flat_map(|summary| &summary.breaches).take(20) {
        println!("broken: {violation}");
    }
    if let Some(output) = &settings.output {
        let lines: Result<Vec<String>, _> = summaries.iter().map(serde_json::to_string).collect();
        let text = lines.context("encode results")?.join("\n") + "\n";
        fs::write(output, text).with_context(|| format!("write results: {output}"))?;
    }
    if summaries.iter().all(|summary| summary.breaches.is_empty()) {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{PROGRAM}: invariants were broken; see above");
    Ok(ExitCode::FAILURE)
}
