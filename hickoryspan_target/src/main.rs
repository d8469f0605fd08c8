//! Runs the stand-in target as the program `hickoryspan-target`.

use std::process::ExitCode;

use hickoryspan_runtime::process::{StopSignals, run_program};
use hickoryspan_target::TargetServer;
use hickoryspan_target::arguments::{TargetArguments, TargetProgram};

const PROGRAM: &str = "hickoryspan-target";

fn main() -> ExitCode {
    run_program::<TargetArguments>(PROGRAM, env!("CARGO_PKG_VERSION"), |program| {
        run(program).map(|()| ExitCode::SUCCESS)
    })
}

#[tokio::main]
async fn run(program: TargetProgram) -> anyhow::Result<()> {
    program.logs.install()?;
    let mut signals = StopSignals::install()?;
    let handle = TargetServer::start(program.target).await?;
    signals.next().await;
    spdlog::info!("stop: draining; a second signal stops the target immediately");
    tokio::select! {
        () = handle.stop() => {}
        () = signals.next() => {}
    }
    Ok(())
}
