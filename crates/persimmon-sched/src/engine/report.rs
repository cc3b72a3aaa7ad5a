use super::{backoff::STABLE_RUN_TIME, failure::Failed, Engine, Stage, State};
use crate::{
    fleet::{PendingEnd, RunnerKey, KEPT_BACK_ENDS_MAX, NEVER_COMMITTED},
    Answer, End, EndKind, Phase, Report, RunStatus, TaskId,
};
use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

/// Delay before a failed task is placed again.
const FAILED_RUN_BACKOFF: Duration = Duration::from_millis(30);

impl Engine {
    /// Sequence number of the last ended run on `runner` that is committed and may be acknowledged.
    pub fn acknowledged(&self, runner: &str) -> u64 {
        let key = self.runner_keys.get(runner);
        key.map_or(0, |&key| self.runner(key).acknowledged)
    }

    /// Returns whether ended runs of `runner` are not committed yet.
    pub fn has_pending_ends(&self, runner: &str) -> bool {
        let key = self.runner_keys.get(runner);
        key.is_some_and(|&key| !self.runner(key).pending_ends.is_empty())
    }

    /// Returns whether `runner` must be polled: it is listed or may have runs.
    pub fn needs_polling(&self, runner: &str) -> bool {
        let key = self.runner_keys.get(runner);
        key.map(|&key| self.runner(key))
            .is_some_and(|it| it.listed || !it.claims.is_empty())
    }

    /// Returns whether tasks are placed on `runner`.
    pub fn has_runs(&self, runner: &str) -> bool {
        let key = self.runner_keys.get(runner);
        key.is_some_and(|&key| !self.runner(key).claims.is_empty())
    }

    /// Sets by how much the last report of a runner may be older than the options say, because
    /// reports are requested less often.
    pub fn set_extra_report_age(&mut self, extra: Duration) {
        self.extra_report_age = extra;
    }

    pub(super) fn report_age_max(&self) -> Duration {
        self.options.report_age_max + self.extra_report_age
    }

    /// Lease deadline to send to `runner` at `now`, on its clock; `None` without a recent report.
    /// An unanswered call may renew the lease, so a runner that does not answer is polled without a
    /// deadline, which lets its lease expire.
    pub fn lease_deadline_ms(&mut self, runner: &str, now: Instant) -> Option<u64> {
        let key = *self.runner_keys.get(runner)?;
        let report_age_max = self.report_age_max();
        let last_report_at = self.runner(key).last_report_at?;
        if now >= last_report_at + report_age_max {
            return None;
        }
        let lease_ms = self.options.lease_term.as_millis() as u64;
        let lease = &mut self.runner_mut(key).lease;
        let (clock_ms, at) = lease.clock_sample?;
        let elapsed_ms = now.saturating_duration_since(at).as_millis() as u64;
        let deadline_ms = clock_ms.saturating_add(elapsed_ms + lease_ms);
        lease.deadline_ms = lease.deadline_ms.max(deadline_ms);
        Some(lease.deadline_ms)
    }

    /// Lease deadline to send with the start of a run, as [`Self::lease_deadline_ms`]. If the start
    /// must not be sent, returns the answer to handle instead.
    pub fn start_deadline_ms(
        &mut self,
        runner: &str,
        task: TaskId,
        run: u32,
        now: Instant,
    ) -> Result<u64, Answer> {
        let key = *self.runner_keys.get(runner).ok_or(Answer::NotSent)?;
        let is_ordered = matches!(self.stage_on(key, task, run), Some(Stage::Ordered { .. }));
        let it = self.runner(key);
        // The capacity may have shrunk since the run was placed.
        let fits = it.fits_beside_others((task, run));
        if !is_ordered || !self.is_listing_current(now) || it.is_closed() || !fits {
            return Err(Answer::Withheld);
        }
        self.lease_deadline_ms(runner, now).ok_or(Answer::NotSent)
    }

    /// Handles a runner's report, which was requested at `requested_at`.
    pub fn handle_report(
        &mut self,
        runner: &str,
        report: &Report,
        requested_at: Instant,
        now: Instant,
    ) {
        let key = self.runner_key(runner);
        let report = &*self.identify(key, report);
        self.handle_restart(key, report, requested_at, now);
        let lease_term_max = self.options.lease_term_max;
        let it = self.runner_mut(key);
        it.last_report_at = Some(now);
        it.has_missed_report = false;
        it.lease.update_clock(report.clock_ms, lease_term_max, now);
        let lapses = report
            .ended
            .iter()
            .filter(|end| end.kind == EndKind::Lapsed);
        let last_lapse = lapses.map(|end| end.number).max().unwrap_or(0);
        let has_invalidated = self.invalidate_ends(key, last_lapse);
        for end in &report.ended {
            self.handle_end(key, end, last_lapse, now);
        }
        let waiting = self.runner(key).pending_ends.len();
        if has_invalidated || waiting > KEPT_BACK_ENDS_MAX {
            self.acknowledge();
        }
        for run in &report.running {
            self.handle_listed_run(key, run, now);
        }
        self.requeue_unlisted(key, report, requested_at, now);
        self.credit_stable_runs(key, now);
        self.clear_suspects(key, requested_at);
        self.process_measurements(key, &report.running, now);
    }

    fn handle_end(&mut self, key: RunnerKey, end: &End, last_lapse: u64, now: Instant) {
        let runner = self.runner_mut(key);
        if end.number <= runner.processed {
            return;
        }
        runner.processed = end.number;
        runner.release(end.task, end.run);
        runner.backoff.room_freed();
        let current = self.stage_on(key, end.task, end.run).is_some();
        log::debug!(
            "event=run.end task={} run={} runner={} kind={:?} current={current}",
            end.task,
            end.run,
            self.runner(key).info.id,
            end.kind
        );
        self.note_started(end.task, end.run);
        if current {
            self.apply_end(key, end, now);
        }
        let is_contradicted =
            !current && end.number > last_lapse && !self.accept_late_end(key, end, now);
        if is_contradicted {
            self.remember_late_end(key, end);
        }
        let job = self.jobs.get(&end.task.job);
        let version = match job {
            Some(_) if is_contradicted => NEVER_COMMITTED,
            Some(job) => job.version,
            None => 0,
        };
        let committed = job.is_none_or(|job| job.committed_version >= version);
        let runner = self.runner_mut(key);
        if committed && runner.pending_ends.is_empty() {
            runner.acknowledged = end.number;
        } else {
            runner.pending_ends.push_back(PendingEnd {
                number: end.number,
                job: end.task.job,
                version,
            });
        }
    }

    fn apply_end(&mut self, key: RunnerKey, end: &End, now: Instant) {
        let id = end.task;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.has_run = true;
        let spec = Arc::clone(&job.spec);
        let long_running = spec.steps[usize::from(id.step)].long_running;
        let attempts_max = job.attempts_max;
        let step = &mut job.tasks[id.occurrence as usize][usize::from(id.step)];
        let task = &mut step.tasks[usize::from(id.index)];
        let began_at = match task.state() {
            State::Placed {
                stage: Stage::Running(at),
                ..
            } => Some(at),
            _ => None,
        };
        task.note_checkpoint(&end.checkpoint);
        match end.kind {
            EndKind::Done if !long_running => {
                self.set_state(id, State::Done);
                // One such end stands for the whole gang.
                for member in self.other_members(id, end.run) {
                    self.set_state(member, State::Done);
                }
                if let Some(at) = began_at {
                    self.durations
                        .learn(&spec.queue, now.saturating_duration_since(at));
                }
                self.count_success(key, id, began_at, now);
                self.advance(id, now);
            }
            EndKind::Failed if !long_running => {
                task.failures += 1;
                let failures = task.failures;
                let attempts_exhausted = failures >= attempts_max;
                log::info!(
                    "event=run.fail task={id} run={} runner={} failures={failures} \
                     attempts_max={attempts_max}",
                    end.run,
                    self.runner(key).info.id
                );
                self.avoid_runner(id, end.run, key);
                self.requeue(id, end.run, Some(now + FAILED_RUN_BACKOFF), now);
                self.count_failure(key, (id, end.run), Failed::Run, now);
                if attempts_exhausted && !self.is_final(id) {
                    self.finish(id.job, Phase::Failed, now);
                }
            }
            EndKind::Done | EndKind::Failed | EndKind::Cut | EndKind::Lapsed => {
                if began_at.is_some_and(|at| now >= at + STABLE_RUN_TIME) {
                    task.recent_failures.clear();
                    job.is_refuted = false;
                }
                let mut restart_at = None;
                if end.kind == EndKind::Failed {
                    log::info!(
                        "event=run.fail task={id} run={} runner={} age_ms={:?} long_running=true",
                        end.run,
                        self.runner(key).info.id,
                        began_at.map(|at| now.saturating_duration_since(at).as_millis())
                    );
                    self.avoid_runner(id, end.run, key);
                    let cause = self.count_failure(key, (id, end.run), Failed::Run, now);
                    restart_at = self.restart_at(id, cause, now);
                }
                self.requeue(id, end.run, restart_at, now);
            }
        }
    }

    /// Places a task whose run failed on another runner next, if one has room, and the other members
    /// of its gang as well.
    fn avoid_runner(&mut self, id: TaskId, run: u32, key: RunnerKey) {
        let mut tasks = self.other_members(id, run);
        tasks.push(id);
        for id in tasks {
            if let Some(task) = self.task_mut(id) {
                task.failed_on = Some(key);
            }
        }
    }

    pub(super) fn is_final(&self, id: TaskId) -> bool {
        self.jobs
            .get(&id.job)
            .is_none_or(|job| job.phase.is_final())
    }

    /// Opens the steps that depended on the step of a finished task, or completes the job.
    pub(super) fn advance(&mut self, id: TaskId, now: Instant) {
        if !self.step(id).is_some_and(super::Step::is_done) {
            return;
        }
        self.open_steps(id.job, id.occurrence);
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let steps = job.spec.occurrences() as usize * job.spec.steps.len();
        if job.done_steps == steps && !job.phase.is_final() {
            self.finish(id.job, Phase::Completed, now);
        }
    }

    /// Handles a run that a report lists as running.
    fn handle_listed_run(&mut self, key: RunnerKey, run: &RunStatus, now: Instant) {
        let Some(stage) = self.stage_on(key, run.task, run.run) else {
            self.stop_unknown_run(key, run, now);
            return;
        };
        if let Some(task) = self.task_mut(run.task) {
            task.note_checkpoint(&run.checkpoint);
        }
        let is_confirmed = match stage {
            Stage::Ordered { .. } | Stage::Restored => true,
            Stage::Unconfirmed {
                stop_acknowledged_at,
                ..
            } => stop_acknowledged_at.is_none(),
            Stage::Committing(_) | Stage::Running(_) | Stage::Stopping { .. } => false,
        };
        if is_confirmed {
            self.set_stage(run.task, Stage::Running(now));
            self.mark_has_run(run.task);
        }
        self.mark_start_answered(run.task, stage);
    }

    /// Stops a run that is not in the records: one of an earlier owner, or one from a delayed
    /// start.
    fn stop_unknown_run(&mut self, key: RunnerKey, run: &RunStatus, now: Instant) {
        log::warn!(
            "event=run.unknown task={} run={} runner={}",
            run.task,
            run.run,
            self.runner(key).info.id
        );
        if let Some(claim) = self.claim_of(run.task, now) {
            self.runner_mut(key).claim(run.task, run.run, claim);
        }
        self.order_stop(key, run.task, run.run);
    }

    /// Requeues the runs that a report should list but does not. One that does not list all ends
    /// tells nothing about them: they may have ended.
    fn requeue_unlisted(
        &mut self,
        key: RunnerKey,
        report: &Report,
        requested_at: Instant,
        now: Instant,
    ) {
        let listed: HashSet<_> = report.running.iter().map(|it| (it.task, it.run)).collect();
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (id, run) in claims {
            if listed.contains(&(id, run)) {
                continue;
            }
            let stage = self.stage_on(key, id, run);
            let is_lost = match stage {
                Some(_) if report.has_more_ends => false,
                Some(Stage::Restored) => true,
                Some(Stage::Running(since)) => requested_at > since,
                Some(
                    Stage::Unconfirmed {
                        stop_acknowledged_at,
                        ..
                    }
                    | Stage::Stopping {
                        stop_acknowledged_at,
                        ..
                    },
                ) => stop_acknowledged_at.is_some_and(|at| requested_at > at),
                Some(Stage::Committing(_) | Stage::Ordered { .. }) => false,
                None => {
                    self.runner_mut(key).release(id, run);
                    false
                }
            };
            if is_lost {
                log::info!(
                    "event=run.absent task={id} run={run} runner={}",
                    self.runner(key).info.id
                );
                self.requeue(id, run, None, now);
                if stage.is_some_and(Stage::is_start_unanswered) {
                    self.settle_late_end(id, now);
                }
            }
        }
    }
}
