//! Delays between attempts to connect to another process.

use std::time::Duration;

/// Range of the delays between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReconnectSettings {
    /// Delay after the first failed attempt. It doubles with each further one.
    pub min: Duration,
    /// Longest delay while another link is up.
    pub max: Duration,
    /// Longest delay while no link is up. A process without any link can do nothing else, and after
    /// a common restart the peers come up one after the other.
    pub max_unlinked: Duration,
}

impl Default for ReconnectSettings {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(20),
            max: Duration::from_millis(700),
            max_unlinked: Duration::from_millis(100),
        }
    }
}

/// The delay before the next attempt to connect to one peer.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectDelay {
    settings: ReconnectSettings,
    next: Duration,
}

impl ReconnectDelay {
    /// Creates the delay of a link that has not failed yet.
    pub fn new(settings: ReconnectSettings) -> Self {
        Self { settings, next: settings.min }
    }

    /// Returns the delay after a failed attempt. `linked` tells whether another link is up.
    pub fn after_failure(&mut self, linked: bool) -> Duration {
        let max = if linked { self.settings.max } else { self.settings.max_unlinked };
        let delay = self.next.min(max);
        self.next = (delay * 2).min(max);
        delay
    }

    /// Starts again with the shortest delay, because the link was up.
    pub fn reset(&mut self) {
        self.next = self.settings.min;
    }
}
