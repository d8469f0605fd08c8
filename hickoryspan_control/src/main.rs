//! `hickoryspan-control`: one replica of the durable state.

use std::process::ExitCode;

use hickoryspan_control::{
    ControlDaemon, ControlDaemonSettings, ControlOptions, FolderRole, initialize_folder,
};
use hickoryspan_runtime::process::{
    SettingsRequest, StopSignals, accept_settings, parse_arguments,
};
use hickoryspan_runtime::settings::SettingsReader;

const PROGRAM: &str = "hickoryspan-control";

fn main() -> ExitCode {
    let options: ControlOptions = match parse_arguments(PROGRAM) {
        Ok(options) => options,
        Err(code) => return code,
    };
    if options.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let read = ControlDaemonSettings::read(&options, SettingsReader::from_environment());
    let request = SettingsRequest { check: options.check_settings, print: options.print_settings };
    let settings = match accept_settings(read, request) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if let Some(role) = settings.initialize {
        return initialize(&settings, role);
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::critical!("{}: {:#}", PROGRAM, error);
            ExitCode::FAILURE
        }
    }
}

fn initialize(settings: &ControlDaemonSettings, role: FolderRole) -> ExitCode {
    match initialize_folder(&settings.data_folder, role) {
        Ok(replica) => {
            println!("initialized replica {replica}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{PROGRAM}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: ControlDaemonSettings) -> anyhow::Result<()> {
    settings.logs.install()?;
    let mut signals = StopSignals::install()?;
    let daemon = ControlDaemon::start(settings).await?;
    tokio::select! {
        () = signals.next() => {}
        () = daemon.stopped() => {
            daemon.stop().await;
            anyhow::bail!("the replica stopped by itself; see the log lines above");
        }
    }
    spdlog::info!("drain starts");
    tokio::select! {
        () = daemon.drain() => spdlog::info!("drain complete"),
        () = signals.next() => spdlog::warn!("second signal: ending at once"),
    }
    Ok(())
}
