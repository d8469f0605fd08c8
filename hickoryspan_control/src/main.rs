//! `hickoryspan-control`: one replica of the durable state.

use std::process::ExitCode;

use gumdrop::Options;
use hickoryspan_control::{ControlDaemon, ControlDaemonSettings, ControlOptions};
use hickoryspan_runtime::logs::install_logs;
use hickoryspan_runtime::process::{
    SettingsCommand, StopSignals, report_faults, run_settings_command,
};
use hickoryspan_runtime::settings::SettingsReader;

fn main() -> ExitCode {
    let options = ControlOptions::parse_args_default_or_exit();
    if options.version {
        println!("hickoryspan-control {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let checked = match ControlDaemonSettings::read(&options, SettingsReader::from_environment()) {
        Ok(checked) => checked,
        Err(faults) => return report_faults(&faults),
    };
    let command =
        SettingsCommand { check: options.check_settings, print: options.print_settings };
    if let Some(code) = run_settings_command(command, checked.values) {
        return code;
    }
    match run(checked.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::critical!("hickoryspan-control: {:#}", error);
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: ControlDaemonSettings) -> anyhow::Result<()> {
    install_logs(settings.log_format, settings.log_level)?;
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
