use crate::Job;
use std::collections::HashMap;

/// The failures of jobs and classes, by which the jobs are ordered that workers on probation are
/// tried with.
#[derive(Debug, Default)]
pub(super) struct FailureHistory {
    /// When a task of a class failed last, if none has completed since.
    classes: HashMap<String, u64>,
    /// When an attempt of a job failed last.
    jobs: HashMap<u64, u64>,
}

impl FailureHistory {
    pub(super) fn record_failure(&mut self, job: &Job, now_unix_ms: u64) {
        self.classes.insert(job.class.clone(), now_unix_ms);
        self.jobs.insert(job.number, now_unix_ms);
    }

    pub(super) fn record_success(&mut self, job: &Job) {
        self.classes.remove(&job.class);
    }

    /// Forgets a job that has ended.
    pub(super) fn forget(&mut self, number: u64) {
        self.jobs.remove(&number);
    }

    /// Returns when the job's class and the job itself failed last, 0 for never. Each failure moves
    /// them to the end of the order, so the others get their turn.
    pub(super) fn order(&self, job: &Job) -> (u64, u64) {
        let class_failed_unix_ms = self.classes.get(&job.class).copied();
        let job_failed_unix_ms = self.jobs.get(&job.number).copied();
        (
            class_failed_unix_ms.unwrap_or(0),
            job_failed_unix_ms.unwrap_or(0),
        )
    }
}
