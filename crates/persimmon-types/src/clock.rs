use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The source of time, passed to whatever needs one so that tests can set it.
///
/// `Instant` keeps counting while a process is stopped by a signal, so a lease measured with it has
/// lapsed when the process wakes. It may stand still while a machine is suspended.
pub trait Clock: Send + Sync {
    /// The monotonic time, used for leases, timeouts and latencies.
    fn now(&self) -> Instant;
    /// The wall time, used for deadlines of jobs and for billing minutes.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns `wall` in milliseconds since the Unix epoch, or 0 for a time before it.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
