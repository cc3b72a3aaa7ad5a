//! A simulated worker that follows the worker protocol and records when each attempt ran.

use persimmon_shard::{SyncAnswer, SyncFailure, TaskCommand, TaskStatus, TaskView};
use persimmon_types::Size;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

pub(super) const LEASE_TERM: Duration = Duration::from_secs(10);

/// The period in which an attempt ran; `ended` is `None` while it runs.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) attempt: u32,
    pub(super) resumed_from_ms: u64,
    pub(super) started_at: Instant,
    pub(super) ended: Option<(Instant, TaskStatus)>,
}

#[derive(Debug)]
struct Task {
    status: TaskStatus,
    size: Size,
    run_ms: u64,
    done_ms: u64,
    started_at: Instant,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) partitioned: bool,
    pub(super) failing: bool,
    pub(super) leaving: bool,
    incarnation: u64,
    epoch: u64,
    nonce: u64,
    nonce_issued_at: Option<Instant>,
    lease_until: Option<Instant>,
    tasks: BTreeMap<(u64, u32), Task>,
    pub(super) runs: Vec<Run>,
}

impl Worker {
    pub(super) fn new() -> Self {
        Self {
            partitioned: false,
            failing: false,
            leaving: false,
            incarnation: 1,
            epoch: 0,
            nonce: 0,
            nonce_issued_at: None,
            lease_until: None,
            tasks: BTreeMap::new(),
            runs: Vec::new(),
        }
    }

    pub(super) fn sync(
        &mut self,
        epoch: u64,
        echo_nonce: Option<u64>,
        commands: &[TaskCommand],
        now: Instant,
    ) -> Result<SyncAnswer, SyncFailure> {
        self.advance(now);
        if epoch < self.epoch {
            return Err(SyncFailure::Fenced);
        }
        self.epoch = epoch;
        let is_newest_nonce = echo_nonce == Some(self.nonce) && self.nonce > 0;
        let renewed_until = self
            .nonce_issued_at
            .filter(|_| is_newest_nonce)
            .map(|at| at + LEASE_TERM);
        if renewed_until.is_some_and(|until| until > now) {
            self.lease_until = self.lease_until.max(renewed_until);
            commands
                .iter()
                .for_each(|command| self.execute(command, now));
        }
        self.nonce += 1;
        self.nonce_issued_at = Some(now);
        Ok(SyncAnswer {
            incarnation: self.incarnation,
            nonce: self.nonce,
            tasks: self.reports(now),
            used: self.used(),
        })
    }

    pub(super) fn restart(&mut self, now: Instant) {
        self.advance(now);
        let running: Vec<_> = self.tasks.keys().copied().collect();
        running
            .into_iter()
            .for_each(|attempt| self.end(attempt, TaskStatus::Failed, now));
        self.tasks.clear();
        self.incarnation += 1;
        (self.nonce, self.nonce_issued_at, self.lease_until) = (0, None, None);
    }

    /// Ends the tasks that are complete, and all running tasks once the lease has expired.
    pub(super) fn advance(&mut self, now: Instant) {
        let lease_until = self.lease_until;
        let running = self
            .tasks
            .iter()
            .filter(|(_, task)| task.status == TaskStatus::Running);
        let mut ended = Vec::new();
        for (attempt, task) in running {
            let complete = task.started_at + Duration::from_millis(task.run_ms - task.done_ms);
            let expired_at = lease_until.filter(|until| *until < complete);
            match expired_at {
                Some(until) if until <= now => ended.push((*attempt, TaskStatus::Lapsed, until)),
                _ if complete <= now => ended.push((*attempt, TaskStatus::Done, complete)),
                _ => {}
            }
        }
        ended
            .into_iter()
            .for_each(|(attempt, status, at)| self.end(attempt, status, at));
    }

    pub(super) fn used(&self) -> Size {
        let running = self
            .tasks
            .values()
            .filter(|task| task.status == TaskStatus::Running);
        running.fold(Size::ZERO, |sum, task| {
            sum.checked_add(task.size).expect("the sum of small sizes")
        })
    }

    fn execute(&mut self, command: &TaskCommand, now: Instant) {
        match command {
            TaskCommand::Start {
                number,
                attempt,
                size,
                run_time,
                checkpoint,
                ..
            } => {
                if self.tasks.contains_key(&(*number, *attempt)) {
                    return;
                }
                let resumed_from_ms = checkpoint
                    .as_ref()
                    .map_or(0, |text| text.parse().expect("a numeric checkpoint"));
                let (run_ms, started_at) = (run_time.as_millis() as u64, now);
                let status = TaskStatus::Running;
                let task = Task {
                    status,
                    size: *size,
                    run_ms,
                    done_ms: resumed_from_ms,
                    started_at: now,
                };
                self.tasks.insert((*number, *attempt), task);
                let (number, attempt) = (*number, *attempt);
                self.runs.push(Run {
                    number,
                    attempt,
                    resumed_from_ms,
                    started_at,
                    ended: None,
                });
                if self.failing {
                    self.end((number, attempt), TaskStatus::Failed, now);
                }
            }
            TaskCommand::Evict { number, attempt } | TaskCommand::Stop { number, attempt } => {
                let stopped = Task {
                    status: TaskStatus::Stopped,
                    size: Size::ZERO,
                    run_ms: 0,
                    done_ms: 0,
                    started_at: now,
                };
                self.end((*number, *attempt), TaskStatus::Stopped, now);
                self.tasks.entry((*number, *attempt)).or_insert(stopped);
            }
            TaskCommand::Forget { number, attempt } => {
                let ended = |task: &Task| task.status != TaskStatus::Running;
                if self.tasks.get(&(*number, *attempt)).is_some_and(ended) {
                    self.tasks.remove(&(*number, *attempt));
                }
            }
            TaskCommand::Throttle { .. } => {}
        }
    }

    fn end(&mut self, attempt: (u64, u32), status: TaskStatus, at: Instant) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        if task.status != TaskStatus::Running {
            return;
        }
        let ran_ms = at.saturating_duration_since(task.started_at).as_millis() as u64;
        task.done_ms = (task.done_ms + ran_ms).min(task.run_ms);
        task.status = status;
        let is_open_run =
            |run: &&mut Run| (run.number, run.attempt) == attempt && run.ended.is_none();
        if let Some(run) = self.runs.iter_mut().find(is_open_run) {
            run.ended = Some((at, status));
        }
    }

    fn reports(&self, now: Instant) -> Vec<TaskView> {
        let report = |((number, attempt), task): (&(u64, u32), &Task)| {
            let running = task.status == TaskStatus::Running;
            let ran = now.saturating_duration_since(task.started_at).as_millis() as u64;
            let done_ms = task.done_ms + if running { ran } else { 0 };
            TaskView {
                number: *number,
                attempt: *attempt,
                status: task.status,
                checkpoint: Some(done_ms.min(task.run_ms).to_string()),
            }
        };
        self.tasks.iter().map(report).collect()
    }
}
