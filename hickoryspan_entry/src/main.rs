//! The entry daemon as a program.

use std::process::ExitCode;

use hickoryspan_entry::EntryDaemon;
use hickoryspan_entry::arguments::{EntryArguments, EntryProgram};
use hickoryspan_runtime::process::{StopSignals, accept_settings, parse_arguments};
use hickoryspan_runtime::settings::SettingsReader;

const PROGRAM: &str = "hickoryspan-entry";

fn main() -> ExitCode {
    let arguments: EntryArguments = match parse_arguments(PROGRAM) {
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
async fn run(program: EntryProgram) -> anyhow::Result<()> {
    program.logs.install()?;
    let mut signals = StopSignals::install()?;
    let handle = EntryDaemon::start(program.daemon).await?;
    tokio::select! {
        () = signals.next() => {}
        () = handle.ended() => anyhow::bail!("the controller failed"),
    }
    spdlog::info!("planned stop; a second signal ends at once");
    handle.begin_drain().await;
    let is_drained = tokio::select! {
        () = handle.drained() => true,
        () = signals.next() => false,
        () = handle.ended() => anyhow::bail!("drain: the controller failed"),
    };
    if !is_drained {
        spdlog::warn!("ended by a second signal");
        handle.stop().await;
        return Ok(());
    }
    tokio::select! {
        () = handle.finish() => {}
        () = signals.next() => spdlog::warn!("ended by a second signal"),
    }
    Ok(())
}
