use persimmon_types::{BootClock, Clock, SystemClock};
use std::{thread::sleep, time::Duration};

/// Unless the machine is suspended, both clocks advance at the same rate.
#[test]
fn boot_clock_matches_system_clock() {
    let clock = BootClock::new();
    let before = clock.now();
    sleep(Duration::from_millis(20));
    let after = clock.now();
    assert!(after >= before + Duration::from_millis(20));
    let system = SystemClock.now();
    assert!(system.saturating_duration_since(clock.now()) < Duration::from_secs(5));
}
