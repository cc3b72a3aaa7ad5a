use persimmon_log::{CallSite, RateLimiter, Suppressed};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);
const SITE_A: CallSite = ("a.rs", 1);
const SITE_B: CallSite = ("b.rs", 2);

#[test]
fn admit_limits_each_call_site() {
    let now = Instant::now();
    let mut limiter = RateLimiter::new(3, WINDOW);
    let admitted = (0..10).filter(|_| limiter.admit(SITE_A, now)).count();
    assert_eq!(admitted, 3);
    assert!(
        limiter.admit(SITE_B, now),
        "the limit of another call site is separate"
    );
    assert!(limiter.admit(SITE_A, now + WINDOW), "the window has ended");
}

#[test]
fn take_suppressed_counts_each_line_once() {
    let now = Instant::now();
    let mut limiter = RateLimiter::new(3, WINDOW);
    for _ in 0..10 {
        limiter.admit(SITE_A, now);
    }
    limiter.admit(SITE_B, now);
    let suppressed = Suppressed {
        call_site: SITE_A,
        lines: 7,
    };
    assert_eq!(limiter.take_suppressed(), [suppressed]);
    assert_eq!(limiter.take_suppressed(), []);
}
