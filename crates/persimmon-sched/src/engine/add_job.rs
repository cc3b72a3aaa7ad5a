//! Adds jobs, restores them from their records, and opens their occurrences and steps.

use super::{Engine, Job, Stage, State, Step, StoredRecord, Task};
use crate::{fleet::Claim, JobId, JobSpec, Phase, Queue, Record, TaskId, TaskRecord, TaskState};
use std::{collections::VecDeque, sync::Arc, time::Instant};

impl Engine {
    /// Adds a job, restored from its record if there is one. Does nothing for a known job.
    pub fn add_job(
        &mut self,
        spec: JobSpec,
        stored: Option<StoredRecord>,
        wall_ms: u64,
        now: Instant,
    ) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        // An earlier version may have accepted it; one owner after another would end from it.
        if let Err(err) = spec.check() {
            log::error!("event=job.invalid job={} fault=\"{err}\"", spec.id);
            self.add_ended_job(spec.id, spec.queue, Phase::Failed, now);
            return;
        }
        let accepted_queue = self.accepted_queues.get(&spec.queue);
        let queue = self.policy.queue(&spec.queue).or(accepted_queue).cloned();
        let queue = queue.unwrap_or_else(|| {
            log::error!(
                "event=job.queue_unknown job={} queue={}",
                spec.id,
                spec.queue
            );
            Queue::default()
        });
        let critical_path_ms = self.durations.critical_path_ms(&spec);
        let time_budget_ms = (critical_path_ms * queue.stretch.max(1.0)) as u64 + queue.target_ms;
        let id = spec.id;
        let mut job = Job {
            service: queue.service,
            priority: queue.priority,
            deadline_ms: spec.submitted_at_ms + time_budget_ms,
            time_budget_ms,
            attempts_max: queue.attempts_max.max(1),
            phase: Phase::Queued,
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
            finished_at: None,
            spec: Arc::new(spec),
        };
        if let Some(stored) = stored {
            job.store_revision = stored.revision;
            job.phase = stored.record.phase;
            job.has_run = proves_run(&stored.record);
            job.finished_at = job.phase.is_final().then_some(now);
            self.restore(&mut job, &stored.record, now);
        }
        let is_final = job.phase.is_final();
        self.jobs.insert(id, job);
        self.note_number(id);
        if is_final {
            // An earlier owner may have ended the job without stopping its runs.
            for task in self.task_ids(id) {
                self.end_run(task, now);
            }
            self.remember_settled(id);
        }
        self.stop_incomplete_gangs(id, now);
        if self.cancelled_before_submission.remove(&id) {
            self.cancel(id, now);
        }
        let restored = self.jobs.get(&id).map_or(0, |job| job.tasks.len());
        for occurrence in 0..restored {
            self.open_steps(id, occurrence as u32);
        }
        self.open_occurrences(id, wall_ms);
    }

    fn restore(&mut self, job: &mut Job, record: &Record, now: Instant) {
        let spec = Arc::clone(&job.spec);
        for (occurrence, steps) in record.tasks.iter().enumerate() {
            let mut restored = Vec::with_capacity(steps.len());
            for (step, tasks) in steps.iter().enumerate() {
                let mut into = Step::new(0);
                for (index, task) in tasks.iter().enumerate() {
                    let id = TaskId {
                        job: spec.id,
                        occurrence: occurrence as u32,
                        step: step as u16,
                        index: index as u16,
                    };
                    into.done += u32::from(task.state == TaskState::Done);
                    let state = self.restore_task(&spec, id, task, record, now);
                    into.tasks.push(Task::restored(state, task));
                }
                restored.push(into);
            }
            job.add_occurrence(restored);
        }
    }

    fn restore_task(
        &mut self,
        spec: &JobSpec,
        id: TaskId,
        task: &TaskRecord,
        record: &Record,
        now: Instant,
    ) -> State {
        let Some(runner) = record.runner(task.state) else {
            return if task.state == TaskState::Done {
                State::Done
            } else {
                State::Waiting { not_before: None }
            };
        };
        let key = self.runner_key(runner);
        let claim = Claim {
            percent: None,
            ..self.claim_of_step(&spec.steps[usize::from(id.step)], now)
        };
        let runner = self.runner_mut(key);
        runner.claim(id, task.run, claim);
        if let Some(silent) = &task.crashes.silent_runner {
            runner.restore_silence(silent, (id, task.run));
        }
        State::Placed {
            runner: key,
            stage: Stage::Restored,
        }
    }

    /// Opens the occurrences that are due and sets a timer for the next one.
    pub(super) fn open_occurrences(&mut self, id: JobId, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let spec = Arc::clone(&job.spec);
        let known = job.tasks.len();
        while (job.tasks.len() as u32) < spec.occurrences() {
            let next = job.tasks.len() as u32;
            let due_ms = spec.schedule.map_or(0, |schedule| {
                schedule.first_at_ms + u64::from(next) * schedule.interval_ms
            });
            if due_ms > wall_ms {
                self.timers.insert((due_ms, id, next));
                break;
            }
            let steps = spec.steps.iter();
            job.add_occurrence(steps.map(|it| Step::new(it.count as usize)).collect());
        }
        for occurrence in known..job.tasks.len() {
            self.open_steps(id, occurrence as u32);
        }
    }

    /// Opens the steps of an occurrence whose dependencies are done.
    pub(super) fn open_steps(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let mut opened = Vec::new();
        for at in 0..job.spec.steps.len() {
            let steps = &mut job.tasks[occurrence as usize];
            let after = &job.spec.steps[at].after;
            let is_done = |&it: &u16| steps[usize::from(it)].is_done();
            if steps[at].open || !after.iter().all(is_done) {
                continue;
            }
            steps[at].open = true;
            for index in 0..steps[at].tasks.len() {
                opened.push(TaskId {
                    job: id,
                    occurrence,
                    step: at as u16,
                    index: index as u16,
                });
            }
        }
        for task in opened {
            self.update_ready(task);
        }
    }
}

/// Returns whether a record proves that a task has run; a placed task may not have started.
fn proves_run(record: &Record) -> bool {
    let mut tasks = record.tasks.iter().flatten().flatten();
    tasks.any(|task| {
        task.state == TaskState::Done || task.failures > 0 || !task.checkpoint.is_empty()
    })
}
