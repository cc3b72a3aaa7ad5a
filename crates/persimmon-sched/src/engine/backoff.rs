//! Failures of a runner, and how long it is given no new tasks because of them.

use super::Engine;
use crate::fleet::RunnerKey;
use std::time::{Duration, Instant};

/// A failing runner is given no new task for this time, multiplied by its number of failures.
const BACKOFF_STEP: Duration = Duration::from_millis(600);
/// Longest time for which a failing runner is given no new task.
const BACKOFF_MAX: Duration = Duration::from_secs(6);
/// Number of failures that leads to [`BACKOFF_MAX`]; no more are remembered.
const FAILURES_MAX: u32 = (BACKOFF_MAX.as_millis() / BACKOFF_STEP.as_millis()) as u32;
/// Failed runs before a runner is given no new tasks; a single one may be the job's own fault.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Time for which a runner must answer all report requests for one missed report to be forgotten.
const MISSED_REPORT_MEMORY: Duration = Duration::from_secs(1);

/// Decides when a runner may be given new tasks.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// Report requests that were not answered.
    missed_reports: Failures,
    /// Failed runs and unanswered or refused starts since the last run that succeeded.
    failed_starts: Failures,
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
        self.until.is_none_or(|until| now >= until)
    }

    /// Handles a report request without an answer; the last answered one was at `answered_at`.
    pub(crate) fn report_missed(&mut self, answered_at: Option<Instant>, now: Instant) {
        self.missed_reports
            .forget(MISSED_REPORT_MEMORY, answered_at);
        let wait = self.missed_reports.add(now);
        self.extend(now + wait);
    }

    /// Handles a start that was refused or not answered.
    pub(crate) fn start_failed(&mut self, now: Instant) {
        let wait = self.failed_starts.add(now);
        self.extend(now + wait);
    }

    /// Counts a failed run; returns whether it is a repeated failure.
    pub(crate) fn run_failed(&mut self) -> bool {
        self.failed_starts.count += 1;
        self.failed_starts.count >= FAILURES_BEFORE_BACKOFF
    }

    /// Handles a run that succeeded.
    pub(crate) fn run_succeeded(&mut self) {
        self.failed_starts.count = 0;
    }

    fn extend(&mut self, until: Instant) {
        self.until = self.until.max(Some(until));
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
        let (Some(last_at), Some(healthy_at)) = (self.last_at, healthy_at) else {
            return;
        };
        let healthy = healthy_at.saturating_duration_since(last_at);
        let forgotten = healthy.as_millis() / memory.as_millis();
        let forgotten = u32::try_from(forgotten).unwrap_or(u32::MAX);
        self.count = self.count.saturating_sub(forgotten);
    }
}

impl Engine {
    /// Handles a report request that `runner` did not answer.
    pub fn handle_missed_report(&mut self, runner: &str, now: Instant) {
        if let Some(&key) = self.runner_keys.get(runner) {
            let runner = self.runner_mut(key);
            runner.backoff.report_missed(runner.last_report_at, now);
            self.log_backoff(key);
        }
    }

    /// Counts a start that a runner refused or did not answer.
    pub(crate) fn back_off_runner(&mut self, key: RunnerKey, now: Instant) {
        self.runner_mut(key).backoff.start_failed(now);
        self.log_backoff(key);
    }

    fn log_backoff(&self, key: RunnerKey) {
        let runner = self.runner(key);
        log::debug!(
            "event=runner.backoff runner={} missed_reports={} failed_starts={}",
            runner.info.id,
            runner.backoff.missed_reports.count,
            runner.backoff.failed_starts.count
        );
    }
}
