use super::{
    candidates::Candidate,
    infeasible::{Demand, InfeasibleDemands},
    interference::interference_looks,
    work::Work,
    Engine, Job, State, Task,
};
use crate::{
    fleet::{Claim, Runner, RunnerKey, Trial, LATENCY_CRITICAL_USE_PERCENT},
    Phase, StepSpec, TaskId,
};
use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

/// Most work in a pass, in looks at runners. A pass of a group with thousands of runners and tasks would
/// otherwise outlast the owner's session, and that of each owner after it.
const PASS_WORK_MAX: usize = 600_000;
/// Most work besides in a pass to place tasks that may be the cause of failures.
const RETRY_WORK_MAX: usize = 100_000;
/// Most work besides in a pass to place tasks on trial.
const TRIAL_WORK_MAX: usize = 100_000;
/// Part of the runs that may be on their way which is left to steps that others keep from their turn.
const SHARED_STARTS_DIVISOR: usize = 4;
/// Runs of jobs with nothing running that may be placed in a pass, also while too many others are on their
/// way: the tasks of a gang are placed together, however many.
const IDLE_STARTS_MIN: usize = 16;
/// Most tasks of a step that are placed in its share of a pass.
const SHARED_STEP_TASKS_MAX: usize = 8;
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
pub(super) enum Trust {
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
    /// Steps of best-effort tasks that were held back in the pass.
    seen_held: HashSet<Candidate>,
    work: Work,
    /// Number of runs that may still be placed.
    starts_left: usize,
    /// Most tasks of a step to place at a time.
    step_tasks_max: usize,
    /// Whether a runner to be kept free was looked for.
    pub(super) has_sought_runner: bool,
}

/// How many tasks of a step are on each runner.
pub(super) type Siblings = HashMap<RunnerKey, u32>;

/// What is placed, and where it may be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    pub(super) claim: Claim,
    pub(super) admission: Admission,
}

/// A best-effort step that estimates have held back for [`TRIAL_AFTER`].
struct HeldStep {
    /// See [`Engine::has_placed_tasks`].
    has_placed_tasks: bool,
    /// When it was first held back, or last placed on trial.
    waits_since: Instant,
    candidate: Candidate,
    claim: Claim,
    demand: Demand,
}

/// What became of an attempt to place the tasks of a step.
#[derive(Default)]
struct Tried {
    placed: usize,
    /// The task that fits on no runner.
    rejected: Option<TaskId>,
}

impl Pass {
    /// Returns whether no more tasks are placed in this part of the pass.
    fn is_over(&self) -> bool {
        self.work.is_spent() || self.starts_left == 0
    }

    /// Returns whether a demand is known to fit on no runner which this admission allows.
    fn rules_out(&mut self, admission: Admission, demand: &Demand) -> bool {
        let mut work = self.work;
        let is_ruled_out = self.infeasible(admission).rules_out(demand, &mut work);
        self.work = work;
        is_ruled_out
    }

    /// Demands that fit on no runner which this admission allows.
    fn infeasible(&mut self, admission: Admission) -> &mut InfeasibleDemands {
        match admission {
            Admission::Predicted | Admission::Retry => &mut self.infeasible,
            Admission::Trial => &mut self.infeasible_trials,
            Admission::Share => &mut self.infeasible_shares,
        }
    }
}

impl Engine {
    /// Places ready tasks in placement order. Once a demand did not fit, the rest of the step and
    /// all steps that demand at least as much are skipped in this pass. A fenced engine no longer
    /// owns its group and places nothing, nor does one that knows only an old instance list.
    pub(crate) fn place_ready(&mut self, wall_ms: u64, now: Instant) {
        if self.fenced || !self.is_listing_current(now) {
            return;
        }
        let mut pass = Pass::default();
        self.place_in_order(&mut pass, wall_ms, now);
        (pass.starts_left, pass.step_tasks_max) = (usize::MAX, usize::MAX);
        pass.work = Work::new(RETRY_WORK_MAX);
        self.place_retries(&mut pass, now);
        pass.work = Work::new(TRIAL_WORK_MAX);
        self.place_trials(&mut pass, now);
    }

    /// Places ready tasks in placement order, as far as predictions admit them. Where the work or the
    /// starts that are left don't suffice for all, half of the work and a part of the starts are for
    /// the steps behind: first one task of each whose job has nothing running, then a few tasks of
    /// each in turn. Otherwise one large job, or demands that fit nowhere, would keep the others
    /// waiting while there is room for them.
    fn place_in_order(&mut self, pass: &mut Pass, wall_ms: u64, now: Instant) {
        let candidates = self.candidates(wall_ms);
        let window = self.start_window.size(now);
        let on_their_way = self.start_window.on_their_way();
        pass.work = Work::new(PASS_WORK_MAX / 2);
        pass.step_tasks_max = usize::MAX;
        let shared = window / SHARED_STARTS_DIVISOR;
        pass.starts_left = (window - shared).saturating_sub(on_their_way);
        let Some(ended_at) = self.place_candidates(&candidates, pass, now) else {
            (self.resume_at, self.resume_idle_at) = (None, None);
            return;
        };
        let starts_left = window.saturating_sub(self.start_window.on_their_way());
        pass.starts_left = starts_left.max(IDLE_STARTS_MIN);
        let rest = &candidates[ended_at..];
        let idle = rest
            .iter()
            .filter(|it| !self.has_placed_tasks(it.first.task));
        let idle: Vec<_> = idle.copied().collect();
        pass.work = Work::new(PASS_WORK_MAX / 4);
        pass.step_tasks_max = 1;
        self.resume_idle_at = self.place_in_turn(&idle, self.resume_idle_at, pass, now);
        pass.starts_left = window.saturating_sub(self.start_window.on_their_way());
        pass.work.add(PASS_WORK_MAX / 4);
        pass.step_tasks_max = SHARED_STEP_TASKS_MAX;
        self.resume_at = self.place_in_turn(rest, self.resume_at, pass, now);
    }

    /// Places tasks of candidates from the one at which the pass before ended; returns the one at which
    /// this one does.
    fn place_in_turn(
        &mut self,
        candidates: &[Candidate],
        resume_at: Option<Candidate>,
        pass: &mut Pass,
        now: Instant,
    ) -> Option<Candidate> {
        let is_before = |at: Candidate| candidates.partition_point(|it| *it < at);
        let candidates = &candidates[resume_at.map_or(0, is_before)..];
        let ended_at = self.place_candidates(candidates, pass, now);
        ended_at.map(|at| candidates[at])
    }

    /// Places the tasks of candidates while they fit; returns the index of the candidate at which
    /// no work or start was left.
    fn place_candidates(
        &mut self,
        candidates: &[Candidate],
        pass: &mut Pass,
        now: Instant,
    ) -> Option<usize> {
        candidates.iter().position(|candidate| {
            if !pass.is_over() {
                self.place_candidate(candidate, pass, now);
            }
            pass.is_over()
        })
    }

    /// Places tasks that may be the cause of failures on runners on probation. The one task that such a
    /// runner is given shows more if it is another one.
    fn place_retries(&mut self, pass: &mut Pass, now: Instant) {
        for candidate in std::mem::take(&mut pass.retries) {
            let Some(claim) = self.claim_of(candidate.first.task, now) else {
                continue;
            };
            let placement = Placement {
                claim,
                admission: Admission::Retry,
            };
            self.place_tasks(&candidate, &placement, pass, now);
            if pass.work.is_spent() {
                return;
            }
        }
    }

    /// Places the tasks of a candidate while they fit.
    fn place_candidate(&mut self, candidate: &Candidate, pass: &mut Pass, now: Instant) {
        pass.work.spend(1);
        // All tasks of a step have the same demand.
        let first = candidate.first.task;
        if self.waits_for_namesake(first.job) {
            return;
        }
        let Some(claim) = self.claim_of(first, now) else {
            return;
        };
        let Some(demand) = self.demand(first, &claim) else {
            return;
        };
        let is_best_effort = demand.best_effort_cpu_millis > 0;
        let is_ruled_out = pass.rules_out(Admission::Predicted, &demand);
        if is_ruled_out && !is_best_effort {
            self.keep_runner_free(first, &claim, pass, now);
            return;
        }
        let placement = Placement {
            claim,
            admission: Admission::Predicted,
        };
        let tried = if is_ruled_out {
            Tried::default()
        } else {
            self.place_tasks(candidate, &placement, pass, now)
        };
        let is_rejected = is_ruled_out || tried.rejected.is_some();
        if let Some(waiting) = tried.rejected.filter(|_| !is_best_effort) {
            self.keep_runner_free(waiting, &claim, pass, now);
        }
        if is_best_effort {
            let was_held_since = self.hold_step(first, tried.placed > 0, is_rejected, now);
            let since = was_held_since.filter(|&at| now >= at + TRIAL_AFTER);
            if let Some(since) = since.filter(|_| pass.seen_held.insert(*candidate)) {
                let tried_at = self.step(first).and_then(|step| step.tried_at);
                pass.held.push(HeldStep {
                    has_placed_tasks: self.has_placed_tasks(first),
                    waits_since: tried_at.map_or(since, |at| at.max(since)),
                    candidate: *candidate,
                    claim,
                    demand: demand.clone(),
                });
            }
        }
        let is_retry = tried
            .rejected
            .is_some_and(|id| self.is_kept_off_runners(id));
        if is_retry {
            pass.retries.push(*candidate);
        } else if is_rejected && !is_ruled_out {
            pass.infeasible.insert(demand);
        }
        if tried.placed > 0 {
            log::info!(
                "event=step.place job={} occurrence={} step={} priority={} urgency={:?} \
                 placed={} ready={} policy={}",
                first.job,
                first.occurrence,
                first.step,
                candidate.priority,
                candidate.urgency,
                tried.placed,
                self.ready_count(candidate),
                self.policy.version
            );
        }
    }

    /// Places the tasks of a candidate while they fit, at most so many as the pass allows.
    fn place_tasks(
        &mut self,
        candidate: &Candidate,
        placement: &Placement,
        pass: &mut Pass,
        now: Instant,
    ) -> Tried {
        let mut tried = Tried::default();
        let mut siblings = self.siblings(candidate.first.task, &mut pass.work);
        let mut from = candidate.first;
        while !pass.is_over() && tried.placed < pass.step_tasks_max {
            let (next, seen) = self.next_placeable(candidate, from, |task| task.may_place(now));
            pass.work.spend_on_entries(seen);
            let Some(id) = next else {
                break;
            };
            if !self.place_task(&mut siblings, id, placement, &mut pass.work, now) {
                tried.rejected = Some(id);
                break;
            }
            tried.placed += 1;
            pass.starts_left = pass.starts_left.saturating_sub(1);
            from.task = id;
        }
        tried
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
        while !pass.work.is_spent() {
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
        let first = step.candidate.first;
        let (next, seen) = self.next_placeable(&step.candidate, first, |task| task.may_place(now));
        pass.work.spend_on_entries(seen);
        let Some(id) = next else {
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
        if pass.rules_out(admission, demand) {
            return false;
        }
        let mut siblings = self.siblings(id, &mut pass.work);
        let placement = Placement { claim, admission };
        if !self.place_task(&mut siblings, id, &placement, &mut pass.work, now) {
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
        let is_long_running = job.spec.steps[usize::from(id.step)].long_running;
        let placed = job.placed_batch_tasks.get(id.occurrence as usize);
        !is_long_running && placed.is_some_and(|&count| count > 0)
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

    pub(super) fn step_of(&self, id: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&id.job)?.spec.steps.get(usize::from(id.step))
    }

    /// Places one task, or all tasks of a gang; `false` if it fits on no runner.
    fn place_task(
        &mut self,
        siblings: &mut Siblings,
        id: TaskId,
        placement: &Placement,
        work: &mut Work,
        now: Instant,
    ) -> bool {
        if self.is_gang(id) {
            return self.place_gang(id, placement, work, now);
        }
        let Some(key) = self.choose(siblings, id, placement, work, now) else {
            return false;
        };
        let run = self.task(id).map_or(0, |task| task.run) + 1;
        self.assign(id, key, run, placement.claim);
        *siblings.entry(key).or_default() += 1;
        true
    }

    pub(super) fn assign(&mut self, id: TaskId, key: RunnerKey, run: u32, claim: Claim) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.phase == Phase::Queued {
            job.phase = Phase::Active;
        }
        self.place_run(id, run, key, claim);
        self.note_suspected_run(id);
        log::debug!(
            "event=task.place task={id} run={run} runner={} room={}",
            self.runner(key).info.id,
            self.runner(key).free_capacity()
        );
    }

    /// Chooses the best runner for a task while its step has this number of tasks on each; `None` if it
    /// fits on none.
    fn choose(
        &self,
        siblings: &Siblings,
        id: TaskId,
        placement: &Placement,
        work: &mut Work,
        now: Instant,
    ) -> Option<RunnerKey> {
        let mut best: Option<(Trust, i64, RunnerKey)> = None;
        self.compare_runners(siblings, id, placement, work, now, |trust, score, key| {
            if best.is_none_or(|it| (trust, score) > (it.0, it.1)) {
                best = Some((trust, score, key));
            }
        });
        best.map(|(_, _, key)| key)
    }

    /// Passes trust, score and key of each runner that a task may be placed on to `found`, while its
    /// step has this number of tasks on each.
    pub(super) fn compare_runners(
        &self,
        siblings: &Siblings,
        id: TaskId,
        placement: &Placement,
        work: &mut Work,
        now: Instant,
        mut found: impl FnMut(Trust, i64, RunnerKey),
    ) {
        let Some(compared) = self.compared(siblings, id, placement) else {
            return;
        };
        let (mut able, mut trusted) = (0, 0);
        let mut probes = Vec::new();
        for (at, runner) in self.runners.iter().enumerate() {
            work.spend(1);
            let key = RunnerKey(at as u32);
            if runner.is_evacuated || !could_take(compared.job, compared.step, runner) {
                continue;
            }
            able += 1;
            let Some(trust) = self.trust(runner, (id, compared.task), placement.admission, now)
            else {
                continue;
            };
            trusted += usize::from(trust == Trust::Full);
            work.spend(interference_looks(runner, &placement.claim));
            let sibling_count = siblings.get(&key).copied().unwrap_or(0);
            let score = self.score_on(key, sibling_count, &compared, now);
            match (score, trust) {
                (Some(score), Trust::Full) => found(trust, score, key),
                (Some(score), Trust::Probe) => probes.push((score, key)),
                (None, _) => {}
            }
        }
        if 2 * trusted <= able {
            for (score, key) in probes {
                found(Trust::Probe, score, key);
            }
        }
    }

    /// Trust and score of a runner for a task, as in [`Self::compare_runners`].
    pub(super) fn rank_runner(
        &self,
        key: RunnerKey,
        sibling_count: u32,
        id: TaskId,
        placement: &Placement,
        now: Instant,
    ) -> Option<(Trust, i64)> {
        let siblings = HashMap::from([(key, sibling_count)]);
        let compared = self.compared(&siblings, id, placement)?;
        let trust = self.trust(
            self.runner(key),
            (id, compared.task),
            placement.admission,
            now,
        )?;
        let score = self.score_on(key, sibling_count, &compared, now)?;
        Some((trust, score))
    }

    fn compared<'a>(
        &'a self,
        siblings: &Siblings,
        id: TaskId,
        placement: &'a Placement,
    ) -> Option<Compared<'a>> {
        let job = self.jobs.get(&id.job)?;
        let step = &job.spec.steps[usize::from(id.step)];
        Some(Compared {
            job,
            step,
            task: self.task(id)?,
            rack: self.preferred_rack(step, siblings),
            placement,
        })
    }

    /// Scores a runner that could take a task and is trusted with it; `None` if it does not fit there.
    fn score_on(
        &self,
        key: RunnerKey,
        sibling_count: u32,
        compared: &Compared<'_>,
        now: Instant,
    ) -> Option<i64> {
        let runner = self.runner(key);
        let (step, task) = (compared.step, compared.task);
        let Placement { claim, admission } = compared.placement;
        let is_best_effort = claim.best_effort_cpu_millis > 0;
        if runner.has_sole_suspect
            || (is_best_effort && self.is_kept_free(key, now))
            || !runner.backoff.admits(claim.size, now)
            || !satisfies_constraints(step, runner, sibling_count)
        {
            return None;
        }
        let interference_penalty = self.interference_penalty(runner, claim, *admission, now)?;
        let rack = compared.rack.as_deref();
        let mut score = score(step, claim, runner, rack) - interference_penalty;
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
        if task.is_suspected() {
            score -= SUSPECT_NEIGHBOUR_PENALTY * runner.claims.len() as i64;
        }
        Some(score)
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

    /// Counts the placed tasks of the same step and occurrence, by runner, if it matters for the choice
    /// of one.
    pub(super) fn siblings(&self, id: TaskId, work: &mut Work) -> Siblings {
        let mut counts = Siblings::new();
        let needs_siblings = |step: &&StepSpec| step.rack_local || step.per_runner_max > 0;
        let step = self.step(id).zip(self.step_of(id).filter(needs_siblings));
        let Some((step, _)) = step else {
            return counts;
        };
        work.spend_on_entries(step.tasks.len());
        for task in &step.tasks {
            if let State::Placed { runner, .. } = task.state() {
                *counts.entry(runner).or_default() += 1;
            }
        }
        counts
    }

    fn preferred_rack(&self, step: &StepSpec, siblings: &Siblings) -> Option<String> {
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

/// A task for which runners are compared, with what it needs.
struct Compared<'a> {
    job: &'a Job,
    step: &'a StepSpec,
    task: &'a Task,
    /// The preferred rack.
    rack: Option<String>,
    placement: &'a Placement,
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
