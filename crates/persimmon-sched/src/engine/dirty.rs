use super::Job;
use crate::JobId;
use std::collections::{HashMap, HashSet, VecDeque};

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

    /// Removes and returns the first `max` jobs that have no commit in flight. The others keep
    /// their place; jobs that are not in `jobs` any more are dropped.
    pub(super) fn take(&mut self, max: usize, jobs: &HashMap<JobId, Job>) -> Vec<JobId> {
        let mut taken = Vec::new();
        let mut in_flight = Vec::new();
        while taken.len() < max {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            match jobs.get(&id) {
                Some(job) if job.commit_in_flight => in_flight.push(id),
                job => {
                    self.queued.remove(&id);
                    taken.extend(job.map(|_| id));
                }
            }
        }
        in_flight
            .into_iter()
            .rev()
            .for_each(|id| self.queue.push_front(id));
        taken
    }
}
