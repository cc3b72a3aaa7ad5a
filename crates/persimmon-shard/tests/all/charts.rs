use persimmon_shard::{Charts, JobEvent, JobState, WorkerEvent, WorkerState};

#[test]
fn charts_load() {
    let charts = Charts::load().expect("valid charts");
    assert_eq!(charts.job.initial(), JobState::Queued);
    assert_eq!(charts.worker.initial(), WorkerState::Listed);
}

#[test]
fn charts_terminal_job_states_have_no_transitions() {
    let charts = Charts::load().expect("valid charts");
    let events = [
        JobEvent::Place,
        JobEvent::Complete,
        JobEvent::Evict,
        JobEvent::Retry,
        JobEvent::Fail,
        JobEvent::Lose,
        JobEvent::Doubt,
        JobEvent::Cancel,
        JobEvent::Stop,
    ];
    for state in [JobState::Done, JobState::Failed, JobState::Cancelled] {
        for event in events {
            assert_eq!(
                charts.job.try_step(state, event),
                None,
                "{state:?} {event:?}"
            );
        }
    }
}

#[test]
fn charts_only_queued_jobs_are_placed() {
    let charts = Charts::load().expect("valid charts");
    assert_eq!(
        charts.job.try_step(JobState::Queued, JobEvent::Place),
        Some(JobState::Placed)
    );
    for state in [JobState::Placed, JobState::Cancelling, JobState::Unknown] {
        assert_eq!(charts.job.try_step(state, JobEvent::Place), None);
    }
}

#[test]
fn charts_answer_does_not_make_leaving_worker_live() {
    let charts = Charts::load().expect("valid charts");
    let next = charts
        .worker
        .try_step(WorkerState::Leaving, WorkerEvent::Answer);
    assert_eq!(next, None);
}
