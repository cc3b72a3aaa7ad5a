//! A simulated runner that follows the contract of the platform.

use super::SERVICE;
use persimmon_relay::{OrderCall, OrderKind, Outcome, PollCall};
use persimmon_sched::{Answer, End, EndKind, Report, RunStatus, RunnerInfo, RunnerState, TaskId};
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// Longest lease that a runner grants.
const LEASE_MAX_MS: u64 = 10_000;
/// Most ends in a report.
const ENDS_MAX: usize = 500;

pub(super) struct Running {
    run: u32,
    until_ms: u64,
    fails: bool,
}

pub(super) struct Worker {
    pub(super) id: String,
    pub(super) state: RunnerState,
    pub(super) leaves_at_ms: u64,
    pub(super) has_left: bool,
    pub(super) unreachable_until_ms: u64,
    pub(super) running: BTreeMap<TaskId, Running>,
    /// Ends that were not acknowledged.
    pub(super) ended: Vec<End>,
    /// Number of ends that were acknowledged without having been reported.
    pub(super) dropped_unseen: u32,
    pub(super) incarnation_ms: u64,
    fencing_token: u64,
    deadline_ms: u64,
    highest_ended_run: HashMap<TaskId, u32>,
    next_end: u64,
    reported_end: u64,
}

impl Worker {
    pub(super) fn new(at: usize, incarnation_ms: u64) -> Self {
        Self {
            id: format!("w{at}"),
            state: RunnerState::Ready,
            leaves_at_ms: 0,
            has_left: false,
            unreachable_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            dropped_unseen: 0,
            incarnation_ms,
            fencing_token: 0,
            deadline_ms: 0,
            highest_ended_run: HashMap::new(),
            next_end: 1,
            reported_end: 0,
        }
    }

    pub(super) fn info(&self) -> RunnerInfo {
        RunnerInfo {
            id: self.id.clone(),
            address: format!("{}:80", self.id),
            data_centre: String::new(),
            service: SERVICE.to_owned(),
            state: self.state,
            cold_remaining: Duration::ZERO,
            capacity: Size {
                cpu_millis: 16_000,
                memory_mib: 100_000,
                accelerators: 0,
            },
            labels: vec!["a".to_owned(), "r1".to_owned()],
        }
    }

    pub(super) fn leave(&mut self) {
        self.has_left = true;
        self.running.clear();
        self.ended.clear();
    }

    /// A new incarnation under the same id holds and knows nothing.
    pub(super) fn restart(&mut self, incarnation_ms: u64) {
        *self = Self {
            id: std::mem::take(&mut self.id),
            state: self.state,
            leaves_at_ms: self.leaves_at_ms,
            dropped_unseen: self.dropped_unseen,
            ..Self::new(0, incarnation_ms)
        };
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.incarnation_ms.min(now_ms)
    }

    pub(super) fn is_unreachable(&self, now_ms: u64) -> bool {
        self.has_left || now_ms < self.unreachable_until_ms
    }

    /// Ends the runs that are due.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let has_lapsed = self.clock_ms(now_ms) > self.deadline_ms;
        let running = self.running.iter();
        let due = running.filter(|(_, it)| has_lapsed || now_ms >= it.until_ms);
        let due: Vec<_> = due.map(|(&task, it)| (task, it.run, it.fails)).collect();
        for (task, run, fails) in due {
            let kind = match (has_lapsed, fails) {
                (true, _) => EndKind::Lapsed,
                (false, true) => EndKind::Failed,
                (false, false) => EndKind::Done,
            };
            self.end(task, run, kind);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, kind: EndKind) {
        self.running.remove(&task);
        self.forbid(task, run);
        self.ended.push(End {
            number: self.next_end,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }

    /// Rejects this run of a task and all earlier ones from now on.
    fn forbid(&mut self, task: TaskId, run: u32) {
        let highest = self.highest_ended_run.entry(task).or_default();
        *highest = run.max(*highest);
    }

    fn renew(&mut self, deadline_ms: u64, clock_ms: u64) {
        let shortened = deadline_ms.min(clock_ms + LEASE_MAX_MS);
        self.deadline_ms = self.deadline_ms.max(shortened);
    }

    /// Handles a poll; `None` if there is no answer.
    pub(super) fn poll(&mut self, poll: &PollCall, now_ms: u64) -> Option<Report> {
        let fencing_token = poll.session.fencing_token;
        if self.is_unreachable(now_ms) || fencing_token < self.fencing_token {
            return None;
        }
        self.fencing_token = fencing_token;
        let clock_ms = self.clock_ms(now_ms);
        if let Some(deadline_ms) = poll.deadline_ms {
            self.renew(deadline_ms, clock_ms);
        }
        let acknowledged = self.ended.iter().map(|end| end.number);
        let acknowledged = acknowledged.filter(|&it| it <= poll.acknowledged_end);
        let unseen = acknowledged.filter(|&it| it > self.reported_end).count();
        self.dropped_unseen += unseen as u32;
        self.ended.retain(|end| end.number > poll.acknowledged_end);
        let ended: Vec<_> = self.ended.iter().take(ENDS_MAX).cloned().collect();
        let last_end = ended.iter().map(|end| end.number).max();
        self.reported_end = self.reported_end.max(last_end.unwrap_or(0));
        let running = self.running.iter().map(|(&task, it)| RunStatus {
            task,
            run: it.run,
            checkpoint: String::new(),
            measurement: 0,
            percent: 0,
        });
        Some(Report {
            incarnation_ms: self.incarnation_ms,
            clock_ms,
            running: running.collect(),
            has_more_ends: ended.len() == ENDS_MAX,
            ended,
        })
    }

    /// Handles an order; `None` if there is no answer.
    pub(super) fn call(
        &mut self,
        call: &OrderCall,
        now_ms: u64,
        until_ms: u64,
        fails: bool,
    ) -> Option<Outcome> {
        let is_start = matches!(call.kind, OrderKind::Start { .. });
        if self.is_unreachable(now_ms) {
            return None;
        }
        if call.session.fencing_token < self.fencing_token {
            return Some(if is_start {
                Outcome::Start(Answer::Fenced)
            } else {
                Outcome::Failed
            });
        }
        self.fencing_token = call.session.fencing_token;
        Some(match &call.kind {
            OrderKind::Start { deadline_ms, .. } => {
                let running = Running {
                    run: call.run,
                    until_ms,
                    fails,
                };
                Outcome::Start(self.start(call.task, *deadline_ms, running, now_ms))
            }
            OrderKind::Stop => {
                if self.running.get(&call.task).map(|it| it.run) == Some(call.run) {
                    self.end(call.task, call.run, EndKind::Cut);
                } else {
                    self.forbid(call.task, call.run);
                }
                Outcome::Acknowledged
            }
            OrderKind::Throttle(_) => Outcome::Acknowledged,
        })
    }

    fn start(&mut self, task: TaskId, deadline_ms: u64, start: Running, now_ms: u64) -> Answer {
        let clock_ms = self.clock_ms(now_ms);
        self.renew(deadline_ms, clock_ms);
        if self.running.get(&task).map(|it| it.run) == Some(start.run) {
            return Answer::Started;
        }
        let highest = self.highest_ended_run.get(&task).copied().unwrap_or(0);
        if start.run <= highest || self.running.contains_key(&task) {
            return Answer::Old;
        }
        if clock_ms > deadline_ms {
            return Answer::Refused;
        }
        self.running.insert(task, start);
        Answer::Started
    }
}
