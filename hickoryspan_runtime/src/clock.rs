//! The process's clocks, read once for each event that a machine handles.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use hickoryspan_core::types::{ClockReading, IncarnationNumber, MonotonicTime, WallTime};

/// Reads the system's clocks; monotonic time counts from the clock's creation.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Both clocks.
    pub fn reading(&self) -> ClockReading {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        ClockReading { monotonic: MonotonicTime(micros), wall: wall_time() }
    }

    /// The instant at which the monotonic time is reached.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        self.origin + std::time::Duration::from_micros(time.0)
    }
}

/// The wall clock in milliseconds since the Unix epoch; zero before it.
pub fn wall_time() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// The incarnation of a process that starts now, unless its settings state one.
pub fn incarnation_from_clock() -> IncarnationNumber {
    IncarnationNumber(wall_time().0)
}
