use super::{
    refusals::{Demand, Refusals},
    Engine, Rank, Stage, State,
};
use crate::{
    fleet::{Claim, Runner, RunnerKey},
    Phase, RunnerState, StepSpec, TaskId,
};
use std::{collections::HashMap, time::Instant};

/// An answer is worth nothing to its caller after this many times the time that it allows.
const WORTHLESS_FACTOR: u64 = 3;

/// The order within a priority, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// A task that lasts and has run before: its service is a part short until it runs again.
    Restart,
    OnTime,
    Lasting,
    Late,
    Overdue,
}

/// When a step is served; a task that must run again has a turn of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    priority: u8,
    urgency: Urgency,
    first: Rank,
}

/// Share of its declared processor time that a serving task uses, in percent, where nothing is known.
const SERVING_USE_PERCENT: i64 = 50;

impl Engine {
    /// Places ready tasks in order of rank. A step that found no room is not tried again this time, and
    /// neither are those that ask for as much.
    pub(crate) fn place_ready(&mut self, wall_ms: u64, now: Instant) {
        let mut refusals = Refusals::default();
        for turn in self.turns(wall_ms) {
            if let Some(refused) = self.place_turn(&turn, &refusals, now) {
                refusals.insert(refused);
            }
        }
    }

    /// Places the tasks of a turn as far as there is room. Returns what they ask for if one found none.
    fn place_turn(&mut self, turn: &Turn, refusals: &Refusals, now: Instant) -> Option<Demand> {
        // Tasks of a step ask for the same.
        let first = turn.first.task;
        let claim = self.claim_of(first, now)?;
        let demand = self.demand(first, &claim)?;
        if refusals.rule_out(&demand) {
            return None;
        }
        let is_gang = self.step_of(first)?.gang;
        for id in self.ready_tasks(turn) {
            if !self.may_place(id, now) {
                continue;
            }
            let placed = if is_gang {
                self.place_gang(id, claim, now)
            } else {
                self.place(id, claim, now)
            };
            if !placed {
                return Some(demand);
            }
        }
        None
    }

    /// The steps with ready tasks, in the order in which they are served.
    fn turns(&self, wall_ms: u64) -> Vec<Turn> {
        let mut turns = Vec::new();
        let mut current = None;
        let mut is_lasting = false;
        for &first in &self.ready {
            let task = first.task;
            let step = (task.job, task.occurrence, task.step);
            // Tasks of a step follow each other: their ranks differ in the index alone.
            if current != Some(step) {
                current = Some(step);
                is_lasting = self.step_of(task).is_some_and(|step| step.long_running);
                turns.push(Turn {
                    priority: first.priority,
                    urgency: self.urgency(&first, wall_ms),
                    first,
                });
            }
            if is_lasting && self.task(task).is_some_and(|task| task.run > 0) {
                turns.push(Turn {
                    priority: first.priority,
                    urgency: Urgency::Restart,
                    first,
                });
            }
        }
        turns.sort_unstable();
        turns
    }

    /// The tasks of a turn.
    fn ready_tasks(&self, turn: &Turn) -> Vec<TaskId> {
        let first = turn.first;
        if turn.urgency == Urgency::Restart {
            return vec![first.task];
        }
        let last = Rank {
            task: TaskId {
                index: u16::MAX,
                ..first.task
            },
            ..first
        };
        let ranks = self.ready.range(first..=last);
        ranks.map(|rank| rank.task).collect()
    }

    /// What a task with this claim asks of a runner.
    fn demand(&self, id: TaskId, claim: &Claim) -> Option<Demand> {
        let step = self.step_of(id)?;
        Some(Demand {
            service: self.jobs.get(&id.job)?.service.clone(),
            image: step.best_effort.then_some(claim.image),
            size: claim.size,
            fill_cpu_millis: claim.fill_cpu_millis,
            is_picky: step.gang || step.constraint.is_some() || step.per_runner_max > 0,
        })
    }

    /// What goes first within a priority: an answer that has become late keeps others from being on time.
    fn urgency(&self, rank: &Rank, wall_ms: u64) -> Urgency {
        if self
            .step_of(rank.task)
            .is_some_and(|step| step.long_running)
        {
            return Urgency::Lasting;
        }
        let Some(job) = self.jobs.get(&rank.task.job) else {
            return Urgency::Overdue;
        };
        // Occurrences count from their own times.
        let asked_at_ms = job
            .spec
            .schedule
            .map_or(job.spec.submitted_at_ms, |schedule| {
                schedule.first_at_ms + u64::from(rank.task.occurrence) * schedule.interval_ms
            });
        let waited_ms = wall_ms.saturating_sub(asked_at_ms);
        if waited_ms <= job.allowed_ms {
            Urgency::OnTime
        } else if waited_ms <= job.allowed_ms * WORTHLESS_FACTOR {
            Urgency::Late
        } else {
            Urgency::Overdue
        }
    }

    pub(super) fn step_of(&self, id: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&id.job)?.spec.steps.get(usize::from(id.step))
    }

    fn may_place(&self, id: TaskId, now: Instant) -> bool {
        let state = self.task(id).map(|task| task.state);
        match state {
            Some(State::Waiting { not_before }) => not_before.is_none_or(|at| now >= at),
            _ => false,
        }
    }

    /// Places one task; `false` if no runner has room.
    fn place(&mut self, id: TaskId, claim: Claim, now: Instant) -> bool {
        let Some(key) = self.choose(id, &claim, now) else {
            return false;
        };
        self.assign(id, key, None, claim);
        true
    }

    /// Places all tasks of a gang or none: they share the run's number and the checkpoint.
    fn place_gang(&mut self, id: TaskId, claim: Claim, now: Instant) -> bool {
        let job = &self.jobs[&id.job];
        let tasks = &job.tasks[id.occurrence as usize][usize::from(id.step)].tasks;
        let waiting = |state| matches!(state, State::Waiting { .. });
        if !tasks.iter().all(|task| waiting(task.state)) {
            return false;
        }
        let run = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let checkpoint = tasks.iter().map(|task| task.checkpoint.clone()).max();
        let checkpoint = checkpoint.unwrap_or_default();
        let members: Vec<_> = (0..tasks.len())
            .map(|index| TaskId {
                index: index as u16,
                ..id
            })
            .collect();
        for (at, &member) in members.iter().enumerate() {
            let Some(key) = self.choose(member, &claim, now) else {
                for &placed in &members[..at] {
                    self.end_run(placed, now);
                    self.ready_again(placed);
                }
                return false;
            };
            if let Some(task) = self.task_mut(member) {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.assign(member, key, Some(run), claim);
        }
        true
    }

    fn ready_again(&mut self, id: TaskId) {
        self.ready.insert(self.jobs[&id.job].rank(id));
    }

    fn assign(&mut self, id: TaskId, key: RunnerKey, run: Option<u32>, claim: Claim) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.version += 1;
        if job.phase == Phase::Queued {
            job.phase = Phase::Active;
        }
        let (version, rank) = (job.version, job.rank(id));
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.run = run.unwrap_or(task.run + 1);
        task.state = State::Placed {
            runner: key,
            stage: Stage::Committing(version),
        };
        let run = task.run;
        self.runner_mut(key).claim(id, run, claim);
        self.ready.remove(&rank);
        self.dirty.insert(id.job);
        log::debug!(
            "event=task.place task={id} run={run} runner={} room={}",
            self.runner(key).info.id,
            self.runner(key).room()
        );
    }

    /// The best runner for a task, if any has room.
    fn choose(&self, id: TaskId, claim: &Claim, now: Instant) -> Option<RunnerKey> {
        let job = self.jobs.get(&id.job)?;
        let step = &job.spec.steps[usize::from(id.step)];
        let minds_siblings = step.rack_local || step.per_runner_max > 0;
        let siblings = if minds_siblings {
            self.siblings(id)
        } else {
            HashMap::new()
        };
        let rack = self.rack_of_siblings(step, &siblings);
        let mut best: Option<(i64, RunnerKey)> = None;
        for (at, runner) in self.runners.iter().enumerate() {
            let key = RunnerKey(at as u32);
            let beside = siblings.get(&key).copied().unwrap_or(0);
            if runner.info.service != job.service
                || !self.is_open(runner, now)
                || !allows(step, runner, beside)
            {
                continue;
            }
            let Some(disturbance) = self.disturbance(runner, claim) else {
                continue;
            };
            let score = score(step, claim, runner, rack.as_deref()) - disturbance;
            if best.is_none_or(|(known, _)| score > known) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Tells whether a runner may get new tasks.
    pub(super) fn is_open(&self, runner: &Runner, now: Instant) -> bool {
        let heard = |at: Instant| now < at + self.options.heard_within;
        runner.listed
            && runner.info.state == RunnerState::Ready
            && runner.heard_at.is_some_and(heard)
            && runner.avoid_until.is_none_or(|until| now >= until)
    }

    /// Tasks of the same step and occurrence by runner.
    fn siblings(&self, id: TaskId) -> HashMap<RunnerKey, u32> {
        let mut counts = HashMap::new();
        let Some(job) = self.jobs.get(&id.job) else {
            return counts;
        };
        let step = &job.tasks[id.occurrence as usize][usize::from(id.step)];
        for task in &step.tasks {
            if let State::Placed { runner, .. } = task.state {
                *counts.entry(runner).or_default() += 1;
            }
        }
        counts
    }

    fn rack_of_siblings(
        &self,
        step: &StepSpec,
        siblings: &HashMap<RunnerKey, u32>,
    ) -> Option<String> {
        if let Some(rack) = &step.affinity {
            return Some(rack.clone());
        }
        if !step.rack_local {
            return None;
        }
        let (&key, _) = siblings.iter().max_by_key(|&(_, &count)| count)?;
        self.runner(key).info.labels.get(1).cloned()
    }
}

fn allows(step: &StepSpec, runner: &Runner, beside: u32) -> bool {
    let labelled = step
        .constraint
        .as_ref()
        .is_none_or(|label| runner.has_label(label));
    labelled
        && (step.per_runner_max == 0 || beside < step.per_runner_max)
        && step.claim().fits(runner.room())
}

/// Weight of the right rack: work on another takes several times as long.
const RACK_WEIGHT: i64 = 1_000_000;

/// Higher is better: the fullest runner for a claim on processors, the idlest for what fills.
fn score(step: &StepSpec, claim: &Claim, runner: &Runner, rack: Option<&str>) -> i64 {
    let near = rack.is_some_and(|rack| runner.has_label(rack));
    let rack_score = if near { RACK_WEIGHT } else { 0 };
    if !step.best_effort {
        return rack_score - i64::from(runner.room().cpu_millis);
    }
    rack_score + idle_millis(runner) - i64::from(claim.fill_cpu_millis)
}

/// The processor time, in thousandths of a core, that is left for more work that fills.
pub(super) fn idle_millis(runner: &Runner) -> i64 {
    let serving = i64::from(runner.serving_cpu_millis);
    let others = i64::from(runner.used.cpu_millis) - serving;
    let busy = others + serving * SERVING_USE_PERCENT / 100;
    i64::from(runner.info.capacity.cpu_millis) - busy - i64::from(runner.fill_cpu_millis)
}
