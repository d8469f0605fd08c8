//! Parts shared by the main functions of all programs: arguments, handling of wrong settings, log settings and stop
//! signals.

use std::process::ExitCode;

use anyhow::Context;
use gumdrop::Options;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logs::{LogFormat, LogLevel, install_logs};
use crate::settings::{SETTINGS_EXIT_CODE, SettingFaults, SettingValue, SettingsReader};

/// Parses the arguments of the process and handles `--help`. The error is the exit code of the process.
///
/// Help is printed to standard output, which the library's own function does not do.
pub fn parse_arguments<T: Options>(program: &str) -> Result<T, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let parsed = T::parse_args_default(&arguments).map_err(|error| {
        eprintln!("{program}: {error}");
        ExitCode::from(SETTINGS_EXIT_CODE as u8)
    })?;
    if parsed.help_requested() {
        println!("Usage: {program} [OPTIONS]\n\n{}", T::usage());
        return Err(ExitCode::SUCCESS);
    }
    Ok(parsed)
}

/// Flags that make a process check or print its settings instead of starting its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettingsRequest {
    /// End after checking the settings.
    pub check: bool,
    /// Print the effective settings and end.
    pub print: bool,
}

/// Prints the faults of wrong settings, and the settings if that is requested.
///
/// The error is the exit code of a process that must end here, because its settings are wrong or should only be checked
/// or printed.
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

/// Arguments of a program that [`run_program`] runs.
pub trait ProgramArguments: Options {
    /// Settings of the program after all checks.
    type Settings;

    /// Returns whether only the version should be printed.
    fn version_requested(&self) -> bool;

    /// Returns whether the settings should only be checked or printed.
    fn settings_request(&self) -> SettingsRequest;

    /// Reads all settings, and returns them with their effective values as text. The error lists every wrong setting.
    fn read(
        &self,
        reader: SettingsReader,
    ) -> Result<(Self::Settings, Vec<SettingValue>), SettingFaults>;
}

/// Implements the main function of a program: parses the arguments, handles the version flag, reads the settings and
/// calls `run`. An error of `run` is printed and yields a failure exit code.
pub fn run_program<A: ProgramArguments>(
    program: &str,
    version: &str,
    run: impl FnOnce(A::Settings) -> anyhow::Result<ExitCode>,
) -> ExitCode {
    let arguments: A = match parse_arguments(program) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    if arguments.version_requested() {
        println!("{program} {version}");
        return ExitCode::SUCCESS;
    }
    let read = arguments.read(SettingsReader::from_environment());
    let settings = match accept_settings(read, arguments.settings_request()) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    run(settings).unwrap_or_else(|error| {
        eprintln!("{program}: {error:#}");
        ExitCode::FAILURE
    })
}

/// Log settings, which all daemons have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Lowest severity that is logged.
    pub level: LogLevel,
}

impl LogSettings {
    /// Reads `--log-format` and `--log-level` or their environment variables.
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

    /// Installs the default logger of the process with these settings.
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
    /// Installs handlers for both signals, which then no longer terminate the process by default.
    pub fn install() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("install SIGTERM handler")?,
            interrupt: signal(SignalKind::interrupt()).context("install SIGINT handler")?,
        })
    }

    /// Waits until one of the signals is received.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
