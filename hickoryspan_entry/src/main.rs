//! Program `hickoryspan-entry`, which runs the entry daemon until it receives a stop signal.

use std::process::ExitCode;

use hickoryspan_entry::EntryDaemon;
use hickoryspan_entry::arguments::{EntryArguments, EntryProgram};
use hickoryspan_runtime::process::{StopSignals, run_program};

const PROGRAM: &str = "hickoryspan-entry";

fn main() -> ExitCode {
    run_program::<EntryArguments>(PROGRAM, env!("CARGO_PKG_VERSION"), |program| {
        run(program).map(|()| ExitCode::SUCCESS)
    })
}

#[tokio::main]
async fn run(program: EntryProgram) -> anyhow::Result<()> {
    program.logs.install()?;
    let mut signals = StopSignals::install()?;
    let handle = EntryDaemon::start(program.daemon).await?;
    tokio::select! {
        () = signals.next() => {}
        () = handle.ended() => {
            handle.interrupt().await;
            anyhow::bail!("the controller failed");
        }
    }
    spdlog::info!("graceful shutdown started; a second signal interrupts requests in flight");
    handle.begin_drain().await;
    let is_drained = tokio::select! {
        () = handle.drained() => true,
        () = signals.next() => false,
        () = handle.ended() => {
            handle.interrupt().await;
            anyhow::bail!("drain: the controller failed");
        }
    };
    if !is_drained {
        spdlog::warn!("second signal received; requests in flight are interrupted");
        tokio::select! {
            () = handle.interrupt() => {}
            () = signals.next() => spdlog::warn!("third signal received; stopping immediately"),
        }
        return Ok(());
    }
    tokio::select! {
        () = handle.finish() => {}
        () = signals.next() => spdlog::warn!("second signal received; stopping immediately"),
    }
    Ok(())
}
