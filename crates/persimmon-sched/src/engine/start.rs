use super::{Answer, Engine, Stage, State};
use crate::{fleet::RunnerKey, TaskId};
use std::time::{Duration, Instant};

/// Before a task that a runner refused is placed again.
const REFUSED_BACKOFF: Duration = Duration::from_millis(60);
/// A runner that refused or did not answer gets no new task for this long, times its failures.
const AVOID_STEP: Duration = Duration::from_millis(600);
/// The longest time for which a runner gets no new task.
const AVOID_MAX: Duration = Duration::from_secs(6);
/// A start without an answer may still show up in the runner's next list before it is stopped.
const DOUBT_PATIENCE: Duration = Duration::from_millis(250);
/// A stop without an answer is sent again after this time.
const STOP_RETRY: Duration = Duration::from_millis(600);

impl Engine {
    /// Takes a runner's answer to a start.
    pub fn handle_start_answer(&mut self, id: TaskId, run: u32, answer: Answer, now: Instant) {
        let Some(task) = self.task_mut(id).filter(|task| task.run == run) else {
            return;
        };
        let State::Placed { runner, stage } = task.state else {
            return;
        };
        if stage != Stage::Ordered {
            return;
        }
        log::debug!("event=start.answer task={id} run={run} answer={answer:?}");
        match answer {
            Answer::Started => {
                task.state = State::Placed {
                    runner,
                    stage: Stage::Running(now),
                };
                self.begin(id);
            }
            Answer::Unknown => {
                task.state = State::Placed {
                    runner,
                    stage: Stage::Doubt {
                        asked_at: now,
                        stopped_at: None,
                    },
                };
                self.unsettled.insert((id, run));
                self.avoid(runner, now);
            }
            Answer::Fenced => self.fenced = true,
            Answer::Old | Answer::Room | Answer::Refused | Answer::NotSent => {
                if matches!(answer, Answer::Refused | Answer::NotSent) {
                    self.avoid(runner, now);
                }
                self.requeue(id, run, Some(now + REFUSED_BACKOFF));
            }
        }
    }

    /// Takes note that a task of a job has run.
    pub(crate) fn begin(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.begun = true;
        }
    }

    /// Keeps new tasks off a runner for a while.
    pub(crate) fn avoid(&mut self, key: RunnerKey, now: Instant) {
        let runner = self.runner_mut(key);
        runner.failures = runner.failures.saturating_add(1);
        let wait = AVOID_STEP.saturating_mul(runner.failures).min(AVOID_MAX);
        runner.avoid_until = Some(now + wait);
    }

    /// Takes a runner's answer to a stop: from then on the run ends, or never starts.
    pub fn handle_stop_answer(&mut self, id: TaskId, run: u32, now: Instant) {
        let Some(task) = self.task_mut(id).filter(|task| task.run == run) else {
            return;
        };
        if let State::Placed { runner, stage } = task.state {
            let stage = match stage {
                Stage::Doubt { asked_at, .. } => Stage::Doubt {
                    asked_at,
                    stopped_at: Some(now),
                },
                Stage::Stopping { asked_at, .. } => Stage::Stopping {
                    asked_at,
                    stopped_at: Some(now),
                },
                other => other,
            };
            task.state = State::Placed { runner, stage };
        }
    }

    /// Stops runs that were started without an answer and did not show up, and sends stops that had
    /// no answer again.
    pub(crate) fn send_stops(&mut self, now: Instant) {
        let mut unsettled = std::mem::take(&mut self.unsettled);
        let mut stops = Vec::new();
        unsettled.retain(|&(id, run)| {
            let Some(task) = self.task(id).filter(|task| task.run == run) else {
                return false;
            };
            let State::Placed { runner, stage } = task.state else {
                return false;
            };
            if wants_stop(stage, now) {
                stops.push((runner, id, run));
            }
            matches!(stage, Stage::Doubt { .. } | Stage::Stopping { .. })
        });
        self.unsettled = unsettled;
        for (key, id, run) in stops {
            if let Some(task) = self.task_mut(id) {
                if let State::Placed { stage, .. } = &mut task.state {
                    postpone_stop(stage, now);
                }
            }
            self.order_stop(key, id, run);
        }
    }

    /// Lets a task whose run is certain not to exist be placed again.
    pub(crate) fn requeue(&mut self, id: TaskId, run: u32, not_before: Option<Instant>) {
        let Some(task) = self.task_mut(id).filter(|task| task.run == run) else {
            return;
        };
        let State::Placed { runner, .. } = task.state else {
            return;
        };
        task.state = State::Waiting { not_before };
        self.runner_mut(runner).release(id, run);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        // Whoever takes over need not wait for a run that is known not to exist.
        job.version += 1;
        self.dirty.insert(id.job);
        if !job.phase.is_final() {
            self.ready.insert(job.rank(id));
        }
    }
}

/// Tells whether a stop must be sent, again or for the first time.
fn wants_stop(stage: Stage, now: Instant) -> bool {
    match stage {
        Stage::Doubt {
            asked_at,
            stopped_at: None,
        } => now >= asked_at + DOUBT_PATIENCE,
        Stage::Stopping {
            asked_at,
            stopped_at: None,
        } => now >= asked_at + STOP_RETRY,
        _ => false,
    }
}

fn postpone_stop(stage: &mut Stage, now: Instant) {
    match stage {
        Stage::Doubt { asked_at, .. } => *asked_at = now + STOP_RETRY,
        Stage::Stopping { asked_at, .. } => *asked_at = now,
        _ => {}
    }
}
