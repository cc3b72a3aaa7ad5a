//! Runs that make no headway: on a runner that is slow, or on which tasks stand still.

use super::{Engine, Stage, State};
use crate::{fleet::RunnerKey, Listed};
use std::time::{Duration, Instant};

/// Before the headway of a run says anything.
const YOUNG: Duration = Duration::from_millis(500);
/// A run that will take so many times the mean is slow: tasks of one queue vary by two or three.
const SLOW_FACTOR: f64 = 3.5;
/// What starting again costs at least.
const RESTART: Duration = Duration::from_millis(200);
/// Slow runs on one runner at once from which it is avoided: one may be a long task.
const SLOW_RUNS: usize = 2;

impl Engine {
    /// Starts runs again elsewhere that would end much later here, and keeps others off the runner.
    pub(crate) fn leave_slow(&mut self, key: RunnerKey, running: &[Listed], now: Instant) {
        let slow: Vec<_> = running
            .iter()
            .filter(|run| self.is_slow(key, run, now))
            .map(|run| (run.task, run.run, run.percent))
            .collect();
        if slow.len() < SLOW_RUNS {
            return;
        }
        self.avoid(key, now);
        for (task, run, percent) in slow {
            log::info!(
                "event=run.slow task={task} run={run} runner={} percent={percent}",
                self.runner(key).info.id
            );
            self.end_run(task, now);
        }
    }

    /// Tells whether a run would end sooner if it were started again on a sound runner. What fills
    /// depends on what others leave, and what lasts never ends.
    fn is_slow(&self, key: RunnerKey, listed: &Listed, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&listed.task.job) else {
            return false;
        };
        let Some(step) = self.step_of(listed.task) else {
            return false;
        };
        if step.lasting || step.fills || step.gang {
            return false;
        }
        let task = self.task(listed.task).filter(|task| task.run == listed.run);
        let since = match task.map(|task| task.state) {
            Some(State::Placed {
                runner,
                stage: Stage::Running(since),
            }) if runner == key => since,
            _ => return false,
        };
        let Some(mean) = self.durations.mean(&job.spec.queue) else {
            return false;
        };
        let ran = now.saturating_duration_since(since);
        if ran < YOUNG {
            return false;
        }
        let share = f64::from(listed.percent.max(1)) / 100.0;
        let total = ran.as_secs_f64() / share;
        let left = total - ran.as_secs_f64();
        total > mean.as_secs_f64() * SLOW_FACTOR && left > (mean + RESTART).as_secs_f64()
    }
}
