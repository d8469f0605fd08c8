//! Readiness of the daemon, reported by `/readyz`.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

use hickoryspan_core::membership::ViewChange;
use hickoryspan_core::messages::ControlMessage;

/// State behind the readiness check.
#[derive(Debug, Default)]
pub(crate) struct ReadinessState {
    configured: AtomicBool,
    draining: AtomicBool,
}

/// Reason why the daemon is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotReady {
    NoConfiguration,
    Draining,
}

impl fmt::Display for NotReady {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoConfiguration => "no configuration is in force",
            Self::Draining => "draining",
        })
    }
}

impl ReadinessState {
    /// Marks the daemon as configured if the message contains a sheet. A sheet is replaced but
    /// never removed, so the mark stays.
    pub(crate) fn observe(&self, message: &ControlMessage) {
        let has_sheet = match message {
            ControlMessage::Welcome { view, .. } | ControlMessage::View(view) => {
                view.sheet.is_some()
            }
            ControlMessage::Delta { changes, .. } => {
                changes.iter().any(|change| matches!(change, ViewChange::PutSheet(_)))
            }
            _ => false,
        };
        if has_sheet {
            self.configured.store(true, Ordering::Release);
        }
    }

    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn check(&self) -> Result<(), NotReady> {
        if self.draining.load(Ordering::Acquire) {
            return Err(NotReady::Draining);
        }
        if !self.configured.load(Ordering::Acquire) {
            return Err(NotReady::NoConfiguration);
        }
        Ok(())
    }
}
