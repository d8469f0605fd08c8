//! Exit codes of the command line tool.

use std::process::ExitCode;

/// Exit status of a run. `docs/operations/outcomes.md` explains each status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The sheet reader or the control replicas rejected the command; nothing changed.
    Refused,
    /// The arguments or settings are not valid, or a file cannot be read or written.
    WrongSettings,
    /// No decision was received after the command was sent; it may or may not have taken effect.
    OutcomeUnknown,
    /// The command was accepted, but not every entry reported its revision within the timeout.
    NotInForce,
    /// No control replica handled the request; nothing changed.
    Unavailable,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::WrongSettings => 2,
            Self::OutcomeUnknown => 3,
            Self::NotInForce => 4,
            Self::Unavailable => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
