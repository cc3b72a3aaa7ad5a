use super::{
    infeasible::{Demand, InfeasibleDemands},
    Engine, Job, Rank, State, Task,
};
use crate::{
    fleet::{Claim, Runner, RunnerKey, Trial, LATENCY_CRITICAL_USE_PERCENT},
    Phase, StepSpec, TaskId,
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A result is worthless to its caller after this multiple of the time budget.
const OVERDUE_FACTOR: u64 = 3;

/// Most runners looked at in a pass, half of them from the first task in order. A pass of a group with
/// thousands of runners and tasks would otherwise outlast the owner's session, and that of each owner
/// after it.
const RUNNER_CHECKS_MAX: usize = 600_000;
/// Most runners looked at besides in a pass to place tasks that may be the cause of failures.
const RETRY_RUNNER_CHECKS_MAX: usize = 100_000;
/// Most runners looked at besides in a pass to place tasks on trial.
const TRIAL_RUNNER_CHECKS_MAX: usize = 100_000;

/// Time for which a best-effort step is held back by estimates before one of its tasks is placed on
/// trial, and between two trials of a step; a task counts as lost after 3 s, and its commit and start
/// take part of them.
const TRIAL_AFTER: Duration = Duration::from_secs(2);

/// Which runners a task may be placed on; trials are for best-effort tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Those on which it is predicted to fit and to do no harm.
    Predicted,
    /// As [`Self::Predicted`], also those on probation if the task or its job may be the cause of
    /// failures.
    Retry,
    /// Those on which its effect can be measured. Estimates of an image of which nothing runs are
    /// never corrected otherwise.
    Trial,
    /// As [`Self::Trial`], also where other best-effort tasks use all idle processors: nothing of the
    /// job runs, and more urgent jobs could keep it waiting for ever.
    Share,
}

/// How far a runner may be given a task; higher is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Trust {
    /// One task at a time, if it fits nowhere else and at most half of the runners that could take it
    /// are trusted: this one is backed off from because of a few other jobs, which may be the cause.
    Probe,
    /// All that fits.
    Full,
}

/// What a placement pass has found so far.
#[derive(Default)]
pub(super) struct Pass {
    infeasible: InfeasibleDemands,
    infeasible_trials: InfeasibleDemands,
    infeasible_shares: InfeasibleDemands,
    /// Steps to place a task of on trial, in placement order.
    held: Vec<HeldStep>,
    /// Steps of tasks that may be the cause of failures and fit nowhere, in placement order.
    retries: Vec<Candidate>,
    choices_left: usize,
    /// Whether a runner to be kept free was looked for.
    pub(super) has_sought_runner: bool,
}

/// A best-effort step that estimates have held back for [`TRIAL_AFTER`].
struct HeldStep {
    /// See [`Engine::has_placed_tasks`].
    has_placed_tasks: bool,
    /// When it was first held back, or last placed on trial.
    waits_since: Instant,
    ready: Vec<TaskId>,
    claim: Claim,
    demand: Demand,
}

impl Pass {
    /// Demands that fit on no runner which this admission allows.
    fn infeasible(&mut self, admission: Admission) -> &mut InfeasibleDemands {
        match admission {
            Admission::Predicted | Admission::Retry => &mut self.infeasible,
            Admission::Trial => &mut self.infeasible_trials,
            Admission::Share => &mut self.infeasible_shares,
        }
    }
}

/// Placement order within a priority, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    priority: u8,
    urgency: Urgency,
    first: Rank,
}

impl Engine {
    /// Places ready tasks in placement order. Once a demand did not fit, the rest of the step and
    /// all steps that demand at least as much are skipped in this pass. A fenced engine no longer
    /// owns its group and places nothing, nor does one that knows only an old instance list. Half of
    /// a pass begins with the first in order, and half where the one before it ended, so that demands
    /// which fit nowhere don't keep it from those behind them.
    pub(crate) fn place_ready(&mut self, wall_ms: u64, now: Instant) {
        if self.fenced || !self.is_listing_current(now) {
            return;
        }
        let mut pass = Pass::default();
        self.place_in_order(&mut pass, wall_ms, now);
        pass.choices_left = self.choices_max(RETRY_RUNNER_CHECKS_MAX);
        self.place_retries(&mut pass, now);
        pass.choices_left = self.choices_max(TRIAL_RUNNER_CHECKS_MAX);
        self.place_trials(&mut pass, now);
    }

    /// Number of tasks for which a runner may be chosen by this number of looks at runners.
    fn choices_max(&self, runner_checks_max: usize) -> usize {
        (runner_checks_max / self.runners.len().max(1)).max(1)
    }

    /// Places ready tasks in placement order, as far as predictions admit them.
    fn place_in_order(&mut self, pass: &mut Pass, wall_ms: u64, now: Instant) {
        let choices_max = self.choices_max(RUNNER_CHECKS_MAX / 2);
        pass.choices_left = choices_max;
        let candidates = self.candidates(wall_ms);
        let Some(ended_at) = self.place_candidates(&candidates, pass, now) else {
            self.resume_at = None;
            return;
        };
        let rest = &candidates[ended_at..];
        let is_before = |at: Candidate| rest.partition_point(|it| *it < at);
        let rest = &rest[self.resume_at.map_or(0, is_before)..];
        pass.choices_left = choices_max;
        let ended_at = self.place_candidates(rest, pass, now);
        self.resume_at = ended_at.map(|at| rest[at]);
    }

    /// Places the tasks of candidates while they fit; returns the index of the candidate at which
    /// the pass had looked at its most runners.
    fn place_candidates(
        &mut self,
        candidates: &[Candidate],
        pass: &mut Pass,
        now: Instant,
    ) -> Option<usize> {
        candidates.iter().position(|candidate| {
            self.place_candidate(candidate, pass, now);
            pass.choices_left == 0
        })
    }

    /// Places tasks that may be the cause of failures on runners on probation. The one task that such a
    /// runner is given shows more if it is another one.
    fn place_retries(&mut self, pass: &mut Pass, now: Instant) {
        for candidate in std::mem::take(&mut pass.retries) {
            let first = candidate.first.task;
            let Some(claim) = self.claim_of(first, now) else {
                continue;
            };
            for id in self.ready_tasks(&candidate) {
                if pass.choices_left == 0 {
                    return;
                }
                if !self.may_place(id, now) {
                    continue;
                }
                pass.choices_left -= 1;
                if !self.place_task(id, claim, Admission::Retry, now) {
                    break;
                }
            }
        }
    }

    /// Places the tasks of a candidate while they fit.
    fn place_candidate(&mut self, candidate: &Candidate, pass: &mut Pass, now: Instant) {
        // All tasks of a step have the same demand.
        let first = candidate.first.task;
        let Some(claim) = self.claim_of(first, now) else {
            return;
        };
        let Some(demand) = self.demand(first, &claim) else {
            return;
        };
        let is_best_effort = demand.best_effort_cpu_millis > 0;
        let mut is_rejected = pass.infeasible.rules_out(&demand);
        if is_rejected && !is_best_effort {
            self.keep_runner_free(first, &claim, pass, now);
            return;
        }
        let is_ruled_out = is_rejected;
        let ready = self.ready_tasks(candidate);
        let ready_count = ready.len();
        let mut placed = 0;
        let mut is_retry = false;
        for &id in &ready {
            if pass.choices_left == 0 || is_rejected {
                break;
            }
            if !self.may_place(id, now) {
                continue;
            }
            pass.choices_left -= 1;
            let fits = self.place_task(id, claim, Admission::Predicted, now);
            placed += usize::from(fits);
            is_rejected = !fits;
            is_retry = is_rejected && self.is_kept_off_runners(id);
        }
        if is_rejected && !is_best_effort {
            let waiting = ready.iter().find(|&&id| self.may_place(id, now));
            if let Some(&waiting) = waiting {
                self.keep_runner_free(waiting, &claim, pass, now);
            }
        }
        if is_best_effort {
            let was_held_since = self.hold_step(first, placed > 0, is_rejected, now);
            if let Some(since) = was_held_since.filter(|&at| now >= at + TRIAL_AFTER) {
                let tried_at = self.step(first).and_then(|step| step.tried_at);
                pass.held.push(HeldStep {
                    has_placed_tasks: self.has_placed_tasks(first),
                    waits_since: tried_at.map_or(since, |at| at.max(since)),
                    ready,
                    claim,
                    demand: demand.clone(),
                });
            }
        }
        if is_retry {
            pass.retries.push(*candidate);
        } else if is_rejected && !is_ruled_out {
            pass.infeasible.insert(demand);
        }
        if placed > 0 {
            log::info!(
                "event=step.place job={} occurrence={} step={} priority={} urgency={:?} \
                 placed={placed} ready={ready_count} policy={}",
                first.job,
                first.occurrence,
                first.step,
                candidate.priority,
                candidate.urgency,
                self.policy.version
            );
        }
    }

    /// Notes whether ready tasks of a best-effort step fit nowhere; returns since when that has been
    /// so without a task placed by prediction.
    fn hold_step(
        &mut self,
        id: TaskId,
        has_placed: bool,
        is_rejected: bool,
        now: Instant,
    ) -> Option<Instant> {
        let step = self.step_mut(id)?;
        if has_placed {
            step.held_since = None;
        }
        if is_rejected {
            step.held_since.get_or_insert(now);
        }
        step.held_since.filter(|_| is_rejected)
    }

    /// Places tasks of held steps on trial. Every other trial is of the step that has waited for
    /// longest, first those of whose job nothing runs: more urgent steps may ask for more trials
    /// than there are.
    fn place_trials(&mut self, pass: &mut Pass, now: Instant) {
        let held = std::mem::take(&mut pass.held);
        let mut by_wait: Vec<_> = (0..held.len()).collect();
        by_wait.sort_by_key(|&at| (held[at].has_placed_tasks, held[at].waits_since));
        let (mut in_order, mut by_wait) = (0..held.len(), by_wait.into_iter());
        let mut is_tried = vec![false; held.len()];
        while pass.choices_left > 0 {
            let next = if self.is_next_trial_by_wait {
                by_wait.find(|&at| !is_tried[at])
            } else {
                in_order.find(|&at| !is_tried[at])
            };
            let Some(at) = next else {
                return;
            };
            is_tried[at] = true;
            if self.place_on_trial(&held[at], pass, now) {
                self.is_next_trial_by_wait = !self.is_next_trial_by_wait;
            }
        }
    }

    /// Places the first of the ready tasks of a step that was held back for long where its effect
    /// can be measured, also on processors that are in use if nothing of its job runs; returns
    /// whether it did.
    fn place_on_trial(&mut self, step: &HeldStep, pass: &mut Pass, now: Instant) -> bool {
        let (claim, demand) = (step.claim, &step.demand);
        let mut ready = step.ready.iter();
        let Some(&id) = ready.find(|&&id| self.may_place(id, now)) else {
            return false;
        };
        let is_recent = |at: Instant| now < at + TRIAL_AFTER;
        let tried_at = self.step(id).and_then(|step| step.tried_at);
        let admission = if !self.has_placed_tasks(id) {
            Admission::Share
        } else if tried_at.is_some_and(is_recent) {
            return false;
        } else {
            Admission::Trial
        };
        if pass.infeasible(admission).rules_out(demand) {
            return false;
        }
        pass.choices_left -= 1;
        if !self.place_task(id, claim, admission, now) {
            pass.infeasible(admission).insert(demand.clone());
            return false;
        }
        if let Some(step) = self.step_mut(id) {
            step.tried_at = Some(now);
        }
        self.note_trial(id, now);
        true
    }

    /// Records that the run of a task has been placed on trial.
    fn note_trial(&mut self, id: TaskId, now: Instant) {
        let Some(task) = self.task(id) else {
            return;
        };
        let (run, state) = ((id, task.run), task.state());
        let State::Placed { runner, .. } = state else {
            return;
        };
        let runner = self.runner_mut(runner);
        runner.trial = Some(Trial {
            run,
            placed_at: now,
            has_done_harm: false,
            has_ended: false,
        });
        log::info!("event=task.trial task={id} runner={}", runner.info.id);
    }

    /// Returns whether a task of the same job and occurrence is placed, without long-running
    /// ones: they may keep the others waiting for ever, and each of them is owed a runner.
    fn has_placed_tasks(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let specs = &job.spec.steps;
        if specs[usize::from(id.step)].long_running {
            return false;
        }
        let steps = job.tasks.get(id.occurrence as usize).into_iter().flatten();
        let steps = steps.zip(specs).filter(|(_, spec)| !spec.long_running);
        let mut tasks = steps.flat_map(|(step, _)| &step.tasks);
        tasks.any(|task| matches!(task.state(), State::Placed { .. }))
    }

    /// Lists the steps with ready tasks in placement order.
    fn candidates(&self, wall_ms: u64) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let mut current = None;
        let mut is_long_running = false;
        for &first in &self.ready {
            let task = first.task;
            let step = (task.job, task.occurrence, task.step);
            // Tasks of a step are adjacent, since their ranks differ in the index alone.
            if current != Some(step) {
                current = Some(step);
                is_long_running = self.step_of(task).is_some_and(|step| step.long_running);
                candidates.push(Candidate {
                    priority: first.priority,
                    urgency: self.urgency(&first, wall_ms),
                    first,
                });
            }
            if is_long_running && self.task(task).is_some_and(|task| task.run > 0) {
                candidates.push(Candidate {
                    priority: first.priority,
                    urgency: Urgency::Restart,
                    first,
                });
            }
        }
        candidates.sort_unstable();
        candidates
    }

    /// Lists the ready tasks of a candidate.
    fn ready_tasks(&self, candidate: &Candidate) -> Vec<TaskId> {
        let first = candidate.first;
        if candidate.urgency == Urgency::Restart {
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

    /// Demand of a task with this claim.
    fn demand(&self, id: TaskId, claim: &Claim) -> Option<Demand> {
        let step = self.step_of(id)?;
        Some(Demand {
            service: self.jobs.get(&id.job)?.service.clone(),
            image: step.best_effort.then_some(claim.image),
            size: claim.size,
            best_effort_cpu_millis: claim.best_effort_cpu_millis,
            has_placement_constraints: step.gang
                || step.constraint.is_some()
                || step.per_runner_max > 0,
        })
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

    pub(super) fn step_of(&self, id: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&id.job)?.spec.steps.get(usize::from(id.step))
    }

    fn may_place(&self, id: TaskId, now: Instant) -> bool {
        let state = self.task(id).map(Task::state);
        match state {
            Some(State::Waiting { not_before }) => not_before.is_none_or(|at| now >= at),
            _ => false,
        }
    }

    /// Places one task, or all tasks of a gang; `false` if it fits on no runner.
    fn place_task(&mut self, id: TaskId, claim: Claim, admission: Admission, now: Instant) -> bool {
        if self.step_of(id).is_some_and(|step| step.gang) {
            return self.place_gang(id, claim, admission, now);
        }
        let Some(key) = self.choose(id, &claim, admission, now) else {
            return false;
        };
        self.assign(id, key, None, claim);
        true
    }

    /// Places all tasks of a gang or none. They share the run number and the checkpoint.
    fn place_gang(&mut self, id: TaskId, claim: Claim, admission: Admission, now: Instant) -> bool {
        let job = &self.jobs[&id.job];
        let tasks = &job.tasks[id.occurrence as usize][usize::from(id.step)].tasks;
        let waiting = |state| matches!(state, State::Waiting { .. });
        if !tasks.iter().all(|task| waiting(task.state())) {
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
        let Some(runners) = self.claim_for_gang(&members, run, claim, admission, now) else {
            return false;
        };
        for (member, key) in members.into_iter().zip(runners) {
            if let Some(task) = self.task_mut(member) {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.assign(member, key, Some(run), claim);
        }
        true
    }

    /// Chooses a runner for each member of a gang and claims it; `None`, without claims, if a member
    /// fits on none.
    fn claim_for_gang(
        &mut self,
        members: &[TaskId],
        run: u32,
        claim: Claim,
        admission: Admission,
        now: Instant,
    ) -> Option<Vec<RunnerKey>> {
        let mut siblings = HashMap::new();
        let mut runners = Vec::with_capacity(members.len());
        for &member in members {
            let chosen = self.choose_beside(&siblings, member, &claim, admission, now);
            let Some(key) = chosen else {
                break;
            };
            self.runner_mut(key).claim(member, run, claim);
            *siblings.entry(key).or_default() += 1;
            runners.push(key);
        }
        if runners.len() == members.len() {
            return Some(runners);
        }
        for (&member, key) in members.iter().zip(runners) {
            self.runner_mut(key).release(member, run);
        }
        None
    }

    fn assign(&mut self, id: TaskId, key: RunnerKey, run: Option<u32>, claim: Claim) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.phase == Phase::Queued {
            job.phase = Phase::Active;
        }
        let Some(task) = self.task(id) else {
            return;
        };
        let run = run.unwrap_or(task.run + 1);
        self.place_run(id, run, key, claim);
        self.note_suspected_run(id);
        log::debug!(
            "event=task.place task={id} run={run} runner={} room={}",
            self.runner(key).info.id,
            self.runner(key).free_capacity()
        );
    }

    /// Chooses the best runner for a task; `None` if it fits on none.
    fn choose(
        &self,
        id: TaskId,
        claim: &Claim,
        admission: Admission,
        now: Instant,
    ) -> Option<RunnerKey> {
        let step = self.step_of(id)?;
        let needs_siblings = step.rack_local || step.per_runner_max > 0;
        let siblings = if needs_siblings {
            self.siblings(id)
        } else {
            HashMap::new()
        };
        self.choose_beside(&siblings, id, claim, admission, now)
    }

    /// Chooses the best runner for a task while its step has this number of tasks on each.
    fn choose_beside(
        &self,
        siblings: &HashMap<RunnerKey, u32>,
        id: TaskId,
        claim: &Claim,
        admission: Admission,
        now: Instant,
    ) -> Option<RunnerKey> {
        let job = self.jobs.get(&id.job)?;
        let step = &job.spec.steps[usize::from(id.step)];
        let rack = self.preferred_rack(step, siblings);
        let task = self.task(id)?;
        let is_suspected = task.is_suspected();
        let is_best_effort = claim.best_effort_cpu_millis > 0;
        let mut best: Option<(Trust, i64, RunnerKey)> = None;
        let (mut able, mut trusted) = (0, 0);
        for (at, runner) in self.runners.iter().enumerate() {
            let key = RunnerKey(at as u32);
            let sibling_count = siblings.get(&key).copied().unwrap_or(0);
            if runner.is_evacuated || !could_take(job, step, runner) {
                continue;
            }
            able += 1;
            let Some(trust) = self.trust(runner, (id, task), admission, now) else {
                continue;
            };
            trusted += usize::from(trust == Trust::Full);
            if runner.has_sole_suspect
                || (is_best_effort && self.is_kept_free(key, now))
                || !runner.backoff.admits(claim.size, now)
                || !satisfies_constraints(step, runner, sibling_count)
            {
                continue;
            }
            let interference_penalty = self.interference_penalty(runner, claim, admission, now);
            let Some(interference_penalty) = interference_penalty else {
                continue;
            };
            let mut score = score(step, claim, runner, rack.as_deref()) - interference_penalty;
            let failed_at = task.recent_failures.last_on(key);
            let seems_to_fail = failed_at.is_some_and(|at| !runner.backoff.has_succeeded_since(at));
            if task.failed_on == Some(key) || seems_to_fail {
                score -= FAILED_ON_PENALTY;
            }
            if runner.is_cold(now) {
                score -= COLD_PENALTY;
            }
            if !runner.suspected_runs.is_empty() {
                score -= SUSPECTED_RUN_PENALTY;
            }
            if is_suspected {
                score -= SUSPECT_NEIGHBOUR_PENALTY * runner.claims.len() as i64;
            }
            if best.is_none_or(|it| (trust, score) > (it.0, it.1)) {
                best = Some((trust, score, key));
            }
        }
        let best = best.filter(|it| it.0 == Trust::Full || 2 * trusted <= able);
        best.map(|(_, _, key)| key)
    }

    /// How far a runner may be given a task; `None` for not at all.
    fn trust(
        &self,
        runner: &Runner,
        (id, task): (TaskId, &Task),
        admission: Admission,
        now: Instant,
    ) -> Option<Trust> {
        if self.is_schedulable(runner, now) {
            let may_be_cause = task.recent_failures.has_any() || runner.backoff.keeps_off(id.job);
            let is_held_back = may_be_cause && runner.backoff.probation_since(now).is_some();
            let is_admitted = !is_held_back || admission == Admission::Retry;
            return is_admitted.then_some(Trust::Full);
        }
        let may_probe = !task.recent_failures.has_any()
            && self.is_heard(runner, now)
            && runner.may_be_probed_by(id.job, now);
        may_probe.then_some(Trust::Probe)
    }

    /// Returns whether a runner may be given new tasks.
    pub(super) fn is_schedulable(&self, runner: &Runner, now: Instant) -> bool {
        self.is_heard(runner, now) && !runner.is_backed_off(now)
    }

    /// Returns whether a runner that is not closed has reported recently.
    fn is_heard(&self, runner: &Runner, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at + self.report_age_max();
        !runner.is_closed() && runner.last_report_at.is_some_and(is_recent)
    }

    /// Counts the placed tasks of the same step and occurrence, by runner.
    pub(super) fn siblings(&self, id: TaskId) -> HashMap<RunnerKey, u32> {
        let mut counts = HashMap::new();
        let Some(job) = self.jobs.get(&id.job) else {
            return counts;
        };
        let step = &job.tasks[id.occurrence as usize][usize::from(id.step)];
        for task in &step.tasks {
            if let State::Placed { runner, .. } = task.state() {
                *counts.entry(runner).or_default() += 1;
            }
        }
        counts
    }

    fn preferred_rack(
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
        let open = siblings
            .iter()
            .filter(|&(&key, _)| !self.runner(key).is_evacuated);
        let (&key, _) = open.max_by_key(|&(_, &count)| count)?;
        // The second label of a runner is its rack.
        self.runner(key).info.labels.get(1).cloned()
    }
}

/// Returns whether an empty runner could take the tasks of a step.
pub(super) fn could_take(job: &Job, step: &StepSpec, runner: &Runner) -> bool {
    runner.info.service == job.service
        && is_eligible(step, runner)
        && step.claim().fits(runner.info.capacity)
}

/// Returns whether a runner has the label that a step requires.
pub(super) fn is_eligible(step: &StepSpec, runner: &Runner) -> bool {
    let label = step.constraint.as_ref();
    label.is_none_or(|label| runner.has_label(label))
}

pub(super) fn satisfies_constraints(step: &StepSpec, runner: &Runner, sibling_count: u32) -> bool {
    is_eligible(step, runner)
        && (step.per_runner_max == 0 || sibling_count < step.per_runner_max)
        && step.claim().fits(runner.free_capacity())
}

/// Score of the preferred rack: work on another takes several times as long.
const RACK_WEIGHT: i64 = 1_000_000;

/// Penalty on the score of a runner on which the task has failed last, or failed and no run has succeeded
/// since: a task fails its job after a few failures, so any other runner is better.
const FAILED_ON_PENALTY: i64 = 1_000_000_000;

/// Penalty on the score of a runner that is still slow after its start: warm ones are filled first,
/// those of the preferred rack before those of others.
const COLD_PENALTY: i64 = RACK_WEIGHT / 2;

/// Penalty on the score of a runner with a new run that may crash it.
const SUSPECTED_RUN_PENALTY: i64 = 100_000_000;

/// Penalty on the score of a runner for each run that a task which may crash it would end.
const SUSPECT_NEIGHBOUR_PENALTY: i64 = RACK_WEIGHT;

/// Scores a runner; higher is better. A task that reserves CPU goes where the least would be left
/// free; a best-effort task goes where the most CPU is idle.
fn score(step: &StepSpec, claim: &Claim, runner: &Runner, rack: Option<&str>) -> i64 {
    let in_rack = rack.is_some_and(|rack| runner.has_label(rack));
    let rack_score = if in_rack { RACK_WEIGHT } else { 0 };
    if !step.best_effort {
        return rack_score - i64::from(runner.free_capacity().cpu_millis);
    }
    rack_score + idle_cpu_millis(runner) - i64::from(claim.best_effort_cpu_millis)
}

/// Processor time left for more best-effort work, in thousandths of a core.
pub(super) fn idle_cpu_millis(runner: &Runner) -> i64 {
    let latency_critical = i64::from(runner.latency_critical_cpu_millis);
    let others = i64::from(runner.used.cpu_millis) - latency_critical;
    let busy = others + latency_critical * LATENCY_CRITICAL_USE_PERCENT / 100;
    i64::from(runner.info.capacity.cpu_millis) - busy - i64::from(runner.best_effort_cpu_millis)
}

/// As [`idle_cpu_millis`], by what the runs used in the last report rather than by what they may use.
pub(super) fn measured_idle_cpu_millis(runner: &Runner) -> i64 {
    i64::from(runner.info.capacity.cpu_millis) - runner.busy_cpu_millis()
}
