//! A worker as its protocol page describes it, and a record of what ran when.

use persimmon_shard::{SyncAnswer, SyncFailure, TaskCommand, TaskStatus, TaskView};
use persimmon_types::Size;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

pub(super) const TERM: Duration = Duration::from_secs(10);

/// One stretch of time in which an attempt ran; an open one runs still.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) number: u64,
    pub(super) attempt: u32,
    pub(super) from_ms: u64,
    pub(super) started_at: Instant,
    pub(super) ended: Option<(Instant, TaskStatus)>,
}

#[derive(Debug)]
struct Task {
    status: TaskStatus,
    size: Size,
    run_ms: u64,
    done_ms: u64,
    since: Instant,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) cut: bool,
    pub(super) fails: bool,
    pub(super) leaving: bool,
    incarnation: u64,
    epoch: u64,
    nonce: u64,
    nonce_at: Option<Instant>,
    lease_until: Option<Instant>,
    tasks: BTreeMap<(u64, u32), Task>,
    pub(super) runs: Vec<Run>,
}

impl Worker {
    pub(super) fn new() -> Self {
        Self {
            cut: false,
            fails: false,
            leaving: false,
            incarnation: 1,
            epoch: 0,
            nonce: 0,
            nonce_at: None,
            lease_until: None,
            tasks: BTreeMap::new(),
            runs: Vec::new(),
        }
    }

    pub(super) fn sync(
        &mut self,
        epoch: u64,
        echo: Option<u64>,
        commands: &[TaskCommand],
        now: Instant,
    ) -> Result<SyncAnswer, SyncFailure> {
        self.advance(now);
        if epoch < self.epoch {
            return Err(SyncFailure::Fenced);
        }
        self.epoch = epoch;
        let echoed = echo == Some(self.nonce) && self.nonce > 0;
        let until = self.nonce_at.filter(|_| echoed).map(|at| at + TERM);
        if until.is_some_and(|until| until > now) {
            self.lease_until = self.lease_until.max(until);
            commands
                .iter()
                .for_each(|command| self.carry_out(command, now));
        }
        self.nonce += 1;
        self.nonce_at = Some(now);
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
        (self.nonce, self.nonce_at, self.lease_until) = (0, None, None);
    }

    /// Ends what is complete, and everything once the lease has lapsed.
    pub(super) fn advance(&mut self, now: Instant) {
        let lapse = self.lease_until;
        let running = self
            .tasks
            .iter()
            .filter(|(_, task)| task.status == TaskStatus::Running);
        let mut ends = Vec::new();
        for (attempt, task) in running {
            let complete = task.since + Duration::from_millis(task.run_ms - task.done_ms);
            let lapsed = lapse.filter(|until| *until < complete);
            match lapsed {
                Some(until) if until <= now => ends.push((*attempt, TaskStatus::Lapsed, until)),
                _ if complete <= now => ends.push((*attempt, TaskStatus::Done, complete)),
                _ => {}
            }
        }
        ends.into_iter()
            .for_each(|(attempt, status, at)| self.end(attempt, status, at));
    }

    pub(super) fn used(&self) -> Size {
        let running = self
            .tasks
            .values()
            .filter(|task| task.status == TaskStatus::Running);
        running.fold(Size::ZERO, |sum, task| {
            sum.checked_add(task.size).expect("small sizes")
        })
    }

    fn carry_out(&mut self, command: &TaskCommand, now: Instant) {
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
                let from_ms = checkpoint
                    .as_ref()
                    .map_or(0, |text| text.parse().expect("a number"));
                let (run_ms, started_at) = (run_time.as_millis() as u64, now);
                let status = TaskStatus::Running;
                let task = Task {
                    status,
                    size: *size,
                    run_ms,
                    done_ms: from_ms,
                    since: now,
                };
                self.tasks.insert((*number, *attempt), task);
                let (number, attempt) = (*number, *attempt);
                self.runs.push(Run {
                    number,
                    attempt,
                    from_ms,
                    started_at,
                    ended: None,
                });
                if self.fails {
                    self.end((number, attempt), TaskStatus::Failed, now);
                }
            }
            TaskCommand::Evict { number, attempt } | TaskCommand::Stop { number, attempt } => {
                let stopped = Task {
                    status: TaskStatus::Stopped,
                    size: Size::ZERO,
                    run_ms: 0,
                    done_ms: 0,
                    since: now,
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
        let ran_ms = at.saturating_duration_since(task.since).as_millis() as u64;
        task.done_ms = (task.done_ms + ran_ms).min(task.run_ms);
        task.status = status;
        let same = |run: &&mut Run| (run.number, run.attempt) == attempt && run.ended.is_none();
        if let Some(run) = self.runs.iter_mut().find(same) {
            run.ended = Some((at, status));
        }
    }

    fn reports(&self, now: Instant) -> Vec<TaskView> {
        let view = |((number, attempt), task): (&(u64, u32), &Task)| {
            let running = task.status == TaskStatus::Running;
            let ran = now.saturating_duration_since(task.since).as_millis() as u64;
            let done_ms = task.done_ms + if running { ran } else { 0 };
            TaskView {
                number: *number,
                attempt: *attempt,
                status: task.status,
                checkpoint: Some(done_ms.min(task.run_ms).to_string()),
            }
        };
        self.tasks.iter().map(view).collect()
    }
}
