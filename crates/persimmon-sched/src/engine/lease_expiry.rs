use super::{Engine, Stage};
use crate::{fleet::RunnerKey, Report, TaskId};
use std::{collections::HashSet, time::Instant};

impl Engine {
    /// Requeues the runs of runners whose lease must have expired.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        for at in 0..self.runners.len() {
            let runner = &self.runners[at];
            if runner.claims.is_empty() || !runner.has_lost_runs(now) {
                continue;
            }
            log::warn!(
                "event=lease.lapsed runner={} runs={} listed={}",
                runner.info.id,
                runner.claims.len(),
                runner.listed
            );
            let key = RunnerKey(at as u32);
            self.keep_new_runs(key);
            // An ordered start may still be sent and renew the lease, so its answer decides, or that
            // it stays away.
            self.requeue_lost_runs(
                key,
                "lease_expired",
                |_, stage| !matches!(stage, Stage::Ordered { .. }),
                now,
            );
        }
    }

    /// Requeues the runs on a runner that match `is_lost`: they no longer exist, and their outcome
    /// is unknown.
    pub(crate) fn requeue_lost_runs(
        &mut self,
        key: RunnerKey,
        cause: &str,
        is_lost: impl Fn((TaskId, u32), Stage) -> bool,
        now: Instant,
    ) {
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (id, run) in claims {
            match self.stage_on(key, id, run) {
                Some(Stage::Committing(_)) => {}
                Some(stage) if is_lost((id, run), stage) => {
                    self.log_lost_run(key, (id, run), stage, cause);
                    // A start without an answer may have been carried out before the runs were lost.
                    self.note_started(id, run);
                    if let Some(task) = self.task_mut(id) {
                        task.given_up_run = Some(run);
                    }
                    self.requeue(id, run, None, now);
                }
                Some(_) => {}
                None => self.runner_mut(key).release(id, run),
            }
        }
    }

    /// Logs a run that was lost with its runner, with its age when the runner was last heard.
    fn log_lost_run(&self, key: RunnerKey, run: (TaskId, u32), stage: Stage, cause: &str) {
        let runner = self.runner(key);
        let placed_at = runner.claims.get(&run).map(|claim| claim.placed_at);
        let age = placed_at.zip(runner.last_report_at).map(|(placed, heard)| {
            let age = heard.saturating_duration_since(placed);
            age.as_millis()
        });
        log::info!(
            "event=run.lost task={} run={} runner={} cause={cause} stage={} age_ms={age:?}",
            run.0,
            run.1,
            runner.info.id,
            stage.name()
        );
    }

    /// Requeues the runs of an earlier incarnation of a runner. Those in the report, and those whose
    /// start was answered after it was requested, may be runs of the new incarnation. It may still
    /// carry out a start that had no answer, so such a run stays unconfirmed or is stopped again.
    pub(crate) fn handle_restart(
        &mut self,
        key: RunnerKey,
        report: &Report,
        requested_at: Instant,
        now: Instant,
    ) {
        let lease_term_max = self.options.lease_term_max;
        let runner = self.runner_mut(key);
        let known = runner.incarnation_ms.replace(report.incarnation_ms);
        if known.is_none() {
            self.end_replaced_runners(key, report.incarnation_ms, now);
        }
        if known == Some(report.incarnation_ms) {
            self.end_silence(key);
        }
        if known.is_none_or(|known| known == report.incarnation_ms) {
            return;
        }
        let runner = self.runner_mut(key);
        log::warn!("event=runner.restart runner={}", runner.info.id);
        runner.processed = 0;
        runner.acknowledged = 0;
        runner.pending_ends.clear();
        runner.lease.reset(lease_term_max, now);
        runner.backoff.room_freed();
        let known_runs = runs_of(report);
        let is_lost = |run, stage| match stage {
            _ if report.has_more_ends => false,
            Stage::Running(since) if since >= requested_at => false,
            _ => !stage.is_start_unanswered() && !known_runs.contains(&run),
        };
        let mut crash = self.crash_of(key);
        crash.suspects.retain(|run| !known_runs.contains(run));
        self.requeue_lost_runs(key, "restart", is_lost, now);
        self.count_crash(&crash, now);
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (id, run) in claims {
            match self.stage_on(key, id, run) {
                Some(stage) if !stage.is_start_unanswered() => {}
                // The new incarnation has not acknowledged the stop.
                Some(Stage::Stopping { .. }) => {
                    self.set_stage(id, Stage::stopping(false, now));
                    self.order_stop(key, id, run);
                }
                Some(_) => self.set_stage(id, Stage::unconfirmed(now)),
                None => {}
            }
        }
    }
}

/// Runs that a report lists as running or ended.
fn runs_of(report: &Report) -> HashSet<(TaskId, u32)> {
    let running = report.running.iter().map(|it| (it.task, it.run));
    let ended = report.ended.iter().map(|it| (it.task, it.run));
    running.chain(ended).collect()
}
