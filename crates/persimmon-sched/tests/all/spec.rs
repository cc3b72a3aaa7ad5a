use crate::support::{job, step, TestEngine};
use persimmon_sched::{JobId, JobSpec, Phase, Schedule, SpecError, StepSpec};

fn repeated(count: u32, first_at_ms: u64, interval_ms: u64) -> JobSpec {
    JobSpec {
        schedule: Some(Schedule {
            first_at_ms,
            interval_ms,
            count,
        }),
        ..job(1, vec![step(4)])
    }
}

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

#[test]
fn check_rejects_more_tasks_than_an_owner_can_carry() {
    assert_eq!(job(1, vec![step(10_000); 4]).check(), Ok(()));
    let steps = job(1, vec![step(10_000); 1_000]).check();
    assert_eq!(steps, Err(SpecError::JobTasks { tasks: 10_000_000 }));
    assert_eq!(repeated(10_000, 0, 1_000).check(), Ok(()));
    let tasks = 4 * u64::from(u32::MAX);
    let occurrences = repeated(u32::MAX, 0, 0).check();
    assert_eq!(occurrences, Err(SpecError::JobTasks { tasks }));
}

#[test]
fn check_rejects_due_times_out_of_range() {
    assert_eq!(repeated(2, 1, u64::MAX - 1).check(), Ok(()));
    let err = Err(SpecError::Schedule { count: 2 });
    assert_eq!(repeated(2, 2, u64::MAX - 1).check(), err);
    let err = Err(SpecError::Schedule { count: 3 });
    assert_eq!(repeated(3, 0, u64::MAX / 2 + 1).check(), err);
}

/// An earlier version may have accepted it.
#[test]
fn stored_job_with_too_many_occurrences_does_not_end_its_owners() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(repeated(u32::MAX, 0, 0));
    harness.submit(job(2, vec![step(1)]));
    assert_eq!(harness.round().len(), 1);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Failed));
}
