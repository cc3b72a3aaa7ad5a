use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The source of time, passed to whatever needs one so that tests can set it.
///
/// `Instant` keeps counting while a process is stopped by a signal, so a lease measured with it has
/// lapsed when the process wakes. The operating system's stands still while a machine is suspended;
/// [`BootClock`] does not.
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

/// The operating system's clock, of which the monotonic time counts what the machine was suspended.
///
/// A lease that is measured with it has lapsed when the machine wakes.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    began_at: Instant,
    /// Time since the machine started, when this clock was made.
    began_after_boot: Duration,
}

impl BootClock {
    /// A clock that agrees with the operating system's now.
    pub fn new() -> Self {
        Self {
            began_at: Instant::now(),
            began_after_boot: since_boot(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.began_at + since_boot().saturating_sub(self.began_after_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Time since the machine started, suspended or not.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// Returns `wall` in milliseconds since the Unix epoch, or 0 for a time before it.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
