//! What every binary does around its role: settings commands, exit codes and signals.

use std::process::ExitCode;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

use crate::settings::{SETTINGS_EXIT_CODE, SettingFaults, SettingValue};

/// What the flags ask a binary to do before its role starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettingsCommand {
    /// Check the settings and exit.
    pub check: bool,
    /// Print the settings in force and exit.
    pub print: bool,
}

/// Reports wrong settings on standard error; the exit code tells them from other failures.
pub fn report_faults(faults: &SettingFaults) -> ExitCode {
    eprint!("{faults}");
    ExitCode::from(u8::try_from(SETTINGS_EXIT_CODE).unwrap_or(u8::MAX))
}

/// Carries out the command; without one, the role is to be started and nothing is returned.
pub fn run_settings_command(
    command: SettingsCommand,
    values: impl IntoIterator<Item = SettingValue>,
) -> Option<ExitCode> {
    if command.print {
        values.into_iter().for_each(|value| println!("{value}"));
        return Some(ExitCode::SUCCESS);
    }
    if command.check {
        println!("settings are valid");
        return Some(ExitCode::SUCCESS);
    }
    None
}

/// Waits for SIGTERM or SIGINT; a second call waits for the next one.
pub struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl StopSignals {
    /// Installs the handlers.
    pub fn install() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("install SIGTERM handler")?,
            interrupt: signal(SignalKind::interrupt()).context("install SIGINT handler")?,
        })
    }

    /// Resolves at the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
