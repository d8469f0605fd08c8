//! `hickoryspan-control`: runs one replica of the durable state.

use std::process::ExitCode;

use hickoryspan_control::{
    ControlDaemon, ControlDaemonSettings, ControlOptions, FolderRole, initialize_folder,
};
use hickoryspan_runtime::process::{StopSignals, run_program};

const PROGRAM: &str = "hickoryspan-control";

fn main() -> ExitCode {
    run_program::<ControlOptions>(PROGRAM, env!("CARGO_PKG_VERSION"), |settings| {
        Ok(start(settings))
    })
}

fn start(settings: ControlDaemonSettings) -> ExitCode {
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
        () = signals.next() => spdlog::warn!("second stop signal: exiting before the drain is complete"),
    }
    Ok(())
}
