use persimmon_shard::{Charts, JobEvent, JobState, WorkerEvent, WorkerState};

#[test]
fn charts_load() {
    let charts = Charts::load().expect("sound charts");
    assert_eq!(charts.job.initial(), JobState::Queued);
    assert_eq!(charts.worker.initial(), WorkerState::Listed);
}

#[test]
fn charts_job_ends_stay() {
    let charts = Charts::load().expect("sound charts");
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
fn charts_only_a_queued_job_is_placed() {
    let charts = Charts::load().expect("sound charts");
    assert_eq!(
        charts.job.try_step(JobState::Queued, JobEvent::Place),
        Some(JobState::Placed)
    );
    for state in [JobState::Placed, JobState::Cancelling, JobState::Unknown] {
        assert_eq!(charts.job.try_step(state, JobEvent::Place), None);
    }
}

#[test]
fn charts_a_leaving_worker_is_not_live() {
    let charts = Charts::load().expect("sound charts");
    let next = charts
        .worker
        .try_step(WorkerState::Leaving, WorkerEvent::Answer);
    assert_eq!(next, None);
}
