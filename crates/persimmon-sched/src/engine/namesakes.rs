//! Jobs of different queues with the same number, whose tasks have the same names on runners.

use super::Engine;
use crate::{fleet::RunnerKey, JobId, Phase, Report, TaskId};
use std::{
    borrow::Cow,
    collections::{BTreeSet, HashMap},
};

/// Jobs whose number another queue had before, by number.
pub(super) type LaterJobs = HashMap<u64, BTreeSet<JobId>>;

impl Engine {
    /// Returns the phase of the job of a queue with this number, see [`Self::phase`].
    pub fn phase_of(&self, queue: &str, number: u64) -> Option<Phase> {
        let mut jobs = self.jobs_with_number(number);
        let own = jobs.find(|id| self.is_of_queue(*id, queue))?;
        self.phase(own)
    }

    /// Returns the queue that a job was submitted to; `None` for an unknown job, and for one that an
    /// earlier version of the owner ended.
    pub fn queue_of(&self, id: JobId) -> Option<&str> {
        let queue = self.jobs.get(&id)?.spec.queue.as_str();
        (!queue.is_empty()).then_some(queue)
    }

    fn is_of_queue(&self, id: JobId, queue: &str) -> bool {
        // Only one queue had the number when the queue was not stored with ended jobs.
        self.jobs.contains_key(&id) && self.queue_of(id).is_none_or(|it| it == queue)
    }

    /// Ids that a job with this number may have, the first one first.
    fn jobs_with_number(&self, number: u64) -> impl Iterator<Item = JobId> + '_ {
        let later = self.later_jobs.get(&number).into_iter().flatten();
        std::iter::once(JobId::new(number)).chain(later.copied())
    }

    /// Remembers a job that was added.
    pub(super) fn note_number(&mut self, id: JobId) {
        if id.is_later() {
            self.later_jobs.entry(id.number).or_default().insert(id);
        }
    }

    /// Forgets a job that was removed.
    pub(super) fn forget_number(&mut self, id: JobId) {
        if let Some(ids) = self.later_jobs.get_mut(&id.number) {
            ids.remove(&id);
            if ids.is_empty() {
                self.later_jobs.remove(&id.number);
            }
        }
    }

    /// Returns whether the number of the first job with it is kept, as there are later ones: their
    /// submissions depend on its key.
    pub(super) fn has_later_jobs(&self, id: JobId) -> bool {
        !id.is_later() && self.later_jobs.contains_key(&id.number)
    }

    /// Returns a report with the ids of the tasks in place of their names on the runner.
    pub(super) fn identify<'a>(&self, key: RunnerKey, report: &'a Report) -> Cow<'a, Report> {
        let is_shared = |task: &TaskId| self.later_jobs.contains_key(&task.job.number);
        let running = report.running.iter().map(|it| &it.task);
        let mut tasks = running.chain(report.ended.iter().map(|it| &it.task));
        if self.later_jobs.is_empty() || !tasks.any(is_shared) {
            return Cow::Borrowed(report);
        }
        let mut report = report.clone();
        for it in &mut report.running {
            it.task = self.task_on(key, it.task, it.run);
        }
        for it in &mut report.ended {
            it.task = self.task_on(key, it.task, it.run);
        }
        Cow::Owned(report)
    }

    /// The task that a runner calls by this name: the one with a claim there, else that of the job whose
    /// tasks run on its service.
    fn task_on(&self, key: RunnerKey, name: TaskId, run: u32) -> TaskId {
        let runner = self.runner(key);
        let ids: Vec<_> = self.jobs_with_number(name.job.number).collect();
        let task = |job: JobId| TaskId { job, ..name };
        let has_claim = |id: &&JobId| runner.claims.contains_key(&(task(**id), run));
        let runs_here = |id: &&JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.service == runner.info.service)
        };
        let found = ids.iter().find(has_claim);
        let found = found.or_else(|| ids.iter().find(runs_here));
        found.map_or(name, |&job| task(job))
    }

    /// Returns whether a job must wait for another one, whose tasks have the names of its own on the
    /// runners of its service. Such a job was refused as it was submitted, but queues may change their
    /// service.
    pub(super) fn waits_for_namesake(&self, id: JobId) -> bool {
        if self.later_jobs.is_empty() {
            return false;
        }
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let mut others = self.jobs_with_number(id.number).filter(|it| *it != id);
        others.any(|it| {
            let other = self.jobs.get(&it);
            let other = other.filter(|other| other.service == job.service);
            other.is_some_and(|other| other.has_claims() || (it < id && !other.phase.is_final()))
        })
    }
}
