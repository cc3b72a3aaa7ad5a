use super::{Core, SyncAnswer, SyncCall, SyncFailure, TaskCommand, TaskStatus, TaskView};
use crate::{Job, JobEvent, JobState, WorkerEvent, WorkerState};
use persimmon_place::FailureCause;
use persimmon_ticket::Rerun;
use std::time::{Duration, Instant};

impl Core {
    /// Workers that are due a call at `now`.
    pub fn due_workers(&self, now: Instant) -> Vec<usize> {
        let open = |position: &usize| !self.workers[*position].in_flight;
        let positions = (0..self.workers.len()).filter(open);
        positions
            .filter(|position| self.is_due(*position, now))
            .collect()
    }

    /// Makes up the call to a worker. `valid` tells whether ownership is valid at this moment;
    /// without it nothing is renewed and nothing commanded.
    pub fn begin_sync(&mut self, position: usize, valid: bool) -> SyncCall {
        let worker = &mut self.workers[position];
        worker.in_flight = true;
        let echo_nonce = if valid {
            worker.lease.echo_nonce()
        } else {
            None
        };
        let commands = if echo_nonce.is_some() {
            self.commands(position)
        } else {
            Vec::new()
        };
        let worker = &self.workers[position];
        SyncCall {
            worker: position,
            address: worker.spec.address.clone(),
            echo_nonce,
            commands,
        }
    }

    /// Takes in what became of a call.
    pub fn end_sync(
        &mut self,
        position: usize,
        result: Result<SyncAnswer, SyncFailure>,
        now: Instant,
        now_unix_ms: u64,
    ) {
        let interval = self.options.sync_interval;
        let worker = &mut self.workers[position];
        worker.in_flight = false;
        worker.next_sync = now + interval;
        match result {
            Ok(answer) => {
                worker.answered_at = now;
                worker.lease.record_nonce(answer.nonce, now);
                self.take_answer(position, &answer, now, now_unix_ms);
            }
            Err(_) => worker.lease.forget_nonce(),
        }
    }

    /// Notices silent workers and lapsed leases.
    pub fn tick(&mut self, now: Instant, now_unix_ms: u64) {
        for position in 0..self.workers.len() {
            let worker = &self.workers[position];
            let silent = now.saturating_duration_since(worker.answered_at);
            if silent < self.options.silence_after {
                continue;
            }
            // A call in flight may still renew, but its echo is in the bound already.
            let lapsed = now > worker.lease.expires_at();
            self.step_worker(position, WorkerEvent::Silence);
            if lapsed {
                self.lose_all(position, now_unix_ms);
            }
        }
        self.lose_unlisted(now, now_unix_ms);
    }

    /// Tasks placed on workers that the list no longer knows, after a takeover.
    fn lose_unlisted(&mut self, now: Instant, now_unix_ms: u64) {
        let term = self.options.lease_term;
        let lapses_at = self.owned_since + term + self.options.drift.allowance(term);
        if now <= lapses_at {
            return;
        }
        let unlisted = |job: &&Job| {
            let worker = job.worker.as_ref();
            job.is_held() && worker.is_some_and(|(id, _)| self.find_worker(id).is_none())
        };
        let lost: Vec<u64> = self
            .jobs
            .iter()
            .filter(unlisted)
            .map(|job| job.number)
            .collect();
        for number in lost {
            self.lose(number, now_unix_ms);
        }
    }

    fn is_due(&self, position: usize, now: Instant) -> bool {
        let worker = &self.workers[position];
        if worker.state == WorkerState::Gone && worker.held.is_empty() {
            return false;
        }
        let answers =
            now.saturating_duration_since(worker.answered_at) < self.options.silence_after;
        worker.next_sync <= now || (answers && !self.commands(position).is_empty())
    }

    fn commands(&self, position: usize) -> Vec<TaskCommand> {
        let worker = &self.workers[position];
        let mut commands = Vec::new();
        for &(number, attempt, running) in &worker.strays {
            commands.push(match running {
                true => TaskCommand::Stop { number, attempt },
                false => TaskCommand::Forget { number, attempt },
            });
        }
        let held = worker
            .held
            .iter()
            .filter_map(|number| self.jobs.try_find(*number));
        for job in held.filter(|job| !self.uncommitted.contains_key(&job.number)) {
            let reported = worker.reported.contains(&(job.number, job.attempt));
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
            JobState::Placed if reported && self.evict_wanted.contains(&number) => {
                Some(TaskCommand::Evict { number, attempt })
            }
            JobState::Placed if reported => {
                let percent = *self.throttle_wanted.get(&number)?;
                Some(TaskCommand::Throttle {
                    number,
                    attempt,
                    percent,
                })
            }
            // Sent even when the start was never confirmed, since it may still arrive.
            JobState::Cancelling => Some(TaskCommand::Stop { number, attempt }),
            _ => None,
        }
    }

    fn take_answer(
        &mut self,
        position: usize,
        answer: &SyncAnswer,
        now: Instant,
        now_unix_ms: u64,
    ) {
        let restarted = self.workers[position].incarnation != Some(answer.incarnation);
        self.workers[position].incarnation = Some(answer.incarnation);
        self.step_worker(position, WorkerEvent::Answer);
        if restarted {
            self.lose_earlier_incarnations(position, answer.incarnation, now_unix_ms);
        }
        self.reserve_overuse(position, answer);
        let worker = &mut self.workers[position];
        worker.reported = answer
            .tasks
            .iter()
            .map(|task| (task.number, task.attempt))
            .collect();
        worker.strays.clear();
        for task in &answer.tasks {
            self.take_report(position, task, now, now_unix_ms);
        }
        if !self.commands(position).is_empty() {
            self.workers[position].next_sync = now + COMMAND_PAUSE;
        }
        let ends_in = self.soonest_end(position, now_unix_ms);
        let worker = &mut self.workers[position];
        worker.next_sync = worker.next_sync.min(now + ends_in);
    }

    /// When the worker's next task should be complete, or be looked at again when it is overdue.
    fn soonest_end(&self, position: usize, now_unix_ms: u64) -> Duration {
        let held = self.workers[position].held.iter();
        let ends = held
            .filter_map(|number| self.jobs.try_find(*number))
            .map(|job| {
                let ran_ms = now_unix_ms.saturating_sub(job.placed_unix_ms);
                let left_ms = self.mean_ms(job).saturating_sub(ran_ms);
                // One that is late is looked at more and more seldom.
                let overdue_ms = ran_ms / OVERDUE_PART;
                Duration::from_millis(if left_ms > 0 { left_ms } else { overdue_ms })
            });
        ends.min()
            .unwrap_or(self.options.sync_interval)
            .max(END_PAUSE)
    }

    /// Keeps what tasks use beyond their claims free of new claims.
    fn reserve_overuse(&mut self, position: usize, answer: &SyncAnswer) {
        let key = self.workers[position].key;
        let overuse = answer.used.saturating_sub(self.ledger.claimed(key));
        self.ledger.set_reserve(
            key,
            persimmon_types::Size {
                accelerators: 0,
                ..overuse
            },
        );
    }

    fn take_report(&mut self, position: usize, task: &TaskView, now: Instant, now_unix_ms: u64) {
        let number = task.number;
        let worker = &self.workers[position];
        let current = self.jobs.try_find(number).is_some_and(|job| {
            let here = (
                worker.spec.id.as_str(),
                worker.incarnation.unwrap_or_default(),
            );
            let placed = job
                .worker
                .as_ref()
                .map(|(id, incarnation)| (id.as_str(), *incarnation));
            job.attempt == task.attempt && placed == Some(here) && !job.is_ended()
        });
        if current {
            self.take_current(position, task, now, now_unix_ms);
        }
        self.note_stray(position, task);
    }

    fn take_current(&mut self, position: usize, task: &TaskView, now: Instant, now_unix_ms: u64) {
        let number = task.number;
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let key = self.workers[position].key;
        let state = job.state;
        match task.status {
            TaskStatus::Running => {}
            TaskStatus::Done => {
                self.health.record_success(key);
                self.learn_run_time(number, now_unix_ms);
                self.step(number, JobEvent::Complete, now_unix_ms, None, false);
            }
            TaskStatus::Failed if state == JobState::Cancelling => {
                self.step(number, JobEvent::Stop, now_unix_ms, None, false);
            }
            TaskStatus::Failed => self.take_failure(position, task, now, now_unix_ms),
            TaskStatus::Stopped | TaskStatus::Lapsed if state == JobState::Cancelling => {
                self.step(number, JobEvent::Stop, now_unix_ms, None, false);
            }
            TaskStatus::Stopped | TaskStatus::Lapsed => {
                self.take_stop(number, task.checkpoint.clone(), now_unix_ms);
            }
        }
    }

    /// A confirmed stop: the next attempt resumes at the checkpoint.
    fn take_stop(&mut self, number: u64, checkpoint: Option<String>, now_unix_ms: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        // Without a checkpoint there is no telling what ran, so only idempotent work goes on.
        let known = checkpoint.is_some() || job.checkpoint.is_some() || job.rerun == Rerun::Safe;
        let event = if known {
            JobEvent::Evict
        } else {
            JobEvent::Doubt
        };
        self.step(number, event, now_unix_ms, checkpoint, false);
    }

    fn take_failure(&mut self, position: usize, task: &TaskView, now: Instant, now_unix_ms: u64) {
        let (key, number) = (self.workers[position].key, task.number);
        let id = persimmon_types::JobId { shard: 0, number };
        let counts = self.health.record_failure(key, id, now) == FailureCause::Job;
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let failures = job.failures + u32::from(counts);
        let last = failures >= job.attempts_max || job.state == JobState::Unknown;
        let event = if last {
            JobEvent::Fail
        } else {
            JobEvent::Retry
        };
        self.step(number, event, now_unix_ms, task.checkpoint.clone(), counts);
    }

    /// After a report was taken in: what is left of it to tell the worker.
    fn note_stray(&mut self, position: usize, task: &TaskView) {
        let running = task.status == TaskStatus::Running;
        let job = self.jobs.try_find(task.number);
        let wanted = job.is_some_and(|job| {
            let here = job.worker.as_ref().map(|(id, _)| id.as_str());
            job.is_held()
                && job.attempt == task.attempt
                && here == Some(self.workers[position].spec.id.as_str())
        });
        // A report may only be dropped once what it led to is in the store.
        let settled = !self.uncommitted.contains_key(&task.number);
        let doubted = job.is_some_and(|job| {
            job.state == JobState::Unknown && job.attempt == task.attempt && !running
        });
        if !wanted && settled && !doubted {
            self.workers[position]
                .strays
                .push((task.number, task.attempt, running));
        } else if !wanted && !settled {
            // Come back for the report soon after the commit.
            let worker = &mut self.workers[position];
            worker.next_sync = worker.next_sync.min(worker.answered_at + SETTLE_PAUSE);
        }
    }

    fn lose_earlier_incarnations(&mut self, position: usize, current: u64, now_unix_ms: u64) {
        let earlier = |number: &u64| {
            let job = self.jobs.try_find(*number);
            let placed = job.and_then(|job| job.worker.as_ref().map(|(_, at)| *at));
            placed.is_some_and(|placed| placed != current)
        };
        let lost: Vec<u64> = self.workers[position]
            .held
            .iter()
            .copied()
            .filter(earlier)
            .collect();
        for number in lost {
            self.lose(number, now_unix_ms);
        }
    }

    fn lose_all(&mut self, position: usize, now_unix_ms: u64) {
        let held: Vec<u64> = self.workers[position].held.iter().copied().collect();
        for number in held {
            self.lose(number, now_unix_ms);
        }
    }

    /// An attempt that surely runs no longer and of which nothing was heard.
    fn lose(&mut self, number: u64, now_unix_ms: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let event = match (job.state, job.rerun) {
            (JobState::Cancelling, _) => JobEvent::Stop,
            (_, Rerun::Safe) => JobEvent::Lose,
            (_, Rerun::Never) => JobEvent::Doubt,
        };
        self.step(number, event, now_unix_ms, None, false);
    }
}

/// The pause before a call that carries commands, so that a wave of them goes together.
const COMMAND_PAUSE: Duration = Duration::from_millis(5);
/// The shortest pause before a call that looks for completed tasks.
const END_PAUSE: Duration = Duration::from_millis(100);
/// An overdue task is looked at again after this part of the time that it has run for.
const OVERDUE_PART: u64 = 8;
/// The pause before a report is asked for again once its consequence is in the store.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);
