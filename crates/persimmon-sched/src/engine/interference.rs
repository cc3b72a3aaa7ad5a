//! Interference of best-effort runs with latency-critical ones: limits where best-effort runs are
//! placed, and throttles, pauses or evicts them when a tail latency nears its target.

use super::{
    place::{idle_cpu_millis, measured_idle_cpu_millis, Admission},
    Engine, Order, Stage,
};
use crate::{
    fleet::{Claim, ImageKey, Runner, RunnerKey, TailLatency, Trial},
    RunStatus, TaskId,
};
use persimmon_interference::{ClassKey, ServiceKey};
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Ratio of tail latency to target from which interfering runs are throttled or evicted; see
/// docs/measurements/owner.md.
const THROTTLE_RATIO: f64 = 0.95;
/// Predicted ratio up to which a best-effort run may be placed, unless the predicted rise is below
/// [`ATTRIBUTED_RISE_MIN`].
const PLACEMENT_RATIO_MAX: f64 = 0.6;
/// Ratio up to which CPU limits are raised; see docs/measurements/owner.md.
const RELAX_RATIO_MAX: f64 = 0.8;
/// Minimum interval between two interventions on a runner: a measurement covers half a second, and
/// an intervention takes a tenth of a second to take effect.
const ACTION_INTERVAL_MIN: Duration = Duration::from_millis(700);
/// A run placed less than this time before a measurement is not reflected in it.
const MEASUREMENT_DELAY: Duration = Duration::from_millis(700);
/// Minimum rise of the logarithm of a tail latency for which a run is held responsible.
const ATTRIBUTED_RISE_MIN: f64 = 0.15;
/// All best-effort runs on a runner are paused once a tail latency has been at [`THROTTLE_RATIO`]
/// or above for this time.
const PAUSE_ALL_AFTER: Duration = Duration::from_millis(1_300);
/// Share of a runner's processors up to which best-effort work counts as absent in a measurement.
const ABSENT_USE_MAX: f64 = 0.01;
/// Time after which a run that uses no processor time is resumed: a pause beside a tail latency that
/// stays as it is, or one that was carried out late, would otherwise last for as long as the runner.
const PAUSE_MAX: Duration = Duration::from_secs(5);
/// Evictions of a task without a newer checkpoint: with no bound, a task that interferes everywhere
/// would start from nothing again and again.
const UNSAVED_EVICTIONS_MAX: u32 = 1;
/// Interval after which an unacknowledged CPU limit is ordered again.
const THROTTLE_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// CPU limit at which a paused run resumes, in percent.
const RESUME_PERCENT: u8 = 50;
/// Share of a run's processor time that it only exceeds while unthrottled: above
/// [`RESUME_PERCENT`] by more than the error of a measurement.
const UNTHROTTLED_USE_MIN: f64 = 0.75;
/// Penalty on the score of a runner for each unit of predicted rise, in thousandths of a core.
const RISE_PENALTY: f64 = 50_000.0;

/// Minimum interval between two trials on a runner with latency-critical tasks, unless the first is
/// measured and did no harm: longer than it takes to measure the effect of one and to end it.
const TRIAL_INTERVAL_MIN: Duration = Duration::from_secs(4);
/// Penalty on the score of a runner on trial for each unit by which the logarithm of a tail latency
/// is predicted to exceed that of [`PLACEMENT_RATIO_MAX`]; it outweighs idle processors.
const TRIAL_EXCESS_PENALTY: f64 = 10_000_000.0;

/// Penalty on the score of a runner for each other latency-critical image on it, larger than any
/// difference in free resources. Images are sensitive to different batch work: keeping them apart
/// leaves more runners on which a given batch image does not interfere.
const OTHER_IMAGE_PENALTY: i64 = 200_000;

/// A best-effort run and its use of the runner.
struct BestEffortRun {
    run: (TaskId, u32),
    image: ImageKey,
    /// Share of the runner's processors used in the last half second.
    used: f64,
    /// Share of its own maximum processor time used in the last half second.
    use_ratio: f64,
    /// CPU limit last ordered; `None` if an earlier owner may have ordered any.
    percent: Option<u8>,
    /// See [`Claim::idle_since`].
    idle_since: Option<Instant>,
}

impl BestEffortRun {
    /// Returns whether the run has used no processor time for longer than it may be paused.
    fn is_idle_for_long(&self, now: Instant) -> bool {
        self.idle_since
            .is_some_and(|since| now >= since + PAUSE_MAX)
    }

    /// The CPU limit to order for a run that is idle for long.
    fn resumed_limit(&self) -> u8 {
        self.raised_limit().unwrap_or(100)
    }

    /// The next higher CPU limit to order; `None` if the run is unthrottled.
    fn raised_limit(&self) -> Option<u8> {
        match self.percent {
            Some(100) => None,
            Some(percent) if percent < RESUME_PERCENT => Some(RESUME_PERCENT),
            // The limit stays unknown: the measurement may be from before a pause.
            None if self.use_ratio > UNTHROTTLED_USE_MIN => None,
            None if self.use_ratio <= 0.0 => Some(RESUME_PERCENT),
            Some(_) | None => Some(100),
        }
    }
}

impl Engine {
    /// Handles a runner's acknowledgement of a CPU limit.
    pub fn handle_throttle_answer(&mut self, id: TaskId, run: u32, percent: u8, now: Instant) {
        let Some((runner, _)) = self.placement(id, run) else {
            return;
        };
        let Some(claim) = self.runner_mut(runner).claims.get_mut(&(id, run)) else {
            return;
        };
        // Calls may overtake each other: after an answer to an earlier order, the limit in effect
        // is unknown.
        claim.throttle_due_at = (claim.percent != Some(percent)).then_some(now);
        log::debug!("event=run.pace_answer task={id} run={run} percent={percent}");
    }

    pub(crate) fn image_key(&mut self, name: &str) -> ImageKey {
        let next = ImageKey(self.image_keys.len() as u32);
        if let Some(&image) = self.image_keys.get(name) {
            return image;
        }
        self.image_keys.insert(name.to_owned(), next);
        next
    }

    /// Updates the interference model from the measurements of a report and acts on interference.
    pub(crate) fn process_measurements(
        &mut self,
        key: RunnerKey,
        running: &[RunStatus],
        now: Instant,
    ) {
        self.record_use(key, running, now);
        let (tails, batch_runs) = self.measurements(key, running, now);
        let used: Vec<_> = batch_runs
            .iter()
            .map(|batch_run| (ClassKey(batch_run.image.0), batch_run.used))
            .collect();
        let samples = tails
            .iter()
            .map(|tail| (ServiceKey(tail.image.0), tail.ratio));
        self.interference.learn(samples, &used);
        let runner = self.runner_mut(key);
        for batch_run in &batch_runs {
            if let Some(claim) = runner.claims.get_mut(&batch_run.run) {
                claim.idle_since = batch_run.idle_since;
            }
        }
        runner.set_tails(tails);
        if let Some(measured_since) = now.checked_sub(MEASUREMENT_DELAY) {
            runner.unmeasured.drop_placed_by(measured_since);
        }
        self.settle_trial(key, now);
        if !batch_runs.is_empty() {
            self.repeat_throttles(key, &batch_runs, now);
            self.control_interference(key, &batch_runs, now);
        }
    }

    /// Ends the trial on a runner once the last report reflects its effect and no tail latency has
    /// reached the threshold since it was placed.
    fn settle_trial(&mut self, key: RunnerKey, now: Instant) {
        let runner = self.runner(key);
        let Some(mut trial) = runner.trial else {
            return;
        };
        let is_over_threshold = runner.worst_tail_ratio() >= THROTTLE_RATIO;
        trial.has_done_harm |= is_over_threshold;
        let (id, run) = trial.run;
        let stage = self.stage_on(key, id, run);
        trial.has_ended = stage.is_none() && !is_over_threshold;
        let is_measured = match stage {
            Some(Stage::Running(since)) => now >= since + MEASUREMENT_DELAY,
            Some(_) => false,
            None => now >= trial.placed_at + MEASUREMENT_DELAY,
        };
        let is_over = is_measured && !trial.has_done_harm;
        self.runner_mut(key).trial = Some(trial).filter(|_| !is_over);
    }

    /// Records how much of the processors each run uses. A measurement of a run that was placed
    /// just before covers only part of its time.
    fn record_use(&mut self, key: RunnerKey, running: &[RunStatus], now: Instant) {
        let runner = self.runner_mut(key);
        let mut best_effort_millis = 0;
        for status in running {
            let run = (status.task, status.run);
            if let Some(claim) = runner.claims.get(&run) {
                let is_measured =
                    !claim.latency_critical && claim.placed_at + MEASUREMENT_DELAY <= now;
                let cpu_millis = u32::try_from(status.measurement).unwrap_or(u32::MAX);
                if claim.best_effort_cpu_millis > 0 {
                    best_effort_millis += status.measurement;
                }
                runner.set_measured(run, is_measured.then_some(cpu_millis));
            }
        }
        let capacity = f64::from(runner.info.capacity.cpu_millis.max(1));
        let is_unused = best_effort_millis as f64 / capacity < ABSENT_USE_MAX;
        runner.unused_since = runner.unused_since.or(Some(now)).filter(|_| is_unused);
    }

    fn measurements(
        &self,
        key: RunnerKey,
        running: &[RunStatus],
        now: Instant,
    ) -> (Vec<TailLatency>, Vec<BestEffortRun>) {
        let runner = self.runner(key);
        let capacity = f64::from(runner.info.capacity.cpu_millis.max(1));
        let known = runner.tails().iter();
        let violating_since: HashMap<_, _> = known.map(|it| (it.run, it.violating_since)).collect();
        let (mut tails, mut batch_runs) = (Vec::new(), Vec::new());
        for status in running {
            let run = (status.task, status.run);
            let Some(claim) = runner.claims.get(&run) else {
                continue;
            };
            if claim.best_effort_cpu_millis > 0 {
                batch_runs.push(BestEffortRun {
                    run,
                    image: claim.image,
                    used: status.measurement as f64 / capacity,
                    use_ratio: status.measurement as f64 / f64::from(claim.best_effort_cpu_millis),
                    percent: claim.percent,
                    idle_since: claim
                        .idle_since
                        .or(Some(now))
                        .filter(|_| status.measurement == 0),
                });
            }
            // A latency-critical task that is still starting reports no tail latency.
            if claim.latency_critical && status.measurement > 0 {
                let since = violating_since.get(&run).copied().flatten();
                tails.push(self.tail(runner, claim, status, since.unwrap_or(now), now));
            }
        }
        (tails, batch_runs)
    }

    fn tail(
        &self,
        runner: &Runner,
        claim: &Claim,
        status: &RunStatus,
        violating_since: Instant,
        now: Instant,
    ) -> TailLatency {
        let run = (status.task, status.run);
        let target_ms = self.jobs.get(&status.task.job).map_or(1, |job| {
            job.spec.steps[usize::from(status.task.step)].tail_target_ms
        });
        let ratio = status.measurement as f64 / target_ms.max(1) as f64;
        let is_without_best_effort = runner
            .unused_since
            .is_some_and(|at| now >= at + MEASUREMENT_DELAY);
        TailLatency {
            run,
            image: claim.image,
            ratio,
            ln_ratio: ratio.ln(),
            violating_since: (ratio >= THROTTLE_RATIO && !is_without_best_effort)
                .then_some(violating_since),
        }
    }

    /// Throttles, evicts or unthrottles the best-effort runs on a runner.
    fn control_interference(&mut self, key: RunnerKey, batch_runs: &[BestEffortRun], now: Instant) {
        let runner = self.runner(key);
        let may_act = runner
            .throttled_at
            .is_none_or(|at| now >= at + ACTION_INTERVAL_MIN);
        let violating = runner.tails().iter();
        let violating = violating.filter_map(|tail| Some((tail.violating_since?, tail.image)));
        let (since, images): (Vec<_>, BTreeSet<_>) = violating.unzip();
        let Some(since) = since.into_iter().min() else {
            if may_act {
                self.raise_cpu_limits(key, batch_runs, now);
            }
            return;
        };
        if now >= since + PAUSE_ALL_AFTER {
            self.throttle_all(key, batch_runs, 0, now);
            return;
        }
        if !may_act {
            return;
        }
        let mut acted = false;
        for batch_run in batch_runs.iter().filter(|it| it.percent != Some(0)) {
            if self.attributed_rise(&images, batch_run) >= ATTRIBUTED_RISE_MIN {
                acted = true;
                self.evict_or_pause(key, batch_run, now);
            }
        }
        if acted {
            self.runner_mut(key).throttled_at = Some(now);
        }
    }

    /// Returns the largest rise of the logarithm of a tail latency of these images that the model
    /// attributes to a run.
    fn attributed_rise(&self, images: &BTreeSet<ImageKey>, batch_run: &BestEffortRun) -> f64 {
        let class = ClassKey(batch_run.image.0);
        let each = images.iter().map(|image| {
            let service = ServiceKey(image.0);
            self.interference.weight(service, class) * batch_run.used
        });
        each.fold(0.0, f64::max)
    }

    /// Evicts a run that can resume from a checkpoint, and pauses any other, as well as one whose
    /// task was evicted before without having got any further since.
    fn evict_or_pause(&mut self, key: RunnerKey, batch_run: &BestEffortRun, now: Instant) {
        let (id, run) = batch_run.run;
        let is_checkpointing = self.step_of(id).is_some_and(|step| step.checkpointing);
        let task = self.task_mut(id).filter(|_| is_checkpointing);
        let task = task.filter(|task| task.unsaved_evictions < UNSAVED_EVICTIONS_MAX);
        if let Some(task) = task {
            task.unsaved_evictions += 1;
            log::info!(
                "event=run.evict task={id} run={run} runner={} used={:.2}",
                self.runner(key).info.id,
                batch_run.used
            );
            self.end_run(id, now);
        } else {
            self.set_cpu_limit(key, batch_run.run, 0, now);
        }
    }

    /// Raises the CPU limits of all runs by one step once every tail latency is well below its
    /// target. Before, it raises those of runs that have been idle for long, one at a time where a
    /// tail latency is over the threshold without any of them.
    fn raise_cpu_limits(&mut self, key: RunnerKey, batch_runs: &[BestEffortRun], now: Instant) {
        let runner = self.runner(key);
        let worst = runner.worst_tail_ratio();
        let is_long_ago = |at: Instant| now >= at + PAUSE_MAX;
        let limits_max = if worst < THROTTLE_RATIO {
            batch_runs.len()
        } else if is_unused(runner, now) && runner.throttled_at.is_none_or(is_long_ago) {
            1
        } else {
            return;
        };
        let limit = |batch_run: &BestEffortRun| {
            if batch_run.is_idle_for_long(now) {
                return Some(batch_run.resumed_limit());
            }
            batch_run
                .raised_limit()
                .filter(|_| worst <= RELAX_RATIO_MAX)
        };
        let limits = batch_runs.iter().filter_map(|it| Some((it, limit(it)?)));
        let mut limits: Vec<_> = limits.collect();
        if limits.is_empty() {
            return;
        }
        // Those that have been idle for longest go first, so that each gets its turn.
        limits.sort_by_key(|(batch_run, _)| batch_run.idle_since);
        for (batch_run, percent) in limits.into_iter().take(limits_max) {
            self.set_cpu_limit(key, batch_run.run, percent, now);
        }
        self.runner_mut(key).throttled_at = Some(now);
    }

    fn throttle_all(
        &mut self,
        key: RunnerKey,
        batch_runs: &[BestEffortRun],
        percent: u8,
        now: Instant,
    ) {
        let others: Vec<_> = batch_runs
            .iter()
            .filter(|batch_run| batch_run.percent != Some(percent))
            .collect();
        if others.is_empty() {
            return;
        }
        for batch_run in others {
            self.set_cpu_limit(key, batch_run.run, percent, now);
        }
        self.runner_mut(key).throttled_at = Some(now);
    }

    fn set_cpu_limit(&mut self, key: RunnerKey, run: (TaskId, u32), percent: u8, now: Instant) {
        let runner = self.runner_mut(key);
        let Some(claim) = runner.claims.get_mut(&run) else {
            return;
        };
        claim.percent = Some(percent);
        claim.idle_since = claim.idle_since.map(|_| now);
        claim.throttle_due_at = Some(now + THROTTLE_RETRY_INTERVAL);
        let runner = runner.info.id.clone();
        let (task, run) = run;
        log::info!("event=run.pace task={task} run={run} runner={runner} percent={percent}");
        self.orders.push(Order::Throttle {
            runner,
            task,
            run,
            percent,
        });
    }

    /// Repeats the unacknowledged CPU limits of runs that are not being stopped.
    fn repeat_throttles(&mut self, key: RunnerKey, batch_runs: &[BestEffortRun], now: Instant) {
        for batch_run in batch_runs {
            let (id, run) = batch_run.run;
            let is_running = matches!(self.stage_on(key, id, run), Some(Stage::Running(_)));
            let claim = self.runner(key).claims.get(&batch_run.run);
            let is_due = claim
                .and_then(|claim| claim.throttle_due_at)
                .is_some_and(|at| now >= at);
            let Some(percent) = batch_run.percent.filter(|_| is_running && is_due) else {
                continue;
            };
            self.set_cpu_limit(key, batch_run.run, percent, now);
        }
    }

    /// Penalty on the score of a runner due to interference with a claim; `None` if the claim must
    /// not be placed there.
    pub(crate) fn interference_penalty(
        &self,
        runner: &Runner,
        claim: &Claim,
        admission: Admission,
        now: Instant,
    ) -> Option<i64> {
        if claim.best_effort_cpu_millis > 0 {
            return match admission {
                Admission::Predicted | Admission::Retry => self.best_effort_penalty(runner, claim),
                Admission::Trial if !has_measured_idle_cpu(runner, claim) => None,
                Admission::Trial | Admission::Share => {
                    self.trial_penalty(runner, claim, admission, now)
                }
            };
        }
        if !claim.latency_critical {
            return Some(0);
        }
        let service = ServiceKey(claim.image.0);
        let images = runner.image_claims();
        let rises = images.iter().map(|(image, claims)| {
            let share = runner.share(claims.best_effort_cpu_millis);
            self.interference.weight(service, ClassKey(image.0)) * share
        });
        let rise: f64 = rises.sum();
        let others = images
            .iter()
            .filter(|(&image, claims)| image != claim.image && claims.latency_critical_runs > 0);
        Some((rise * RISE_PENALTY) as i64 + others.count() as i64 * OTHER_IMAGE_PENALTY)
    }

    /// Penalty for the predicted effect of a best-effort run on the tail latencies of a runner;
    /// `None` if one of them would come too close to its target, or if too little processor time is
    /// idle.
    fn best_effort_penalty(&self, runner: &Runner, claim: &Claim) -> Option<i64> {
        if idle_cpu_millis(runner) < i64::from(claim.best_effort_cpu_millis) {
            return None;
        }
        if runner.worst_tail_ratio() >= THROTTLE_RATIO {
            return None;
        }
        let ln_safe = PLACEMENT_RATIO_MAX.ln();
        let mut total = 0.0;
        for tails in runner.image_tails() {
            let (rise, all) = self.predicted_rises(runner, tails.image, claim);
            if all >= ATTRIBUTED_RISE_MIN && tails.worst_ln_ratio + all >= ln_safe {
                return None;
            }
            total += rise * f64::from(tails.runs);
        }
        Some((total * RISE_PENALTY) as i64)
    }

    /// As [`Self::best_effort_penalty`] for a run on trial. Its effect is measured and acted upon
    /// like that of any other run, so it is kept off only where the measurement would not tell, and
    /// for a while after a trial that did harm, unless that has ended and nothing of the job runs.
    fn trial_penalty(
        &self,
        runner: &Runner,
        claim: &Claim,
        admission: Admission,
        now: Instant,
    ) -> Option<i64> {
        if runner.worst_tail_ratio() >= THROTTLE_RATIO && !is_unused(runner, now) {
            return None;
        }
        let is_shared = admission == Admission::Share;
        let is_recent = |trial: Trial| {
            now < trial.placed_at + TRIAL_INTERVAL_MIN && !(is_shared && trial.has_ended)
        };
        if !runner.tails().is_empty() && runner.trial.is_some_and(is_recent) {
            return None;
        }
        let ln_safe = PLACEMENT_RATIO_MAX.ln();
        let (mut total, mut excess) = (0.0, 0.0_f64);
        for tails in runner.image_tails() {
            let (rise, all) = self.predicted_rises(runner, tails.image, claim);
            excess = excess.max(tails.worst_ln_ratio + all - ln_safe);
            total += rise * f64::from(tails.runs);
        }
        Some((total * RISE_PENALTY + excess * TRIAL_EXCESS_PENALTY) as i64)
    }

    /// Predicted rise of the logarithm of a tail latency of a latency-critical image by a best-effort
    /// run, and by that run and all that are not reflected in measurements yet.
    fn predicted_rises(&self, runner: &Runner, image: ImageKey, claim: &Claim) -> (f64, f64) {
        let service = ServiceKey(image.0);
        let weight = |image: ImageKey| self.interference.weight(service, ClassKey(image.0));
        let own_share = runner.share(u64::from(claim.best_effort_cpu_millis));
        let rise = weight(claim.image) * own_share;
        let unmeasured = runner.unmeasured.by_image().iter();
        let unmeasured = unmeasured.map(|(&image, &millis)| weight(image) * runner.share(millis));
        (rise, rise + unmeasured.sum::<f64>())
    }
}

/// Images whose interference takes as long to work out as a look at a runner.
const IMAGES_PER_LOOK: usize = 4;

/// What it takes to work out the interference of a claim on a runner, in looks at runners.
pub(super) fn interference_looks(runner: &Runner, claim: &Claim) -> usize {
    let images = if claim.best_effort_cpu_millis > 0 {
        runner.image_tails().len() * (1 + runner.unmeasured.by_image().len())
    } else if claim.latency_critical {
        runner.image_claims().len()
    } else {
        0
    };
    images / IMAGES_PER_LOOK
}

/// Returns whether measured use leaves a best-effort run what it asks for, or half of the runner.
fn has_measured_idle_cpu(runner: &Runner, claim: &Claim) -> bool {
    let half = i64::from(runner.info.capacity.cpu_millis) / 2;
    measured_idle_cpu_millis(runner) >= half.min(i64::from(claim.best_effort_cpu_millis))
}

/// Returns whether no best-effort run has used a runner for so long that its tail latencies don't
/// depend on any.
fn is_unused(runner: &Runner, now: Instant) -> bool {
    runner.unused_since.is_some_and(|at| now >= at + PAUSE_MAX)
}
