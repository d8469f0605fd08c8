//! `hickoryspan-capacity`: measures and prints the resource costs that `docs/CAPACITY.md` is based on.

use std::process::ExitCode;

use gumdrop::Options;
use hickoryspan_load::capacity::fan_out::measure_fan_out;
use hickoryspan_load::capacity::fit::{LineFit, SizePoint};
use hickoryspan_load::capacity::messages::{measure_messages, measure_view};
use hickoryspan_load::capacity::state::{
    measure_claims, measure_control_targets, measure_entry_state,
};
use hickoryspan_runtime::logs::{LogFormat, LogLevel, install_logs};
use hickoryspan_runtime::process::{ProgramArguments, SettingsRequest, run_program};
use hickoryspan_runtime::settings::{SettingFaults, SettingValue, SettingsReader};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Flags of `hickoryspan-capacity`.
#[derive(Debug, Default, Options)]
struct CapacityOptions {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "check the settings and exit", no_short)]
    check_settings: bool,
    #[options(help = "print the settings in force and exit", no_short)]
    print_settings: bool,
    #[options(
        help = "queries for each fan-out width (default 400), 4 to 1000000",
        no_short,
        meta = "COUNT"
    )]
    queries: Option<String>,
    #[options(help = "seed (default 41)", no_short, meta = "SEED")]
    seed: Option<String>,
    #[options(help = "leave out the processor time, which takes a minute", no_short)]
    state_only: bool,
}

const DEFAULT_QUERIES: u64 = 400;
const DEFAULT_SEED: u64 = 41;
const WIDTHS: [u32; 5] = [20, 40, 80, 160, 340];
const TARGET_COUNTS: [u32; 4] = [500, 1000, 2000, 8200];
const CLAIM_COUNTS: [u32; 3] = [10_000, 50_000, 100_000];
/// Number of ordinals for 1,600 daemons, doubled because old and new processes overlap during a restart.
const DESIGN_ORDINALS: u32 = 3200;

const PROGRAM: &str = "hickoryspan-capacity";

fn main() -> ExitCode {
    run_program::<CapacityOptions>(PROGRAM, env!("CARGO_PKG_VERSION"), |settings| {
        run(&settings).map(|()| ExitCode::SUCCESS)
    })
}

impl ProgramArguments for CapacityOptions {
    type Settings = CapacitySettings;

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

struct CapacitySettings {
    queries: u64,
    seed: u64,
    is_state_only: bool,
}

fn read_settings(
    options: &CapacityOptions,
    mut reader: SettingsReader,
) -> Result<(CapacitySettings, Vec<SettingValue>), SettingFaults> {
    let queries = reader.with_default(
        "queries",
        options.queries.as_deref(),
        DEFAULT_QUERIES,
        "a number from 4 to 1000000",
        |count| (4..=1_000_000).contains(count),
    );
    let seed = reader.with_default(
        "seed",
        options.seed.as_deref(),
        DEFAULT_SEED,
        "a whole number",
        |_| true,
    );
    let values = reader.finish()?;
    Ok((CapacitySettings { queries, seed, is_state_only: options.state_only }, values))
}

fn run(settings: &CapacitySettings) -> anyhow::Result<()> {
    install_logs(LogFormat::Text, LogLevel::Error)?;
    print_messages()?;
    print_state()?;
    if settings.is_state_only {
        return Ok(());
    }
    print_fan_out(settings.queries, settings.seed)
}

fn print_line(name: &str, points: &[SizePoint]) {
    for point in points {
        println!("{name}: size {}: {:.2}", point.size, point.value);
    }
    println!("{name}: fit {}", LineFit::of(points));
}

fn measure_points(
    sizes: &[u32],
    measure: impl Fn(u32) -> anyhow::Result<f64>,
) -> anyhow::Result<Vec<SizePoint>> {
    let point = |size: &u32| Ok(SizePoint { size: f64::from(*size), value: measure(*size)? });
    sizes.iter().map(point).collect()
}

fn print_messages() -> anyhow::Result<()> {
    println!("message sizes in bytes: {:?}", measure_messages()?);
    let views = measure_points(&TARGET_COUNTS, |count| Ok(measure_view(count, 0)? as f64))?;
    print_line("whole view, bytes by targets", &views);
    Ok(())
}

fn print_state() -> anyhow::Result<()> {
    // The library reports usage as a floating-point number of kilobytes.
    let allocated = || (ALLOCATOR.current_usage_as_kb() * 1024.0) as usize;
    let entry = measure_points(&TARGET_COUNTS, |count| {
        Ok(measure_entry_state(&allocated, count, 7, 20)? as f64)
    })?;
    print_line("entry state with all shares, bytes by targets", &entry);
    let subset = measure_points(&TARGET_COUNTS, |count| {
        Ok(measure_entry_state(&allocated, count, 1600, DESIGN_ORDINALS)? as f64)
    })?;
    print_line("entry state among 1,600 entries, bytes by targets", &subset);
    let control = measure_points(&TARGET_COUNTS, |count| {
        Ok(measure_control_targets(&allocated, count)? as f64)
    })?;
    print_line("control state, bytes by targets", &control);
    let claims =
        measure_points(&CLAIM_COUNTS, |count| Ok(measure_claims(&allocated, count)? as f64))?;
    print_line("control state, bytes by settled claims", &claims);
    Ok(())
}

fn print_fan_out(queries: u64, seed: u64) -> anyhow::Result<()> {
    let mut entry = Vec::new();
    let mut control = Vec::new();
    for width in WIDTHS {
        let cost = measure_fan_out(width, queries, seed)?;
        println!("fan-out {width}: {cost:?}");
        let size = f64::from(width);
        entry.push(SizePoint { size, value: cost.entry_micros });
        control.push(SizePoint { size, value: cost.control_micros_per_target * size });
    }
    print_line("entry processor time, microseconds for each query by width", &entry);
    print_line("idle control processor time, microseconds a second by targets", &control);
    Ok(())
}
