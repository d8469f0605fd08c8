//! How a run ended, for scripts.

use std::process::ExitCode;

/// The end of a run; `docs/operations/outcomes.md` explains each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done,
    /// Refused by the sheet reader or by control; nothing changed.
    Refused,
    /// Wrong arguments or settings, or a file that cannot be read or written.
    WrongSettings,
    /// The command may or may not have taken effect.
    OutcomeUnknown,
    /// The command took effect and was not seen in force at every entry within the timeout.
    NotInForce,
    /// No control replica took the request; nothing changed.
    Unreached,
}

impl ExitStatus {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::WrongSettings => 2,
            Self::OutcomeUnknown => 3,
            Self::NotInForce => 4,
            Self::Unreached => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
