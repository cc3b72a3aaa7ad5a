use super::{
    failure::{Cause, Failed},
    Answer, Engine, Stage,
};
use crate::{fleet::RunnerKey, TaskId};
use std::time::{Duration, Instant};

/// Delay before a task whose start was refused is placed again.
const REFUSED_START_BACKOFF: Duration = Duration::from_millis(60);
/// Time for an ordered start to be answered, longer than the time limit of the call.
const START_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an unanswered start to appear in the runner's next report before it is stopped.
const UNCONFIRMED_START_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval after which an unanswered stop is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Interval after which an acknowledged stop is sent again while the run has not ended; longer than
/// a run takes to stop.
const ACKNOWLEDGED_STOP_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Engine {
    /// Handles a runner's answer to a start.
    pub fn handle_start_answer(&mut self, id: TaskId, run: u32, answer: Answer, now: Instant) {
        let Some((runner, stage)) = self.placement(id, run) else {
            return;
        };
        let is_pending = match stage {
            Stage::Ordered { .. } => true,
            // The answer is late: that the run does not exist holds for good, but a run that was
            // started may have been stopped since.
            Stage::Unconfirmed { .. } | Stage::Stopping { .. } => {
                !matches!(answer, Answer::Started | Answer::Unknown)
            }
            Stage::Committing(_) | Stage::Restored | Stage::Running(_) => false,
        };
        if !is_pending {
            if answer == Answer::Started {
                self.mark_start_answered(id, stage);
            }
            return;
        }
        log::debug!("event=start.answer task={id} run={run} answer={answer:?}");
        match answer {
            Answer::Started => {
                self.set_stage(id, Stage::Running(now));
                self.mark_has_run(id);
            }
            Answer::Unknown => {
                self.set_stage(id, Stage::unconfirmed(now));
                self.count_failure(runner, (id, run), Failed::Start, now);
            }
            Answer::Fenced => {
                self.fenced = true;
                self.requeue(id, run, None, now);
            }
            Answer::Old | Answer::Room | Answer::Refused | Answer::NotSent | Answer::Withheld => {
                // A late answer says nothing new: the start has been counted or was stopped.
                let cause = if matches!(stage, Stage::Ordered { .. }) {
                    self.count_refused_start(runner, (id, run), answer, now)
                } else {
                    Cause::Runner
                };
                let restart_at = self.restart_at(id, cause, now);
                let not_before = restart_at.max(Some(now + REFUSED_START_BACKOFF));
                self.requeue(id, run, not_before, now);
                self.settle_late_end(id, now);
            }
        }
    }

    /// Records that the start of a run that is being stopped was carried out.
    pub(super) fn mark_start_answered(&mut self, id: TaskId, stage: Stage) {
        if let Stage::Stopping {
            stop_due_at,
            stop_acknowledged_at,
            ..
        } = stage
        {
            let stage = Stage::Stopping {
                start_answered: true,
                stop_due_at,
                stop_acknowledged_at,
            };
            self.set_stage(id, stage);
        }
    }

    fn count_refused_start(
        &mut self,
        runner: RunnerKey,
        run: (TaskId, u32),
        answer: Answer,
        now: Instant,
    ) -> Cause {
        match answer {
            Answer::Room => self.note_lack_of_room(runner, run, now),
            Answer::NotSent => self.count_missed_report(runner, now),
            Answer::Withheld => {}
            _ => return self.count_failure(runner, run, Failed::Start, now),
        }
        Cause::Runner
    }

    /// Records that a task of a job has run.
    pub(crate) fn mark_has_run(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.has_run = true;
        }
    }

    /// Handles a runner's answer to a stop: the run is ending, or will never start.
    pub fn handle_stop_answer(&mut self, id: TaskId, run: u32, now: Instant) {
        let Some((_, stage)) = self.placement(id, run) else {
            return;
        };
        let (stop_due_at, acknowledged_at) = (now + ACKNOWLEDGED_STOP_RETRY_INTERVAL, Some(now));
        self.set_stage(id, stage.with_stop(stop_due_at, acknowledged_at));
    }

    /// Settles the runs that neither an answer nor a report has settled in time.
    pub(crate) fn settle_runs(&mut self, now: Instant) {
        self.expire_starts(now);
        self.send_stops(now);
    }

    /// Gives ordered starts their time to be answered, and treats those that were not answered in
    /// time as unconfirmed.
    fn expire_starts(&mut self, now: Instant) {
        let unsettled = self.unsettled_runs.iter();
        let ordered = unsettled.filter_map(|&(id, run)| match self.placement(id, run)? {
            (runner, Stage::Ordered { answer_due_at }) => Some((id, run, runner, answer_due_at)),
            _ => None,
        });
        let ordered: Vec<_> = ordered.collect();
        for (id, run, runner, answer_due_at) in ordered {
            let Some(due_at) = answer_due_at else {
                let answer_due_at = Some(now + START_ANSWER_TIMEOUT);
                self.set_stage(id, Stage::Ordered { answer_due_at });
                continue;
            };
            if now >= due_at {
                log::warn!(
                    "event=start.unanswered task={id} run={run} runner={}",
                    self.runner(runner).info.id
                );
                self.set_stage(id, Stage::unconfirmed(now));
                self.count_failure(runner, (id, run), Failed::Start, now);
            }
        }
    }

    /// Orders stops of runs whose start was not answered and that no report lists, and repeats the
    /// stops of runs that have not ended.
    fn send_stops(&mut self, now: Instant) {
        let unsettled = self.unsettled_runs.iter();
        let unsettled = unsettled.filter_map(|&(id, run)| {
            let (runner, stage) = self.placement(id, run)?;
            let (stop_due_at, acknowledged_at) = stage.stop()?;
            (now >= stop_due_at).then_some((id, run, runner, stage, acknowledged_at))
        });
        let due: Vec<_> = unsettled.collect();
        for (id, run, runner, stage, acknowledged_at) in due {
            let stage = stage.with_stop(now + STOP_RETRY_INTERVAL, acknowledged_at);
            self.set_stage(id, stage);
            self.order_stop(runner, id, run);
        }
    }
}

impl Stage {
    /// A run whose start was not answered by `now`.
    pub(super) fn unconfirmed(now: Instant) -> Self {
        Self::Unconfirmed {
            stop_due_at: now + UNCONFIRMED_START_TIMEOUT,
            stop_acknowledged_at: None,
        }
    }

    /// A run whose stop is ordered at `now`.
    pub(super) fn stopping(start_answered: bool, now: Instant) -> Self {
        Self::Stopping {
            start_answered,
            stop_due_at: now + STOP_RETRY_INTERVAL,
            stop_acknowledged_at: None,
        }
    }

    /// Returns whether the start of an ordered run may still be carried out.
    pub(super) fn is_start_unanswered(self) -> bool {
        match self {
            Self::Ordered { .. } | Self::Unconfirmed { .. } => true,
            Self::Stopping { start_answered, .. } => !start_answered,
            Self::Committing(_) | Self::Restored | Self::Running(_) => false,
        }
    }

    /// When the next stop is due, and when the last one was acknowledged.
    fn stop(self) -> Option<(Instant, Option<Instant>)> {
        match self {
            Self::Unconfirmed {
                stop_due_at,
                stop_acknowledged_at,
            }
            | Self::Stopping {
                stop_due_at,
                stop_acknowledged_at,
                ..
            } => Some((stop_due_at, stop_acknowledged_at)),
            Self::Committing(_) | Self::Ordered { .. } | Self::Restored | Self::Running(_) => None,
        }
    }

    fn with_stop(self, stop_due_at: Instant, stop_acknowledged_at: Option<Instant>) -> Self {
        match self {
            Self::Unconfirmed { .. } => Self::Unconfirmed {
                stop_due_at,
                stop_acknowledged_at,
            },
            Self::Stopping { start_answered, .. } => Self::Stopping {
                start_answered,
                stop_due_at,
                stop_acknowledged_at,
            },
            Self::Committing(_) | Self::Ordered { .. } | Self::Restored | Self::Running(_) => self,
        }
    }
}
