//! `hickoryspan-local`: runs a complete deployment on the loopback interface and prints the responses to example
//! requests.

use std::process::ExitCode;

use anyhow::Context;
use gumdrop::Options;
use hickoryspan_local::{CallerAnswer, LocalCaller, LocalDeployment, LocalSettings};
use hickoryspan_runtime::process::{
    LogSettings, ProgramArguments, SettingsRequest, StopSignals, run_program,
};
use hickoryspan_runtime::settings::{SettingFaults, SettingValue, SettingsReader};
use serde_json::json;

/// Flags of `hickoryspan-local`.
#[derive(Debug, Default, Options)]
struct LocalOptions {
    #[options(help = "print this help", no_short)]
    help: bool,
    #[options(help = "print the version", no_short)]
    version: bool,
    #[options(help = "check the settings and exit", no_short)]
    check_settings: bool,
    #[options(help = "print the settings in force and exit", no_short)]
    print_settings: bool,
    #[options(help = "stop after the example requests", no_short)]
    once: bool,
    #[options(help = "entry processes, 1 to 7 (default 2)", no_short, meta = "COUNT")]
    entries: Option<String>,
    #[options(
        help = "port of the first entry; 0 takes free ports (default 7200)",
        no_short,
        meta = "PORT"
    )]
    first_port: Option<String>,
    #[options(help = "error, warn, info, debug or trace (default warn)", no_short, meta = "LEVEL")]
    log_level: Option<String>,
    #[options(help = "text or json (default text)", no_short, meta = "FORMAT")]
    log_format: Option<String>,
}

const DEFAULT_FIRST_PORT: u16 = 7200;

const PROGRAM: &str = "hickoryspan-local";

fn main() -> ExitCode {
    run_program::<LocalOptions>(PROGRAM, env!("CARGO_PKG_VERSION"), |settings| {
        run(&settings).map(|()| ExitCode::SUCCESS)
    })
}

impl ProgramArguments for LocalOptions {
    type Settings = ProgramSettings;

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

struct ProgramSettings {
    entries: usize,
    first_port: u16,
    is_one_shot: bool,
    logs: LogSettings,
}

fn read_settings(
    options: &LocalOptions,
    mut reader: SettingsReader,
) -> Result<(ProgramSettings, Vec<SettingValue>), SettingFaults> {
    let entries = reader.with_default(
        "entries",
        options.entries.as_deref(),
        2,
        "a number from 1 to 7",
        |count| (1..=7).contains(count),
    );
    let first_port = reader.with_default(
        "first-port",
        options.first_port.as_deref(),
        DEFAULT_FIRST_PORT,
        "a port number",
        |_| true,
    );
    let level = options.log_level.as_deref().or(Some("warn"));
    let logs = LogSettings::read(&mut reader, options.log_format.as_deref(), level);
    let values = reader.finish()?;
    Ok((ProgramSettings { entries, first_port, is_one_shot: options.once, logs }, values))
}

#[tokio::main]
async fn run(program: &ProgramSettings) -> anyhow::Result<()> {
    program.logs.install()?;
    let mut signals = StopSignals::install()?;
    let settings = LocalSettings {
        entries: program.entries,
        first_port: program.first_port,
        ..LocalSettings::from_example()?
    };
    let deployment = LocalDeployment::start(settings).await?;
    show_requests(&deployment).await?;
    if !program.is_one_shot {
        println!("\nrunning; Ctrl-C drains and ends, a second one ends at once");
        signals.next().await;
    }
    println!("draining");
    tokio::select! {
        () = deployment.drain() => println!("ended"),
        () = signals.next() => println!("ended at once"),
    }
    Ok(())
}

async fn show_requests(deployment: &LocalDeployment) -> anyhow::Result<()> {
    let entries = deployment.entries();
    let (first, last) = (entries.first().context("no entry")?, entries.last().context("no entry")?);
    let (first, last) = (first.caller_address(), last.caller_address());
    let salesperson = LocalCaller::new("quindio", "sales-phone", "phone");
    let query = json!({ "farm": "El Roble" });
    let answer = salesperson.search(first, "order-history", &query).await?;
    print_answer("search order-history over 20 shards", &answer);
    let printer = LocalCaller::new("quindio", "print-queue", "print");
    let content = json!({ "logo": "El Roble", "trays": 500 });
    let issued_at = hickoryspan_runtime::clock::wall_time().0;
    for (entry, title) in [(first, "print order"), (last, "the same print order, sent again")] {
        let answer = printer
            .order_issued_at(entry, "print-order", "order-118-1", issued_at, &content)
            .await?;
        print_answer(title, &answer);
    }
    let answer = salesperson.addresses(last).await?;
    print_answer("entry addresses", &answer);
    Ok(())
}

fn print_answer(title: &str, answer: &CallerAnswer) {
    println!("\n{title}: status {}\n{:#}", answer.status, answer.body);
}
