use crate::support::{job, step};
use persimmon_sched::{SpecError, StepSpec};

#[test]
fn check_rejects_sizes_out_of_range() {
    assert_eq!(job(1, vec![step(2)]).check(), Ok(()));
    assert_eq!(job(1, vec![]).check(), Err(SpecError::Steps { steps: 0 }));
    let empty = SpecError::Tasks { step: 0, count: 0 };
    assert_eq!(job(1, vec![step(0)]).check(), Err(empty));
    let mut long = job(1, vec![step(1)]);
    long.payload = "x".repeat(4_001);
    assert_eq!(long.check(), Err(SpecError::Payload { bytes: 4_001 }));
}

#[test]
fn check_rejects_dependency_on_later_step() {
    let after = |after| StepSpec {
        after: vec![after],
        ..step(1)
    };
    assert_eq!(job(1, vec![step(1), after(0)]).check(), Ok(()));
    let own = SpecError::After { step: 0, after: 0 };
    assert_eq!(job(1, vec![after(0)]).check(), Err(own));
    let late = SpecError::After { step: 0, after: 1 };
    assert_eq!(job(1, vec![after(1), step(1)]).check(), Err(late));
}
