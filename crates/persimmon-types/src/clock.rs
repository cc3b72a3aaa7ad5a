use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time that tests can replace.
///
/// A monotonic clock keeps counting while the process is stopped by a signal, so a lease that
/// expired in the meantime is seen as expired when the process continues. [`SystemClock`] doesn't
/// count the time for which the machine is suspended; [`BootClock`] does.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, used for leases, timeouts and latencies.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, used for job deadlines and billing minutes.
    fn wall(&self) -> SystemTime;
}

/// The clocks of the standard library.
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

/// A clock whose monotonic time includes the time for which the machine was suspended.
///
/// A lease that expires during a suspension is seen as expired when the machine resumes.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    created_at: Instant,
    /// The time since boot at `created_at`.
    since_boot_at_creation: Duration,
}

impl BootClock {
    /// Creates a clock whose monotonic time equals `Instant::now()` at this moment.
    pub fn new() -> Self {
        Self {
            created_at: Instant::now(),
            since_boot_at_creation: since_boot(),
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
        self.created_at + since_boot().saturating_sub(self.since_boot_at_creation)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since boot, including suspensions.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// Returns `wall` in milliseconds since the Unix epoch, or 0 for an earlier time.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
