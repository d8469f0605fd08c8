//! The clocks of the process, which are read once for each event that a state machine handles.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hickoryspan_core::types::{ClockReading, IncarnationNumber, MonotonicTime, WallTime};

/// Reads the system clocks. Monotonic time counts from the creation of this value.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time is zero now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the current monotonic and wall clock time.
    pub fn reading(&self) -> ClockReading {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        ClockReading { monotonic: MonotonicTime(micros), wall: wall_time() }
    }

    /// Returns the instant at which this clock reaches a monotonic time.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        self.origin + std::time::Duration::from_micros(time.0)
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch, or zero if the clock is set to an earlier time.
pub fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the current wall clock time as an incarnation. A process uses it if its settings do not state one.
pub fn incarnation_from_clock() -> IncarnationNumber {
    IncarnationNumber(wall_time().0)
}
