//! Faults to inject in a run, with a text form for the command line.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hickoryspan_core::types::ParseValueError;

/// Fault to inject, with its parameters. Times are relative to the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// A random share of the targets is slower by a factor, from the start of the run.
    Stragglers {
        /// Share of all targets, from 0 to 1.
        share: f64,
        /// Factor on the service time of these targets.
        factor: f64,
    },
    /// All targets are so slow for some time that no response meets the deadline of a deadline-first class.
    Stall {
        /// Start of the stall.
        at: Duration,
        /// Duration of the stall.
        length: Duration,
    },
    /// The first replica of every shard is lost without a withdrawal.
    LoseReplicas {
        /// Time of the loss.
        at: Duration,
    },
    /// All targets in the failure domain of the first target are lost without a withdrawal.
    LoseDomain {
        /// Time of the loss.
        at: Duration,
    },
    /// The open connections of a random share of the targets stall permanently; new connections work.
    SilenceConnections {
        /// Time at which the connections stall.
        at: Duration,
        /// Share of all targets, from 0 to 1.
        share: f64,
    },
    /// All entries are replaced by new processes, one after another.
    RollingRestart {
        /// Time at which the first entry is replaced.
        at: Duration,
    },
}

const ACCEPTED: &str = "none, stragglers:SHARE:FACTOR, stall:AT:LENGTH, lose-replicas:AT, \
     lose-domain:AT, silence:AT:SHARE or rolling-restart:AT, with times such as 5s";

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = humantime::format_duration;
        match self {
            Self::Stragglers { share, factor } => write!(formatter, "stragglers:{share}:{factor}"),
            Self::Stall { at, length } => {
                write!(formatter, "stall:{}:{}", time(*at), time(*length))
            }
            Self::LoseReplicas { at } => write!(formatter, "lose-replicas:{}", time(*at)),
            Self::LoseDomain { at } => write!(formatter, "lose-domain:{}", time(*at)),
            Self::SilenceConnections { at, share } => {
                write!(formatter, "silence:{}:{share}", time(*at))
            }
            Self::RollingRestart { at } => write!(formatter, "rolling-restart:{}", time(*at)),
        }
    }
}

impl FromStr for FaultKind {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let fault = || ParseValueError::new("FaultKind", text, ACCEPTED);
        let time = |text: &str| humantime::parse_duration(text).map_err(|_| fault());
        let number = |text: &str| match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
            _ => Err(fault()),
        };
        let parts: Vec<&str> = text.split(':').collect();
        match parts.as_slice() {
            ["stragglers", share, factor] => {
                Ok(Self::Stragglers { share: number(share)?, factor: number(factor)? })
            }
            ["stall", at, length] => Ok(Self::Stall { at: time(at)?, length: time(length)? }),
            ["lose-replicas", at] => Ok(Self::LoseReplicas { at: time(at)? }),
            ["lose-domain", at] => Ok(Self::LoseDomain { at: time(at)? }),
            ["silence", at, share] => {
                Ok(Self::SilenceConnections { at: time(at)?, share: number(share)? })
            }
            ["rolling-restart", at] => Ok(Self::RollingRestart { at: time(at)? }),
            _ => Err(fault()),
        }
    }
}
