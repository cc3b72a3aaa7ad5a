//! Failures of a runner, and how long it is given no new tasks because of them.

use super::{failure::Failed, Engine, Stage};
use crate::{fleet::RunnerKey, JobId, StepSpec, TaskId};
use persimmon_types::Size;
use std::time::{Duration, Instant};

/// A failing runner is given no new task for this time, multiplied by its number of failures.
const BACKOFF_STEP: Duration = Duration::from_millis(600);
/// Longest time for which a failing runner is given no new task.
const BACKOFF_MAX: Duration = Duration::from_secs(6);
/// Longest time for which a runner that answers report requests again is given no new task. A task
/// counts as lost 7 s after a disturbance, and the last request may time out after it.
const MISSED_REPORT_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Number of failures that leads to [`BACKOFF_MAX`]; no more are remembered.
const FAILURES_MAX: u32 = (BACKOFF_MAX.as_millis() / BACKOFF_STEP.as_millis()) as u32;
/// Failures for each two jobs that failed on a runner from which on others may try it before its
/// backoff ends: if the runner were the cause, more jobs would have failed.
const PROBE_FAILURES_PER_TWO_JOBS: usize = 3;
/// Interval between two such tasks while the first has not ended.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Most jobs remembered of which runs or starts failed on a runner.
const FAILED_JOBS_MAX: usize = 16;
/// Failures before a failed run takes a runner out of placement; a single one may be the job's own
/// fault.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Failures since the last success before a backoff is followed by probation; fewer may be those of
/// a few jobs that fail by their own fault.
const FAILURES_BEFORE_PROBATION: u32 = 4;
/// Time for which a runner must answer all report requests for one missed report to be forgotten.
const MISSED_REPORT_MEMORY: Duration = Duration::from_secs(1);
/// Time without a failed start for one to be forgotten. A shorter one would let a runner that fails
/// all it starts return sooner than after [`BACKOFF_MAX`].
const FAILED_START_MEMORY: Duration = BACKOFF_MAX;
/// Run time after which a long-running task counts as a run that succeeded.
pub(super) const STABLE_RUN_TIME: Duration = BACKOFF_MAX;

/// Decides when a runner may be given new tasks.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// Report requests that were not answered.
    missed_reports: Failures,
    /// Failed runs and unanswered or refused starts since the last run that succeeded.
    failed_starts: Failures,
    /// Until when failed starts may be of those that were ordered before the last one that counted.
    failed_starts_until: Option<Instant>,
    /// When a run was last known to have succeeded.
    succeeded_at: Option<Instant>,
    /// The jobs that the failed runs and starts were of.
    failed_jobs: Vec<JobId>,
    /// Until when it is backed off from because of missed reports.
    silent_until: Option<Instant>,
    /// Until when it is backed off from because of failed runs and starts.
    failing_until: Option<Instant>,
    probation: Option<Probation>,
    lack_of_room: LackOfRoom,
}

/// Time after a backoff in which a runner has one new task at a time, unless a run succeeds: it may
/// still fail all that it starts.
#[derive(Debug, Clone, Copy)]
struct Probation {
    since: Instant,
    until: Instant,
}

/// Demands for which a runner lacks free resources although its claims leave them free.
#[derive(Debug, Default)]
struct LackOfRoom {
    refusals: Failures,
    demands: Vec<Size>,
    until: Option<Instant>,
}

/// Recent failures of one kind.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    last_at: Option<Instant>,
}

impl Backoff {
    /// Returns whether the runner may be given new tasks.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.until().is_none_or(|until| now >= until)
    }

    fn until(&self) -> Option<Instant> {
        self.silent_until.max(self.failing_until)
    }

    /// Handles a report request without an answer; the last answered one was at `answered_at`.
    pub(crate) fn report_missed(&mut self, answered_at: Option<Instant>, now: Instant) {
        self.missed_reports
            .forget(MISSED_REPORT_MEMORY, answered_at);
        let wait = self.missed_reports.add(now).min(MISSED_REPORT_BACKOFF_MAX);
        self.silent_until = self.silent_until.max(Some(now + wait));
    }

    /// Handles a start of this job that was refused or not answered.
    fn start_failed(&mut self, job: JobId, answered_at: Option<Instant>, now: Instant) {
        self.add_failed_job(job, answered_at);
        // Starts that were on their way together count once.
        if self.failed_starts_until.is_some_and(|until| now < until) {
            return;
        }
        let wait = self.failed_starts.add(now);
        self.failed_starts_until = Some(now + wait);
        self.extend_failing(now + wait);
        self.set_probation(wait, now);
    }

    /// Handles a run of this job that failed.
    fn run_failed(&mut self, job: JobId, answered_at: Option<Instant>, now: Instant) {
        self.add_failed_job(job, answered_at);
        let wait = self.failed_starts.add(now);
        if self.failed_starts.count >= FAILURES_BEFORE_BACKOFF {
            self.extend_failing(now + wait);
        }
        self.set_probation(wait, now);
    }

    fn add_failed_job(&mut self, job: JobId, answered_at: Option<Instant>) {
        self.failed_starts.forget(FAILED_START_MEMORY, answered_at);
        if self.failed_starts.count == 0 {
            self.failed_jobs.clear();
        }
        if self.failed_jobs.len() < FAILED_JOBS_MAX && !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
    }

    /// Number of other jobs of which runs or starts failed on the runner.
    pub(super) fn other_failed_jobs(&self, job: JobId, answered_at: Option<Instant>) -> usize {
        let left = self.failed_starts.left(FAILED_START_MEMORY, answered_at);
        let others = self.failed_jobs.iter().filter(|&&it| left > 0 && it != job);
        others.count()
    }

    /// Returns whether a run has succeeded after this time.
    pub(crate) fn has_succeeded_since(&self, at: Instant) -> bool {
        self.succeeded_at.is_some_and(|succeeded| succeeded > at)
    }

    /// Returns whether other jobs go first on the runner: many runs or starts failed on it, some of
    /// them of this job.
    pub(super) fn keeps_off(&self, job: JobId) -> bool {
        self.failed_starts.count >= FAILURES_BEFORE_PROBATION && self.failed_jobs.contains(&job)
    }

    /// Returns since when new tasks count towards the one with which another job may find out whether
    /// the runner is the cause of its failures; `None` if it seems to be.
    pub(crate) fn probe_since(&self, job: JobId, now: Instant) -> Option<Instant> {
        let is_silent = self.silent_until.is_some_and(|until| now < until);
        let failures = self.failed_starts.count;
        let failures_min = PROBE_FAILURES_PER_TWO_JOBS * self.failed_jobs.len() / 2;
        let is_by_few = failures as usize >= failures_min;
        let is_many = failures >= FAILURES_BEFORE_PROBATION;
        // An earlier run that succeeds leaves no failures, but does not end the backoff.
        let may_be_sound = failures == 0 || (is_many && is_by_few);
        if is_silent || !may_be_sound || self.keeps_off(job) {
            return None;
        }
        let last_at = self.failed_starts.last_at;
        last_at.max(now.checked_sub(PROBE_INTERVAL))
    }

    /// Handles that a job, and not the runner, is the cause of the job's failures.
    pub(super) fn forget_job(&mut self, job: JobId) {
        let failed_jobs = self.failed_jobs.len();
        self.failed_jobs.retain(|&it| it != job);
        if self.failed_jobs.is_empty() && failed_jobs > 0 {
            self.end_failing();
            self.forget_failures();
        }
    }

    /// Lets probation follow a backoff of this length, for as long, after many failures.
    fn set_probation(&mut self, backoff: Duration, now: Instant) {
        if self.failed_starts.count >= FAILURES_BEFORE_PROBATION {
            self.probation = Some(Probation {
                since: now + backoff,
                until: now + 2 * backoff,
            });
        }
    }

    /// Returns since when new tasks count towards the one that a runner on probation may have.
    pub(crate) fn probation_since(&self, now: Instant) -> Option<Instant> {
        let probation = self.probation.filter(|it| now < it.until);
        probation.map(|it| it.since)
    }

    /// Returns whether a long-running task that has run since `started_at` shows that failed starts
    /// are past.
    fn is_refuted_by(&self, started_at: Instant, now: Instant) -> bool {
        let last_at = self.failed_starts.last_at;
        now >= started_at + STABLE_RUN_TIME && last_at.is_some_and(|at| started_at > at)
    }

    /// Handles the success of a run that began at this time, if known. If it began after the last
    /// failure, the backoff ends, and the jobs that had failed are returned.
    pub(super) fn run_succeeded(&mut self, began_at: Option<Instant>, now: Instant) -> Vec<JobId> {
        self.succeeded_at = Some(now);
        let last_at = self.failed_starts.last_at;
        let is_later = began_at.zip(last_at).is_some_and(|(at, last)| at >= last);
        let failed_jobs = std::mem::take(&mut self.failed_jobs);
        self.forget_failures();
        if !is_later {
            return Vec::new();
        }
        self.end_failing();
        failed_jobs
    }

    /// Ends the backoff that follows failed runs and starts.
    fn end_failing(&mut self) {
        self.failing_until = None;
        self.failed_starts_until = None;
    }

    fn forget_failures(&mut self) {
        self.failed_starts.count = 0;
        self.failed_jobs.clear();
        self.probation = None;
    }

    /// Returns whether a task with this demand may be placed, as far as earlier refusals tell.
    pub(crate) fn admits(&self, demand: Size, now: Instant) -> bool {
        self.lack_of_room.admits(demand, now)
    }

    /// Handles a start that was refused for lack of free resources.
    pub(crate) fn room_refused(
        &mut self,
        demand: Size,
        answered_at: Option<Instant>,
        now: Instant,
    ) {
        self.lack_of_room.add(demand, answered_at, now);
    }

    /// Handles the end of a run on the runner, which may free what an earlier refusal lacked.
    pub(crate) fn room_freed(&mut self) {
        self.lack_of_room.demands.clear();
    }

    fn extend_failing(&mut self, until: Instant) {
        self.failing_until = self.failing_until.max(Some(until));
    }
}

impl LackOfRoom {
    fn admits(&self, demand: Size, now: Instant) -> bool {
        let is_past = self.until.is_none_or(|until| now >= until);
        is_past || !self.demands.iter().any(|refused| refused.fits(demand))
    }

    fn add(&mut self, demand: Size, answered_at: Option<Instant>, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.demands.clear();
        }
        // Starts that were on their way together count once.
        if !self.admits(demand, now) {
            return;
        }
        self.demands.push(demand);
        self.refusals.forget(FAILED_START_MEMORY, answered_at);
        let wait = self.refusals.add(now);
        self.until = self.until.max(Some(now + wait));
    }
}

impl Failures {
    /// Counts a failure and returns how long to back off.
    fn add(&mut self, now: Instant) -> Duration {
        self.count = (self.count + 1).min(FAILURES_MAX);
        self.last_at = Some(now);
        BACKOFF_STEP * self.count
    }

    /// Forgets one failure for each `memory` between the last one and `healthy_at`.
    fn forget(&mut self, memory: Duration, healthy_at: Option<Instant>) {
        self.count = self.left(memory, healthy_at);
    }

    /// Number of failures that [`Self::forget`] leaves.
    fn left(&self, memory: Duration, healthy_at: Option<Instant>) -> u32 {
        let (Some(last_at), Some(healthy_at)) = (self.last_at, healthy_at) else {
            return self.count;
        };
        let healthy = healthy_at.saturating_duration_since(last_at);
        let forgotten = healthy.as_millis() / memory.as_millis();
        let forgotten = u32::try_from(forgotten).unwrap_or(u32::MAX);
        self.count.saturating_sub(forgotten)
    }
}

impl Engine {
    /// Handles a report request that `runner` did not answer.
    pub fn handle_missed_report(&mut self, runner: &str, now: Instant) {
        if let Some(&key) = self.runner_keys.get(runner) {
            self.count_missed_report(key, now);
        }
    }

    /// Counts a report that a runner did not deliver in time.
    pub(crate) fn count_missed_report(&mut self, key: RunnerKey, now: Instant) {
        self.note_silence(key);
        let runner = self.runner_mut(key);
        runner.backoff.report_missed(runner.last_report_at, now);
        self.log_backoff(key, now);
    }

    /// Counts a run or a start of a job that failed on a runner.
    pub(super) fn back_off_runner(
        &mut self,
        key: RunnerKey,
        job: JobId,
        failed: Failed,
        now: Instant,
    ) {
        let runner = self.runner_mut(key);
        let answered_at = runner.last_report_at;
        match failed {
            Failed::Run => runner.backoff.run_failed(job, answered_at, now),
            Failed::Start => runner.backoff.start_failed(job, answered_at, now),
        }
        self.log_backoff(key, now);
    }

    /// Keeps tasks that demand at least as much as this run off a runner that refused it for lack of
    /// free resources.
    pub(crate) fn note_lack_of_room(&mut self, key: RunnerKey, run: (TaskId, u32), now: Instant) {
        let runner = self.runner_mut(key);
        let Some(demand) = runner.claims.get(&run).map(|claim| claim.size) else {
            return;
        };
        let last_report_at = runner.last_report_at;
        runner.backoff.room_refused(demand, last_report_at, now);
        log::info!(
            "event=runner.full runner={} demand=\"{demand}\" free_beside=\"{}\" refusals={}",
            runner.info.id,
            runner.free_capacity(),
            runner.backoff.lack_of_room.refusals.count
        );
    }

    /// Forgets the failed starts of a runner on which a long-running task has been stable since.
    pub(crate) fn credit_stable_runs(&mut self, key: RunnerKey, now: Instant) {
        let runner = self.runner(key);
        if runner.backoff.failed_starts.count == 0 {
            return;
        }
        let is_long_running = |step: &StepSpec| step.long_running;
        let stable = runner.claims.keys().find_map(|&(id, run)| {
            let Some(Stage::Running(since)) = self.stage_on(key, id, run) else {
                return None;
            };
            let is_stable = runner.backoff.is_refuted_by(since, now)
                && self.step_of(id).is_some_and(is_long_running);
            is_stable.then_some((id, since))
        });
        if let Some((id, since)) = stable {
            self.count_success(key, id, Some(since), now);
        }
    }

    fn log_backoff(&self, key: RunnerKey, now: Instant) {
        let runner = self.runner(key);
        let backoff = &runner.backoff;
        let left = backoff.until().map(|it| it.saturating_duration_since(now));
        log::info!(
            "event=runner.backoff runner={} missed_reports={} failed_starts={} left_ms={} \
             probation={}",
            runner.info.id,
            backoff.missed_reports.count,
            backoff.failed_starts.count,
            left.unwrap_or_default().as_millis(),
            backoff.probation_since(now).is_some()
        );
    }
}
