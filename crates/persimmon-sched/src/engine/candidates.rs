//! The steps with ready tasks, in placement order.

use super::{Engine, Rank, Task};
use crate::TaskId;
use std::ops::Bound::{Excluded, Included, Unbounded};

/// Most steps that a pass considers if more have ready tasks. It looks at each of them.
const STEPS_MAX: usize = 8_192;
/// A result is worthless to its caller after this multiple of the time budget.
const OVERDUE_FACTOR: u64 = 3;

/// Placement order within a priority, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Urgency {
    /// A long-running task that has run before: its service lacks capacity until it runs again.
    Restart,
    /// A task still within its job's time budget, which it may miss if it is placed later.
    OnTime,
    /// Any other long-running task: no time budget applies to it.
    LongRunning,
    /// A task past its job's time budget, placed only after those that it could make late.
    Late,
    /// A task whose result is worthless to its caller, see [`OVERDUE_FACTOR`].
    Overdue,
}

/// A step with ready tasks; the derived order is the placement order. A long-running task to be
/// restarted is a candidate of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Candidate {
    pub(super) priority: u8,
    pub(super) urgency: Urgency,
    pub(super) first: Rank,
}

impl Engine {
    /// Lists the steps with ready tasks in placement order, with the long-running tasks to be
    /// restarted. If there are too many for one pass, lists those due first, of each priority the
    /// first that can still be on time, and others in turn.
    pub(super) fn candidates(&mut self, wall_ms: u64) -> Vec<Candidate> {
        let steps = self.steps_to_consider(wall_ms);
        let steps = steps.into_iter().map(|first| Candidate {
            priority: first.priority,
            urgency: self.urgency(&first, wall_ms),
            first,
        });
        let restarts = self.restarts.iter().take(STEPS_MAX);
        let restarts = restarts.map(|&first| Candidate {
            priority: first.priority,
            urgency: Urgency::Restart,
            first,
        });
        let mut candidates: Vec<_> = steps.chain(restarts).collect();
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// Returns the first ready task of each step that a pass considers, of some more than once.
    fn steps_to_consider(&mut self, wall_ms: u64) -> Vec<Rank> {
        let mut steps: Vec<_> = self.ready_steps(None).take(STEPS_MAX + 1).collect();
        if steps.len() <= STEPS_MAX {
            self.listed_until = None;
            return steps;
        }
        steps.truncate(STEPS_MAX / 2);
        self.add_steps_on_time(&mut steps, wall_ms);
        let in_turn = self.ready_steps(self.listed_until);
        let in_turn: Vec<_> = in_turn.take(STEPS_MAX / 4).collect();
        self.listed_until = in_turn.last().copied();
        steps.extend(in_turn);
        steps
    }

    /// Adds steps whose jobs are not late, up to a quarter of [`STEPS_MAX`].
    fn add_steps_on_time(&self, steps: &mut Vec<Rank>, wall_ms: u64) {
        let mut left = STEPS_MAX / 4;
        let mut next = self.ready.first().copied();
        while let Some(Rank { priority, .. }) = next.filter(|_| left > 0) {
            let on_time = self.ready_steps(Some(Rank::before(priority, wall_ms)));
            let on_time = on_time.take_while(|it| it.priority == priority);
            let known = steps.len();
            steps.extend(on_time.take(left));
            left -= steps.len() - known;
            let after = Excluded(Rank::last_of(priority));
            next = self.ready.range((after, Unbounded)).next().copied();
        }
    }

    /// Iterates over the first ready task of each step, from the step after this one.
    fn ready_steps(&self, after: Option<Rank>) -> impl Iterator<Item = Rank> + '_ {
        let mut after = after.map_or(Unbounded, |it| Excluded(it.last_of_step()));
        std::iter::from_fn(move || {
            let first = self.ready.range((after, Unbounded)).next().copied()?;
            after = Excluded(first.last_of_step());
            Some(first)
        })
    }

    /// Returns the first ready task of a candidate at `from` or behind it that may be placed, and the
    /// number of tasks looked at.
    pub(super) fn next_placeable(
        &self,
        candidate: &Candidate,
        from: Rank,
        may_place: impl Fn(&Task) -> bool,
    ) -> (Option<TaskId>, usize) {
        let last = if candidate.urgency == Urgency::Restart {
            candidate.first
        } else {
            candidate.first.last_of_step()
        };
        let mut seen = 0;
        let mut ranks = self.ready.range((Included(from), Included(last)));
        let found = ranks.find(|rank| {
            seen += 1;
            self.task(rank.task).is_some_and(&may_place)
        });
        (found.map(|rank| rank.task), seen)
    }

    /// Number of ready tasks of a candidate.
    pub(super) fn ready_count(&self, candidate: &Candidate) -> usize {
        let first = candidate.first;
        if candidate.urgency == Urgency::Restart {
            return usize::from(self.ready.contains(&first));
        }
        self.ready.range(first..=first.last_of_step()).count()
    }

    /// Ranks a task within its priority. Late tasks come after those that can still be on time,
    /// since they would make these late as well.
    fn urgency(&self, rank: &Rank, wall_ms: u64) -> Urgency {
        if self
            .step_of(rank.task)
            .is_some_and(|step| step.long_running)
        {
            return Urgency::LongRunning;
        }
        let Some(job) = self.jobs.get(&rank.task.job) else {
            return Urgency::Overdue;
        };
        // The time budget of an occurrence starts at its due time.
        let requested_at_ms = job
            .spec
            .schedule
            .map_or(job.spec.submitted_at_ms, |schedule| {
                schedule.first_at_ms + u64::from(rank.task.occurrence) * schedule.interval_ms
            });
        let waited_ms = wall_ms.saturating_sub(requested_at_ms);
        if waited_ms <= job.time_budget_ms {
            Urgency::OnTime
        } else if waited_ms <= job.time_budget_ms * OVERDUE_FACTOR {
            Urgency::Late
        } else {
            Urgency::Overdue
        }
    }
}
