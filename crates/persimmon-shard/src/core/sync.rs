use super::{Core, SyncAnswer, SyncCall, SyncFailure, TaskCommand, TaskStatus, TaskView};
use crate::{Job, JobEvent, JobState, WorkerEvent, WorkerState};
use persimmon_place::FailureCause;
use persimmon_ticket::Rerun;
use std::time::{Duration, Instant};

impl Core {
    /// Returns the indices of the workers that are due to be called at `now`.
    pub fn due_workers(&self, now: Instant) -> Vec<usize> {
        let not_in_flight = |index: &usize| !self.workers[*index].in_flight;
        let callable = (0..self.workers.len()).filter(not_in_flight);
        callable.filter(|index| self.is_due(*index, now)).collect()
    }

    /// Returns the call to make to a worker. If the ownership is not valid now, or the worker's
    /// nonce is not known, the call renews no lease and carries no commands.
    pub fn begin_sync(&mut self, index: usize, ownership_valid: bool) -> SyncCall {
        let worker = &mut self.workers[index];
        worker.in_flight = true;
        let echo_nonce = if ownership_valid {
            worker.lease.echo_nonce()
        } else {
            None
        };
        let commands = if echo_nonce.is_some() {
            self.commands(index)
        } else {
            Vec::new()
        };
        let worker = &self.workers[index];
        SyncCall {
            worker: index,
            address: worker.spec.address.clone(),
            echo_nonce,
            commands,
        }
    }

    /// Handles the result of a call.
    pub fn end_sync(
        &mut self,
        index: usize,
        result: Result<SyncAnswer, SyncFailure>,
        now: Instant,
        now_unix_ms: u64,
    ) {
        let interval = self.options.sync_interval;
        let worker = &mut self.workers[index];
        worker.in_flight = false;
        worker.next_sync_at = now + interval;
        match result {
            Ok(answer) => {
                let silent_for = now.saturating_duration_since(worker.answered_at);
                worker.answered_at = now;
                worker.lease.record_nonce(answer.nonce, now);
                if worker.incarnation != Some(answer.incarnation) {
                    let heard_unix_ms = now_unix_ms.saturating_sub(silent_for.as_millis() as u64);
                    let current = answer.incarnation;
                    self.handle_restart(index, current, heard_unix_ms, now_unix_ms);
                }
                self.handle_answer(index, &answer, now, now_unix_ms);
            }
            Err(_) => worker.lease.forget_nonce(),
        }
    }

    /// Detects unresponsive workers and expired leases.
    pub fn tick(&mut self, now: Instant, now_unix_ms: u64) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            let silent_for = now.saturating_duration_since(worker.answered_at);
            if silent_for < self.options.silence_after {
                continue;
            }
            // `expires_at()` already assumes that a call in flight, which may still arrive, renews
            // the leases.
            let expired = now > worker.lease.expires_at();
            self.apply_worker_event(index, WorkerEvent::Silence);
            if expired {
                self.resolve_lost_attempts_of_worker(index, now_unix_ms);
            }
        }
        self.resolve_lost_attempts_on_unlisted_workers(now, now_unix_ms);
    }

    /// Resolves lost attempts that an earlier owner placed on workers that this owner never saw
    /// listed, once their leases have expired.
    ///
    /// This owner has not called these workers, and an earlier one echoed no nonce after
    /// `owned_since`, so the leases expire at most a term plus the drift allowance after it.
    fn resolve_lost_attempts_on_unlisted_workers(&mut self, now: Instant, now_unix_ms: u64) {
        let lease_term = self.options.lease_term;
        let expires_at = self.owned_since + lease_term + self.options.drift.allowance(lease_term);
        if now <= expires_at {
            return;
        }
        let is_unlisted = |job: &&Job| {
            let worker = job.worker.as_ref();
            job.is_held() && worker.is_some_and(|(id, _)| self.worker_index_of(id).is_none())
        };
        let lost: Vec<u64> = self
            .jobs
            .iter()
            .filter(is_unlisted)
            .map(|job| job.number)
            .collect();
        for number in lost {
            self.resolve_lost_attempt(number, now_unix_ms);
        }
    }

    fn is_due(&self, index: usize, now: Instant) -> bool {
        let worker = &self.workers[index];
        if worker.state == WorkerState::Gone && worker.held_jobs.is_empty() {
            return false;
        }
        let responsive =
            now.saturating_duration_since(worker.answered_at) < self.options.silence_after;
        worker.next_sync_at <= now || (responsive && !self.commands(index).is_empty())
    }

    fn commands(&self, index: usize) -> Vec<TaskCommand> {
        let worker = &self.workers[index];
        let mut commands = Vec::new();
        for &(number, attempt, running) in &worker.unneeded_attempts {
            commands.push(match running {
                true => TaskCommand::Stop { number, attempt },
                false => TaskCommand::Forget { number, attempt },
            });
        }
        let held = worker
            .held_jobs
            .iter()
            .filter_map(|number| self.jobs.try_find(*number));
        for job in held.filter(|job| !self.uncommitted.contains_key(&job.number)) {
            let reported = worker
                .reported_attempts
                .contains(&(job.number, job.attempt));
            commands.extend(self.command(job, reported, worker.incarnation));
        }
        commands
    }

    fn command(&self, job: &Job, reported: bool, incarnation: Option<u64>) -> Option<TaskCommand> {
        let (number, attempt) = (job.number, job.attempt);
        let same_process = job.worker.as_ref().map(|(_, placed)| *placed) == incarnation;
        match job.state {
            JobState::Placed if !reported && same_process => Some(TaskCommand::Start {
                number,
                attempt,
                class: job.class.clone(),
                size: job.size,
                run_time: job.run_time,
                checkpoint: job.checkpoint.clone(),
            }),
            JobState::Placed if reported && self.eviction_requests.contains(&number) => {
                Some(TaskCommand::Evict { number, attempt })
            }
            JobState::Placed if reported => {
                let percent = *self.throttle_requests.get(&number)?;
                Some(TaskCommand::Throttle {
                    number,
                    attempt,
                    percent,
                })
            }
            // Sent even if the start was not confirmed, since the start may still arrive.
            JobState::Cancelling => Some(TaskCommand::Stop { number, attempt }),
            _ => None,
        }
    }

    fn handle_answer(&mut self, index: usize, answer: &SyncAnswer, now: Instant, now_unix_ms: u64) {
        self.apply_worker_event(index, WorkerEvent::Answer);
        self.reserve_overuse(index, answer);
        let worker = &mut self.workers[index];
        worker.reported_attempts = answer
            .tasks
            .iter()
            .map(|task| (task.number, task.attempt))
            .collect();
        worker.unneeded_attempts.clear();
        for task in &answer.tasks {
            self.handle_report(index, task, now, now_unix_ms);
        }
        if !self.commands(index).is_empty() {
            self.workers[index].next_sync_at = now + COMMAND_DELAY;
        }
        let next_completion_in = self.time_to_next_completion(index, now_unix_ms);
        let worker = &mut self.workers[index];
        worker.next_sync_at = worker.next_sync_at.min(now + next_completion_in);
    }

    /// Returns the time until the next task of a worker should complete, or until an overdue task
    /// is polled again.
    fn time_to_next_completion(&self, index: usize, now_unix_ms: u64) -> Duration {
        let held = self.workers[index].held_jobs.iter();
        let delays = held
            .filter_map(|number| self.jobs.try_find(*number))
            .map(|job| {
                let ran_ms = now_unix_ms.saturating_sub(job.placed_unix_ms);
                let left_ms = self.expected_run_time_ms(job).saturating_sub(ran_ms);
                // The polling interval of an overdue task grows with its run time.
                let overdue_ms = ran_ms / OVERDUE_POLL_DIVISOR;
                Duration::from_millis(if left_ms > 0 { left_ms } else { overdue_ms })
            });
        delays
            .min()
            .unwrap_or(self.options.sync_interval)
            .max(COMPLETION_POLL_MIN_DELAY)
    }

    /// Reserves the processors and memory that tasks use beyond their claims, so that they can't be
    /// claimed; accelerators are not reserved.
    fn reserve_overuse(&mut self, index: usize, answer: &SyncAnswer) {
        let key = self.workers[index].key;
        let overuse = answer.used.saturating_sub(self.ledger.claimed(key));
        self.ledger.set_reserve(
            key,
            persimmon_types::Size {
                accelerators: 0,
                ..overuse
            },
        );
    }

    fn handle_report(&mut self, index: usize, task: &TaskView, now: Instant, now_unix_ms: u64) {
        let number = task.number;
        let worker = &self.workers[index];
        let current = self.jobs.try_find(number).is_some_and(|job| {
            let this_worker = (
                worker.spec.id.as_str(),
                worker.incarnation.unwrap_or_default(),
            );
            let placed = job
                .worker
                .as_ref()
                .map(|(id, incarnation)| (id.as_str(), *incarnation));
            // The report of an attempt that has ended is repeated until it may be dropped.
            let open = job.is_held() || job.state == JobState::Unknown;
            open && job.attempt == task.attempt && placed == Some(this_worker)
        });
        if current {
            self.handle_current_attempt(index, task, now, now_unix_ms);
        }
        self.record_unneeded_attempt(index, task);
    }

    fn handle_current_attempt(
        &mut self,
        index: usize,
        task: &TaskView,
        now: Instant,
        now_unix_ms: u64,
    ) {
        let number = task.number;
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let key = self.workers[index].key;
        let state = job.state;
        match task.status {
            TaskStatus::Running => {}
            TaskStatus::Done => {
                self.health.record_success(key);
                self.failures.record_success(job);
                self.record_run_time(number, now_unix_ms);
                self.append_step(number, JobEvent::Complete, now_unix_ms, None, false);
            }
            TaskStatus::Failed if state == JobState::Cancelling => {
                self.append_step(number, JobEvent::Stop, now_unix_ms, None, false);
            }
            TaskStatus::Failed => self.handle_failure(index, task, now, now_unix_ms),
            TaskStatus::Stopped | TaskStatus::Lapsed if state == JobState::Cancelling => {
                self.append_step(number, JobEvent::Stop, now_unix_ms, None, false);
            }
            TaskStatus::Stopped | TaskStatus::Lapsed => {
                self.handle_stop(number, task.checkpoint.clone(), now_unix_ms);
            }
        }
    }

    /// Handles a confirmed stop, after which the next attempt resumes from the checkpoint.
    fn handle_stop(&mut self, number: u64, checkpoint: Option<String>, now_unix_ms: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        // Without a checkpoint it is unknown how much ran, so only idempotent work may be rerun.
        let resumable =
            checkpoint.is_some() || job.checkpoint.is_some() || job.rerun == Rerun::Safe;
        let event = if resumable {
            JobEvent::Evict
        } else {
            JobEvent::Doubt
        };
        self.append_step(number, event, now_unix_ms, checkpoint, false);
    }

    fn handle_failure(&mut self, index: usize, task: &TaskView, now: Instant, now_unix_ms: u64) {
        let (key, number) = (self.workers[index].key, task.number);
        // `health` is kept per shard and only tells jobs apart, so any shard index will do.
        let id = persimmon_types::JobId { shard: 0, number };
        let cause = self.health.record_failure(key, id, now);
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        // A job that fails on all workers must not be tried again without an end.
        let late = now_unix_ms > job.deadline_unix_ms;
        let counts = cause == FailureCause::Job || late;
        self.failures.record_failure(job, now_unix_ms);
        let failures = job.failures + u32::from(counts);
        let last = failures >= job.attempts_max || job.state == JobState::Unknown;
        let event = if last {
            JobEvent::Fail
        } else {
            JobEvent::Retry
        };
        self.append_step(number, event, now_unix_ms, task.checkpoint.clone(), counts);
    }

    /// Schedules a `Stop` for a reported attempt that still runs but is no longer needed, or a
    /// `Forget` for one that has ended, once all entries of its job are committed.
    ///
    /// The report of an ended attempt is kept while it is the current one of a job in state
    /// `Unknown`.
    fn record_unneeded_attempt(&mut self, index: usize, task: &TaskView) {
        let running = task.status == TaskStatus::Running;
        let job = self.jobs.try_find(task.number);
        let needed = job.is_some_and(|job| {
            let this_worker = job.worker.as_ref().map(|(id, _)| id.as_str());
            job.is_held()
                && job.attempt == task.attempt
                && this_worker == Some(self.workers[index].spec.id.as_str())
        });
        // Whether all entries of the job are in the store. A report must not be dropped before
        // those that it caused are.
        let committed = !self.uncommitted.contains_key(&task.number);
        let outcome_unknown = job.is_some_and(|job| {
            job.state == JobState::Unknown && job.attempt == task.attempt && !running
        });
        if !needed && committed && !outcome_unknown {
            // As (job, attempt, running).
            self.workers[index]
                .unneeded_attempts
                .push((task.number, task.attempt, running));
        } else if !needed && !committed {
            // Poll again soon: the report can be dropped once the commit is confirmed.
            let worker = &mut self.workers[index];
            worker.next_sync_at = worker
                .next_sync_at
                .min(worker.answered_at + COMMIT_POLL_DELAY);
        }
    }

    /// Handles the first answer of a worker's process: the attempts of earlier ones are lost. One that
    /// was the only new one when the worker was last heard, at `heard_unix_ms`, counts as failed, since
    /// it may crash each worker that it starts on.
    fn handle_restart(&mut self, index: usize, current: u64, heard_unix_ms: u64, now_unix_ms: u64) {
        self.workers[index].incarnation = Some(current);
        let earlier = |number: &u64| {
            let job = self.jobs.try_find(*number);
            let placed =
                job.and_then(|job| job.worker.as_ref().map(|(_, incarnation)| *incarnation));
            placed.is_some_and(|placed| placed != current)
        };
        let lost: Vec<u64> = self.workers[index]
            .held_jobs
            .iter()
            .copied()
            .filter(earlier)
            .collect();
        let is_new = |number: &u64| {
            let job = self.jobs.try_find(*number);
            job.is_some_and(|job| heard_unix_ms < job.placed_unix_ms + NEW_ATTEMPT_AGE_MAX_MS)
        };
        let new: Vec<_> = lost.iter().copied().filter(is_new).collect();
        for number in lost {
            if new == [number] {
                self.fail_lost_attempt(number, now_unix_ms);
            } else {
                self.resolve_lost_attempt(number, now_unix_ms);
            }
        }
    }

    /// Handles the loss of an attempt that may have crashed its worker.
    fn fail_lost_attempt(&mut self, number: u64, now_unix_ms: u64) {
        let job = self.jobs.try_find(number);
        let Some(job) = job.filter(|job| job.state == JobState::Placed && job.rerun == Rerun::Safe)
        else {
            self.resolve_lost_attempt(number, now_unix_ms);
            return;
        };
        let event = if job.failures + 1 >= job.attempts_max.max(CRASHES_MIN) {
            JobEvent::Fail
        } else {
            JobEvent::Lose
        };
        self.append_step(number, event, now_unix_ms, None, true);
    }

    fn resolve_lost_attempts_of_worker(&mut self, index: usize, now_unix_ms: u64) {
        let held: Vec<u64> = self.workers[index].held_jobs.iter().copied().collect();
        for number in held {
            self.resolve_lost_attempt(number, now_unix_ms);
        }
    }

    /// Handles the loss of an attempt that no longer runs and whose outcome was not reported.
    fn resolve_lost_attempt(&mut self, number: u64, now_unix_ms: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let event = match (job.state, job.rerun) {
            (JobState::Cancelling, _) => JobEvent::Stop,
            (_, Rerun::Safe) => JobEvent::Lose,
            (_, Rerun::Never) => JobEvent::Doubt,
        };
        self.append_step(number, event, now_unix_ms, None, false);
    }
}

/// A job is not given up for fewer lost attempts: its worker may have restarted by itself.
const CRASHES_MIN: u32 = 2;
/// An attempt counts as new for this time after its placement, which the calls to the worker take part
/// of.
const NEW_ATTEMPT_AGE_MAX_MS: u64 = 2_000;
/// The delay before a call that carries commands, so that several commands share a call.
const COMMAND_DELAY: Duration = Duration::from_millis(5);
/// The minimum delay before a call that polls for completed tasks.
const COMPLETION_POLL_MIN_DELAY: Duration = Duration::from_millis(100);
/// An overdue task is polled again after its run time so far, divided by this.
const OVERDUE_POLL_DIVISOR: u64 = 8;
/// The delay from an answer to the next call if a report waits for a commit before it is dropped.
const COMMIT_POLL_DELAY: Duration = Duration::from_millis(250);
