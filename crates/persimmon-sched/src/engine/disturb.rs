//! What tasks that fill do to tasks that serve: where they may run, and when they must give way.

use super::{place::idle_millis, Engine, Order};
use crate::{
    fleet::{Claim, Image, Runner, RunnerKey, Tail},
    RunStatus, TaskId,
};
use persimmon_interference::{ClassKey, ServiceKey};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Ratio of tail to target from which what disturbs must give way; measured, docs/measurements/owner.md.
const NEAR_RATIO: f64 = 0.95;
/// Ratio up to which a task may be placed beside, by prediction.
const SAFE_RATIO: f64 = 0.6;
/// Ratio below which slowed tasks may speed up again; measured beside it.
const CALM_RATIO: f64 = 0.8;
/// Between two acts on a runner: a figure covers half a second and an act needs a tenth to show.
const SETTLE: Duration = Duration::from_millis(700);
/// A figure says nothing yet of runs placed within this time before it.
const UNSEEN: Duration = Duration::from_millis(700);
/// A run that raises the logarithm of a tail by less is not blamed.
const BLAME_MIN: f64 = 0.15;
/// Near or over its target for so long, a tail makes everything that fills beside it stand still.
const STANDSTILL_AFTER: Duration = Duration::from_millis(1_300);
/// A run that may work again first works at this share.
const RESUME_PERCENT: u8 = 50;
/// Lowers the score of a runner for each unit of predicted excess, in thousandths of a core.
const EXCESS_WEIGHT: f64 = 50_000.0;

/// Lowers the score of a runner for each other image that serves there. Images suffer from different
/// batch work: where they serve apart, more of it finds a runner that it does not disturb. It outweighs
/// any difference in room.
const STRANGER_WEIGHT: i64 = 200_000;

/// A run that fills, with its use of its runner.
struct Fill {
    run: (TaskId, u32),
    image: Image,
    /// Its share of the runner's processors in the last half second.
    used: f64,
    percent: u8,
}

impl Engine {
    pub(crate) fn image(&mut self, name: &str) -> Image {
        let next = Image(self.images.len() as u32);
        if let Some(&image) = self.images.get(name) {
            return image;
        }
        self.images.insert(name.to_owned(), next);
        next
    }

    /// Takes the figures of a report: learns from them, and acts on what disturbs.
    pub(crate) fn take_figures(&mut self, key: RunnerKey, running: &[RunStatus], now: Instant) {
        let (tails, fills) = self.figures(key, running, now);
        let used: Vec<_> = fills
            .iter()
            .map(|fill| (ClassKey(fill.image.0), fill.used))
            .collect();
        for tail in &tails {
            let service = ServiceKey(tail.image.0);
            self.pressure.learn(service, tail.ratio, &used);
        }
        let runner = self.runner_mut(key);
        runner.tails = tails;
        runner.unseen.retain(|it| it.placed_at + UNSEEN > now);
        if !fills.is_empty() {
            self.make_way(key, &fills, now);
        }
    }

    fn figures(
        &self,
        key: RunnerKey,
        running: &[RunStatus],
        now: Instant,
    ) -> (Vec<Tail>, Vec<Fill>) {
        let runner = self.runner(key);
        let capacity = f64::from(runner.info.capacity.cpu_millis.max(1));
        let (mut tails, mut fills) = (Vec::new(), Vec::new());
        for it in running {
            let run = (it.task, it.run);
            let Some(claim) = runner.claims.get(&run) else {
                continue;
            };
            if claim.fill_cpu_millis > 0 {
                fills.push(Fill {
                    run,
                    image: claim.image,
                    used: it.measurement as f64 / capacity,
                    percent: claim.percent,
                });
            }
            // A serving task that has not come up yet reports no tail.
            if claim.latency_critical && it.measurement > 0 {
                tails.push(self.tail(runner, claim, it, now));
            }
        }
        (tails, fills)
    }

    fn tail(&self, runner: &Runner, claim: &Claim, it: &RunStatus, now: Instant) -> Tail {
        let run = (it.task, it.run);
        let target_ms = self.jobs.get(&it.task.job).map_or(1, |job| {
            job.spec.steps[usize::from(it.task.step)].tail_target_ms
        });
        let ratio = it.measurement as f64 / target_ms.max(1) as f64;
        let known = runner.tails.iter().find(|tail| tail.run == run);
        let over_since = known.and_then(|tail| tail.over_since).or(Some(now));
        Tail {
            run,
            image: claim.image,
            ratio,
            ln_ratio: ratio.ln(),
            over_since: over_since.filter(|_| ratio >= NEAR_RATIO),
        }
    }

    /// Slows, moves or speeds up what fills a runner.
    fn make_way(&mut self, key: RunnerKey, fills: &[Fill], now: Instant) {
        let runner = self.runner(key);
        let settled = runner.paced_at.is_none_or(|at| now >= at + SETTLE);
        let near: Vec<_> = runner
            .tails
            .iter()
            .filter(|it| it.over_since.is_some())
            .copied()
            .collect();
        if near.is_empty() {
            if settled {
                self.speed_up(key, fills, now);
            }
            return;
        }
        let since = near.iter().filter_map(|tail| tail.over_since).min();
        if since.is_some_and(|since| now >= since + STANDSTILL_AFTER) {
            self.pace_all(key, fills, 0, now);
            return;
        }
        if !settled {
            return;
        }
        let mut acted = false;
        for fill in fills.iter().filter(|fill| fill.percent > 0) {
            if self.blame(&near, fill) >= BLAME_MIN {
                acted = true;
                self.move_or_pause(key, fill, now);
            }
        }
        if acted {
            self.runner_mut(key).paced_at = Some(now);
        }
    }

    /// How much a run raises the worst of some tails, by what was learned.
    fn blame(&self, tails: &[Tail], fill: &Fill) -> f64 {
        let class = ClassKey(fill.image.0);
        let each = tails.iter().map(|tail| {
            let service = ServiceKey(tail.image.0);
            self.pressure.weight(service, class) * fill.used
        });
        each.fold(0.0, f64::max)
    }

    /// Sends a run elsewhere if it can go on from a checkpoint, else lets it stand still.
    fn move_or_pause(&mut self, key: RunnerKey, fill: &Fill, now: Instant) {
        let (id, run) = fill.run;
        let step = self
            .jobs
            .get(&id.job)
            .map(|job| &job.spec.steps[usize::from(id.step)]);
        if step.is_some_and(|step| step.checkpointing) {
            log::info!(
                "event=run.evict task={id} run={run} runner={} used={:.2}",
                self.runner(key).info.id,
                fill.used
            );
            self.end_run(id, now);
        } else {
            self.set_pace(key, fill.run, 0);
        }
    }

    /// Lets slowed runs work more once all tails are calm, as far as the prediction allows.
    fn speed_up(&mut self, key: RunnerKey, fills: &[Fill], now: Instant) {
        let worst = worst_ratio(self.runner(key));
        if worst > CALM_RATIO || fills.iter().all(|fill| fill.percent == 100) {
            return;
        }
        for fill in fills.iter().filter(|fill| fill.percent < 100) {
            let percent = if fill.percent < RESUME_PERCENT {
                RESUME_PERCENT
            } else {
                100
            };
            self.set_pace(key, fill.run, percent);
        }
        self.runner_mut(key).paced_at = Some(now);
    }

    fn pace_all(&mut self, key: RunnerKey, fills: &[Fill], percent: u8, now: Instant) {
        let others: Vec<_> = fills
            .iter()
            .filter(|fill| fill.percent != percent)
            .collect();
        if others.is_empty() {
            return;
        }
        for fill in others {
            self.set_pace(key, fill.run, percent);
        }
        self.runner_mut(key).paced_at = Some(now);
    }

    fn set_pace(&mut self, key: RunnerKey, run: (TaskId, u32), percent: u8) {
        let runner = self.runner_mut(key);
        let Some(claim) = runner.claims.get_mut(&run) else {
            return;
        };
        claim.percent = percent;
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

    /// How much worse a runner is for a claim because of disturbance; `None` if it must not go there.
    pub(crate) fn disturbance(&self, runner: &Runner, claim: &Claim) -> Option<i64> {
        if claim.fill_cpu_millis > 0 {
            return self.disturbs(runner, claim);
        }
        if !claim.latency_critical {
            return Some(0);
        }
        let used = Self::uses(runner);
        let excess = self
            .pressure
            .predicted_rise(ServiceKey(claim.image.0), &used);
        let strangers = strangers(runner, claim.image);
        Some((excess * EXCESS_WEIGHT) as i64 + strangers * STRANGER_WEIGHT)
    }

    /// What a run that fills would do to a runner's tails; `None` if one of them would not be safe, or
    /// if there is nothing left to fill.
    fn disturbs(&self, runner: &Runner, claim: &Claim) -> Option<i64> {
        if idle_millis(runner) < i64::from(claim.fill_cpu_millis) {
            return None;
        }
        if runner.tails.iter().any(|tail| tail.ratio >= NEAR_RATIO) {
            return None;
        }
        let ln_safe = SAFE_RATIO.ln();
        let class = ClassKey(claim.image.0);
        let share = runner.share(claim);
        let mut total = 0.0;
        for tail in &runner.tails {
            let service = ServiceKey(tail.image.0);
            let rise = self.pressure.weight(service, class) * share;
            let unseen = runner.unseen.iter();
            let unseen =
                unseen.map(|it| self.pressure.weight(service, ClassKey(it.image.0)) * it.share);
            let all = rise + unseen.sum::<f64>();
            if all >= BLAME_MIN && tail.ln_ratio + all >= ln_safe {
                return None;
            }
            total += rise;
        }
        Some((total * EXCESS_WEIGHT) as i64)
    }

    /// What the runs that fill a runner use at most.
    fn uses(runner: &Runner) -> Vec<(ClassKey, f64)> {
        let claims = runner.claims.values();
        let fills = claims.filter(|claim| claim.fill_cpu_millis > 0);
        fills
            .map(|claim| (ClassKey(claim.image.0), runner.share(claim)))
            .collect()
    }
}

/// The other images that serve on a runner.
fn strangers(runner: &Runner, image: Image) -> i64 {
    let serving = runner
        .claims
        .values()
        .filter(|claim| claim.latency_critical);
    let others: BTreeSet<_> = serving
        .map(|it| it.image)
        .filter(|&it| it != image)
        .collect();
    others.len() as i64
}

fn worst_ratio(runner: &Runner) -> f64 {
    runner
        .tails
        .iter()
        .map(|tail| tail.ratio)
        .fold(0.0, f64::max)
}
