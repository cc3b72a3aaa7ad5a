use super::{Answer, Engine, Stage};
use crate::{fleet::RunnerKey, TaskId};
use std::time::{Duration, Instant};

/// Delay before a task whose start was refused is placed again.
const REFUSED_START_BACKOFF: Duration = Duration::from_millis(60);
/// A runner that refused or did not answer is given no new task for this time, multiplied by its
/// number of failures.
const RUNNER_BACKOFF_STEP: Duration = Duration::from_millis(600);
/// Longest time for which a failing runner is given no new task.
const RUNNER_BACKOFF_MAX: Duration = Duration::from_secs(6);
/// Time for an unanswered start to appear in the runner's next report before it is stopped.
const UNCONFIRMED_START_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval after which an unanswered stop is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);

impl Engine {
    /// Handles a runner's answer to a start.
    pub fn handle_start_answer(&mut self, id: TaskId, run: u32, answer: Answer, now: Instant) {
        let Some((runner, Stage::Ordered)) = self.placement(id, run) else {
            return;
        };
        log::debug!("event=start.answer task={id} run={run} answer={answer:?}");
        match answer {
            Answer::Started => {
                self.set_stage(id, Stage::Running(now));
                self.mark_has_run(id);
            }
            Answer::Unknown => {
                let stage = Stage::Unconfirmed {
                    requested_at: now,
                    stop_acknowledged_at: None,
                };
                self.set_stage(id, stage);
                self.back_off_runner(runner, now);
            }
            Answer::Fenced => self.fenced = true,
            Answer::Old | Answer::Room | Answer::Refused | Answer::NotSent => {
                if matches!(answer, Answer::Refused | Answer::NotSent) {
                    self.back_off_runner(runner, now);
                }
                self.requeue(id, run, Some(now + REFUSED_START_BACKOFF));
            }
        }
    }

    /// Records that a task of a job has run.
    pub(crate) fn mark_has_run(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.has_run = true;
        }
    }

    /// Counts a failure of a runner and gives it no new tasks for a while.
    pub(crate) fn back_off_runner(&mut self, key: RunnerKey, now: Instant) {
        let runner = self.runner_mut(key);
        runner.failures = runner.failures.saturating_add(1);
        let wait = RUNNER_BACKOFF_STEP
            .saturating_mul(runner.failures)
            .min(RUNNER_BACKOFF_MAX);
        runner.backoff_until = Some(now + wait);
    }

    /// Handles a runner's answer to a stop: the run is ending, or will never start.
    pub fn handle_stop_answer(&mut self, id: TaskId, run: u32, now: Instant) {
        let Some((_, stage)) = self.placement(id, run) else {
            return;
        };
        let stage = match stage {
            Stage::Unconfirmed { requested_at, .. } => Stage::Unconfirmed {
                requested_at,
                stop_acknowledged_at: Some(now),
            },
            Stage::Stopping { requested_at, .. } => Stage::Stopping {
                requested_at,
                stop_acknowledged_at: Some(now),
            },
            other => other,
        };
        self.set_stage(id, stage);
    }

    /// Orders stops of runs whose start was not answered and that no report lists, and repeats
    /// unanswered stops.
    pub(crate) fn send_stops(&mut self, now: Instant) {
        let due = self.unsettled_runs.iter().filter_map(|&(id, run)| {
            let (runner, stage) = self.placement(id, run)?;
            is_stop_due(stage, now).then_some((runner, stage, id, run))
        });
        let due: Vec<_> = due.collect();
        for (runner, mut stage, id, run) in due {
            postpone_stop(&mut stage, now);
            self.set_stage(id, stage);
            self.order_stop(runner, id, run);
        }
    }
}

/// Returns whether a first or repeated stop is due.
fn is_stop_due(stage: Stage, now: Instant) -> bool {
    match stage {
        Stage::Unconfirmed {
            requested_at,
            stop_acknowledged_at: None,
        } => now >= requested_at + UNCONFIRMED_START_TIMEOUT,
        Stage::Stopping {
            requested_at,
            stop_acknowledged_at: None,
        } => now >= requested_at + STOP_RETRY_INTERVAL,
        _ => false,
    }
}

fn postpone_stop(stage: &mut Stage, now: Instant) {
    match stage {
        Stage::Unconfirmed { requested_at, .. } => *requested_at = now + STOP_RETRY_INTERVAL,
        Stage::Stopping { requested_at, .. } => *requested_at = now,
        _ => {}
    }
}
