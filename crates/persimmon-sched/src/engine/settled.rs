//! Jobs that have ended and have no runs left: nothing about them changes any more, so that the
//! store need only keep the phase that they ended in.

use super::{Engine, Job};
use crate::{JobId, JobSpec, Phase};
use std::{collections::VecDeque, sync::Arc, time::Instant};

impl Engine {
    /// Adds a job of which only the queue and the phase that it ended in are known; of one that an
    /// earlier version of the owner ended, the queue is not and is empty. Does nothing for a known job.
    pub fn add_ended_job(&mut self, id: JobId, queue: String, phase: Phase, now: Instant) {
        let spec = JobSpec {
            id,
            queue,
            payload: String::new(),
            submitted_at_ms: 0,
            steps: Vec::new(),
            schedule: None,
        };
        self.note_number(id);
        self.jobs.entry(id).or_insert_with(|| Job {
            spec: Arc::new(spec),
            service: String::new(),
            priority: 0,
            deadline_ms: 0,
            time_budget_ms: 0,
            attempts_max: 1,
            phase,
            has_run: false,
            is_refuted: false,
            tasks: Vec::new(),
            placed_batch_tasks: Vec::new(),
            done_steps: 0,
            committing: VecDeque::new(),
            version: 0,
            committed_version: 0,
            final_version: 0,
            commit_in_flight: false,
            store_revision: 0,
            finished_at: Some(now),
        });
    }

    /// Returns up to `max` jobs that have ended and have no runs left, each once, with the phases
    /// that they ended in. Their records are not written until [`Self::handle_settled`].
    pub fn take_settled_jobs(&mut self, max: usize) -> Vec<(JobId, Phase)> {
        let mut taken = Vec::new();
        while taken.len() < max {
            let Some(id) = self.settled.pop_front() else {
                break;
            };
            // A job that changed since is added again by its next commit.
            if let Some(job) = self.jobs.get_mut(&id).filter(|job| is_settled(job)) {
                job.commit_in_flight = true;
                taken.push((id, job.phase));
            }
        }
        taken
    }

    /// Handles that the store keeps only the phase of a settled job, or that it rejected that.
    pub fn handle_settled(&mut self, id: JobId, is_stored: bool) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.commit_in_flight = false;
        if is_stored {
            job.store_revision = 0;
        }
        if job.version > job.committed_version {
            self.dirty.insert(id);
        }
    }

    /// Remembers a job if it is settled.
    pub(super) fn remember_settled(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(is_settled) {
            self.settled.push_back(id);
        }
    }
}

/// Returns whether a job has ended, has no runs left and is committed as it is.
fn is_settled(job: &Job) -> bool {
    job.is_end_committed()
        && job.committed_version == job.version
        && !job.commit_in_flight
        && !job.has_claims()
}
