//! What the main functions of all daemons share: the answer to wrong settings, and the signals that stop a process.

use std::process::ExitCode;

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logs::{LogFormat, LogLevel, install_logs};
use crate::settings::{SETTINGS_EXIT_CODE, SettingFaults, SettingValue, SettingsReader};

/// What a process was asked to do with its settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettingsRequest {
    /// End after the check.
    pub check: bool,
    /// Print the settings in force and end.
    pub print: bool,
}

/// Reports wrong settings, and ends a process that should only check or print them; the error is the exit code.
pub fn accept_settings<T>(
    read: Result<(T, Vec<SettingValue>), SettingFaults>,
    request: SettingsRequest,
) -> Result<T, ExitCode> {
    let (settings, values) = read.map_err(|faults| {
        eprint!("{faults}");
        ExitCode::from(SETTINGS_EXIT_CODE as u8)
    })?;
    if request.print {
        values.iter().for_each(|value| println!("{value}"));
    }
    if request.print || request.check { Err(ExitCode::SUCCESS) } else { Ok(settings) }
}

/// The log settings that every daemon has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of log lines.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

impl LogSettings {
    /// Reads `--log-format` and `--log-level`.
    pub fn read(reader: &mut SettingsReader, format: Option<&str>, level: Option<&str>) -> Self {
        let accepted = "error, warn, info, debug or trace";
        Self {
            format: reader.with_default(
                "log-format",
                format,
                LogFormat::default(),
                "text or json",
                |_| true,
            ),
            level: reader.with_default("log-level", level, LogLevel::default(), accepted, |_| true),
        }
    }

    /// Sets the process's default logger.
    pub fn install(self) -> anyhow::Result<()> {
        install_logs(self.format, self.level)
    }
}

/// The signals that stop a process: SIGTERM and SIGINT (Ctrl-C).
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes over both signals; from now on they no longer end the process by themselves.
    pub fn install() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("install SIGTERM handler")?,
            interrupt: signal(SignalKind::interrupt()).context("install SIGINT handler")?,
        })
    }

    /// Waits for the next of the two signals.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
