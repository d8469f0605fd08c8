//! Detects that this entry gets much less processor time than usual.
//!
//! A host that is slowed down still answers, only late. Callers cannot tell, so the entry tells the
//! control hosts, which list other entries instead. See `docs/design/platform.md`.

use std::time::Duration;

use crate::types::MonotonicTime;

/// Settings of [`LagMonitor`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LagSettings {
    /// How many times longer than usual the work on a request may take.
    pub max_ratio: f64,
    /// Weight of a new observation in the recent average.
    pub recent_weight: f64,
    /// Weight of a new observation in the usual value.
    pub usual_weight: f64,
    /// Number of observations after which the usual value is trusted.
    pub min_observations: u32,
    /// How long the entry counts as lagging. The time doubles with each further period.
    pub min_period: Duration,
    /// Longest such time.
    pub max_period: Duration,
}

impl Default for LagSettings {
    fn default() -> Self {
        Self {
            max_ratio: 3.0,
            recent_weight: 0.25,
            usual_weight: 0.02,
            min_observations: 50,
            min_period: Duration::from_secs(4),
            max_period: Duration::from_secs(16),
        }
    }
}

/// Factor within which observations vary on a host that is not slowed down.
const USUAL_VARIATION: f64 = 1.5;
/// Largest observation, as a multiple of the limit. With it, a single pause of the process is not taken for a lack of
/// processor time.
const MAX_EXCESS: f64 = 2.0;
/// Largest number of doublings of a period. More would only overflow.
const MAX_DOUBLINGS: u32 = 8;

/// Compares the time that the same piece of work takes now with the time that it usually takes.
#[derive(Clone, Debug)]
pub struct LagMonitor {
    settings: LagSettings,
    observations: u32,
    // Moving averages in seconds.
    usual: f64,
    recent: f64,
    lagging_until: MonotonicTime,
    // Number of periods that followed each other soon.
    periods: u32,
}

impl LagMonitor {
    /// Creates a monitor without observations.
    pub fn new(settings: LagSettings) -> Self {
        Self {
            settings,
            observations: 0,
            usual: 0.0,
            recent: 0.0,
            lagging_until: MonotonicTime(0),
            periods: 0,
        }
    }

    /// Records the time that one piece of work took, without waiting for others.
    pub fn observe(&mut self, now: MonotonicTime, work: Duration) {
        if self.is_lagging(now) {
            return;
        }
        let LagSettings { max_ratio, recent_weight, usual_weight, .. } = self.settings;
        let work = work.as_secs_f64();
        if self.observations < self.settings.min_observations {
            self.observations += 1;
            self.usual += (work - self.usual) / f64::from(self.observations);
            self.recent = self.usual;
            return;
        }
        let work = work.min(self.usual * max_ratio * MAX_EXCESS);
        self.recent += (work - self.recent) * recent_weight;
        if self.recent > self.usual * max_ratio {
            self.start_period(now);
        } else {
            // The usual value must not follow a lag before that is noticed.
            let usual_work = work.min(self.usual * USUAL_VARIATION);
            self.usual += (usual_work - self.usual) * usual_weight;
        }
    }

    fn start_period(&mut self, now: MonotonicTime) {
        let LagSettings { min_period, max_period, .. } = self.settings;
        if now.since(self.lagging_until) > max_period {
            self.periods = 0;
        }
        let period = min_period * 2_u32.pow(self.periods.min(MAX_DOUBLINGS));
        self.lagging_until = now + period.min(max_period);
        self.periods += 1;
        // After the period only new observations count.
        self.recent = self.usual;
    }

    /// Returns whether callers should prefer other entries.
    pub fn is_lagging(&self, now: MonotonicTime) -> bool {
        now < self.lagging_until
    }
}
