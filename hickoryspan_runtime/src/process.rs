//! What the main functions of all programs share: arguments, the answer to wrong settings, and stop signals.

use std::process::ExitCode;

use anyhow::Context;
use gumdrop::Options;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logs::{LogFormat, LogLevel, install_logs};
use crate::settings::{SETTINGS_EXIT_CODE, SettingFaults, SettingValue, SettingsReader};

/// Parses the process's arguments and answers `--help`; the error is the exit code. The help goes to standard
/// output, which the library's own function does not do.
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

/// The arguments of a program, as [`run_program`] needs them.
pub trait ProgramArguments: Options {
    /// The checked settings.
    type Settings;

    /// Whether only the version is asked for.
    fn version_requested(&self) -> bool;

    /// What is asked of the settings before the program's work starts.
    fn settings_request(&self) -> SettingsRequest;

    /// Reads all settings; the error lists every wrong one.
    fn read(
        &self,
        reader: SettingsReader,
    ) -> Result<(Self::Settings, Vec<SettingValue>), SettingFaults>;
}

/// The main function of a program: arguments, version, settings, then `run`, whose error is printed.
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
