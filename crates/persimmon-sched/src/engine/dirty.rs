use super::Job;
use crate::JobId;
use std::collections::{HashMap, HashSet, VecDeque};

/// Tasks of the jobs in a commit from which on no other job is added: a record holds all tasks of its
/// job, and the largest of several would take long to make.
const TASKS_MAX: usize = 10_000;

/// Jobs whose changes are not part of a commit yet, ordered by the oldest such change.
#[derive(Debug, Default)]
pub(super) struct DirtyJobs {
    queue: VecDeque<JobId>,
    queued: HashSet<JobId>,
}

impl DirtyJobs {
    /// Adds a job; one that is queued already keeps its place.
    pub(super) fn insert(&mut self, id: JobId) {
        if self.queued.insert(id) {
            self.queue.push_back(id);
        }
    }

    /// Removes the jobs for which `keep` returns `false`.
    pub(super) fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.queue.retain(|&id| keep(id));
        self.queued.retain(|&id| keep(id));
    }

    /// Removes and returns the first `max` jobs that have no commit in flight, fewer if they have
    /// [`TASKS_MAX`] tasks. The others keep their place.
    pub(super) fn take(&mut self, max: usize, jobs: &HashMap<JobId, Job>) -> Vec<JobId> {
        let mut taken = Vec::new();
        let mut in_flight = Vec::new();
        let mut tasks = 0;
        while taken.len() < max && tasks < TASKS_MAX {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            if jobs.get(&id).is_some_and(|job| job.commit_in_flight) {
                in_flight.push(id);
            } else {
                self.queued.remove(&id);
                tasks += jobs.get(&id).map_or(0, Job::task_count);
                taken.push(id);
            }
        }
        in_flight
            .into_iter()
            .rev()
            .for_each(|id| self.queue.push_front(id));
        taken
    }
}
