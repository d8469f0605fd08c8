//! The stand-in target as a program.

use std::process::ExitCode;

use hickoryspan_runtime::process::{StopSignals, accept_settings, parse_arguments};
use hickoryspan_runtime::settings::SettingsReader;
use hickoryspan_target::TargetServer;
use hickoryspan_target::arguments::{TargetArguments, TargetProgram};

const PROGRAM: &str = "hickoryspan-target";

fn main() -> ExitCode {
    let arguments: TargetArguments = match parse_arguments(PROGRAM) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    if arguments.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let read = arguments.read(SettingsReader::from_environment());
    let program = match accept_settings(read, arguments.to_request()) {
        Ok(program) => program,
        Err(code) => return code,
    };
    match run(program) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(program: TargetProgram) -> anyhow::Result<()> {
    program.logs.install()?;
    let mut signals = StopSignals::install()?;
    let handle = TargetServer::start(program.target).await?;
    signals.next().await;
    spdlog::info!("stop: a second signal ends at once");
    tokio::select! {
        () = handle.stop() => {}
        () = signals.next() => {}
    }
    Ok(())
}
