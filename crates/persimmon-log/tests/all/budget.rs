use persimmon_log::{Budget, LeftOut, Place};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);
const HERE: Place = ("a.rs", 1);
const THERE: Place = ("b.rs", 2);

#[test]
fn admit_up_to_the_budget() {
    let now = Instant::now();
    let mut budget = Budget::new(3, WINDOW);
    let admitted = (0..10).filter(|_| budget.admit(HERE, now)).count();
    assert_eq!(admitted, 3);
    assert!(budget.admit(THERE, now), "another place has its own");
    assert!(budget.admit(HERE, now + WINDOW), "a new window");
}

#[test]
fn take_left_out_counts_each_line_once() {
    let now = Instant::now();
    let mut budget = Budget::new(3, WINDOW);
    for _ in 0..10 {
        budget.admit(HERE, now);
    }
    budget.admit(THERE, now);
    let lines = LeftOut {
        place: HERE,
        lines: 7,
    };
    assert_eq!(budget.take_left_out(), [lines]);
    assert_eq!(budget.take_left_out(), []);
}
