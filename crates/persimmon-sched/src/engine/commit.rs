use super::{Commit, Engine, Job, Order, Stage, State, Task};
use crate::{
    fleet::{KEPT_BACK_ENDS_MAX, NEVER_COMMITTED},
    JobId, Record, SilentRunner, TaskCrashes, TaskRecord, TaskState,
};
use std::{collections::HashMap, sync::Arc};

impl Engine {
    /// Returns up to `max` records to write to the store, oldest change first and at most one in
    /// flight for each job.
    pub fn take_commits(&mut self, max: usize) -> Vec<Commit> {
        let ids = self.dirty.take(max, &self.jobs);
        let mut commits = Vec::with_capacity(ids.len());
        for id in ids {
            let record = self.record(id);
            if let (Some(job), Some(record)) = (self.jobs.get_mut(&id), record) {
                job.commit_in_flight = true;
                commits.push(Commit {
                    job: id,
                    version: job.version,
                    revision: job.store_revision,
                    record,
                });
            }
        }
        commits
    }

    /// Returns the write to make in place of one that the store rejected: that of the job as it is
    /// now, which may have ended since.
    pub fn renew_commit(&mut self, rejected: Commit) -> Commit {
        let id = rejected.job;
        let (Some(job), Some(record)) = (self.jobs.get(&id), self.record(id)) else {
            return rejected;
        };
        self.dirty.retain(|it| it != id);
        Commit {
            version: job.version,
            record,
            ..rejected
        }
    }

    fn record(&self, id: JobId) -> Option<Record> {
        let job = self.jobs.get(&id)?;
        let mut runners = Vec::new();
        let mut indexes = HashMap::new();
        let mut write = |task: &Task| {
            let state = match task.state() {
                State::Waiting { .. } => TaskState::Waiting,
                State::Done => TaskState::Done,
                State::Placed { runner, .. } => {
                    let at = *indexes.entry(runner).or_insert_with(|| {
                        runners.push(self.runner(runner).info.id.clone());
                        runners.len() - 1
                    });
                    TaskState::Placed(at as u16)
                }
            };
            TaskRecord {
                state,
                run: task.run,
                failures: task.failures,
                crashes: self.crashes_of(task),
                checkpoint: task.checkpoint.clone(),
            }
        };
        let mut tasks = Vec::with_capacity(job.tasks.len());
        for occurrence in &job.tasks {
            let steps = occurrence.iter();
            tasks.push(
                steps
                    .map(|step| step.tasks.iter().map(&mut write).collect())
                    .collect(),
            );
        }
        Some(Record {
            phase: job.phase,
            runners,
            tasks,
        })
    }

    /// What is known of crashes that a task may be the cause of.
    fn crashes_of(&self, task: &Task) -> TaskCrashes {
        let silent_runner = match task.state() {
            State::Placed { runner, .. } if task.new_when_silent == Some(task.run) => {
                let runner = self.runner(runner);
                runner.incarnation_ms.map(|incarnation_ms| SilentRunner {
                    address: runner.info.address.clone(),
                    incarnation_ms,
                })
            }
            State::Placed { .. } | State::Waiting { .. } | State::Done => None,
        };
        TaskCrashes {
            weight: task.crash_weight,
            silent_runner,
        }
    }

    /// Handles the commit of a record and orders the starts that waited for it.
    pub fn handle_commit(&mut self, id: JobId, version: u64, revision: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.commit_in_flight = false;
        job.store_revision = revision;
        job.committed_version = version;
        if job.version > version {
            self.dirty.insert(id);
        }
        while let Some(task) = self.next_committed(id, version) {
            self.order_start(task, version);
        }
        self.acknowledge();
        self.remember_settled(id);
    }

    /// Takes the next task of a job that waited for this version.
    fn next_committed(&mut self, id: JobId, version: u64) -> Option<crate::TaskId> {
        let committing = &mut self.jobs.get_mut(&id)?.committing;
        committing.front().filter(|it| it.0 <= version)?;
        committing.pop_front().map(|it| it.1)
    }

    fn order_start(&mut self, id: crate::TaskId, version: u64) {
        let Some(task) = self.task(id) else {
            return;
        };
        let State::Placed {
            runner,
            stage: Stage::Committing(needed),
        } = task.state()
        else {
            return;
        };
        if needed > version {
            return;
        }
        let (run, checkpoint) = (task.run, task.checkpoint.clone());
        self.set_stage(
            id,
            Stage::Ordered {
                answer_due_at: None,
            },
        );
        let it = self.runner(runner);
        let order = Order::Start {
            runner: it.info.id.clone(),
            task: id,
            run,
            job: Arc::clone(&self.jobs[&id.job].spec),
            checkpoint,
        };
        self.orders.push(order);
    }

    /// Acknowledges the ended runs of each runner up to, but not including, the first one that is
    /// not committed yet. One that is kept back for good gives way once too many wait behind it.
    pub(super) fn acknowledge(&mut self) {
        let jobs = &self.jobs;
        for runner in &mut self.runners {
            while let Some(&end) = runner.pending_ends.front() {
                let gives_way = end.version == NEVER_COMMITTED
                    && runner.pending_ends.len() > KEPT_BACK_ENDS_MAX;
                let committed = |job: &Job| gives_way || job.committed_version >= end.version;
                if !jobs.get(&end.job).is_none_or(committed) {
                    break;
                }
                runner.acknowledged = end.number;
                runner.pending_ends.pop_front();
            }
        }
    }
}
