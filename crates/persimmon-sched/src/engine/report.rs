use super::{Engine, Stage, State};
use crate::{
    fleet::{PendingEnd, RunnerKey},
    End, EndKind, Phase, Report, RunStatus, TaskId,
};
use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

/// Before a task that failed is placed again.
const FAILED_BACKOFF: Duration = Duration::from_millis(30);
/// Runs that fail in a row before a runner is avoided: one may be the job's own fault.
const FAILURES_BEFORE_AVOID: u32 = 2;

impl Engine {
    /// The highest end on `runner` that is committed and may be acknowledged.
    pub fn acknowledged(&self, runner: &str) -> u64 {
        let key = self.runner_keys.get(runner);
        key.map_or(0, |&key| self.runner(key).acknowledged)
    }

    /// Tells whether ends of `runner` wait to be committed.
    pub fn has_pending_ends(&self, runner: &str) -> bool {
        let key = self.runner_keys.get(runner);
        key.is_some_and(|&key| !self.runner(key).ends.is_empty())
    }

    /// Tells whether `runner` must be looked after: it is listed or may run something.
    pub fn needs_polling(&self, runner: &str) -> bool {
        let key = self.runner_keys.get(runner);
        key.map(|&key| self.runner(key))
            .is_some_and(|it| it.listed || !it.claims.is_empty())
    }

    /// The lease deadline to send to `runner` at `now`, on its clock; `None` if it was not heard
    /// lately. A call without an answer may have renewed the lease, so a silent runner is asked
    /// without a deadline: its lease must come to an end.
    pub fn lease_deadline_ms(&mut self, runner: &str, now: Instant) -> Option<u64> {
        let key = *self.runner_keys.get(runner)?;
        let heard_within = self.options.heard_within;
        let heard_at = self.runner(key).heard_at?;
        if now >= heard_at + heard_within {
            return None;
        }
        let lease_ms = self.options.lease.as_millis() as u64;
        let lease = &mut self.runner_mut(key).lease;
        let (clock_ms, at) = lease.sample?;
        let elapsed_ms = now.saturating_duration_since(at).as_millis() as u64;
        lease.deadline_ms = lease.deadline_ms.max(clock_ms + elapsed_ms + lease_ms);
        Some(lease.deadline_ms)
    }

    /// Takes note that `runner` did not answer.
    pub fn handle_missed_report(&mut self, runner: &str, now: Instant) {
        if let Some(&key) = self.runner_keys.get(runner) {
            self.avoid(key, now);
        }
    }

    /// Takes a runner's report, which was asked for at `asked_at`.
    pub fn handle_report(
        &mut self,
        runner: &str,
        report: &Report,
        asked_at: Instant,
        now: Instant,
    ) {
        let key = self.runner_key(runner);
        self.reborn(key, report.incarnation_ms, now);
        let longest = self.options.lease_max;
        let it = self.runner_mut(key);
        it.heard_at = Some(now);
        it.lease.hear(report.clock_ms, longest, now);
        for end in &report.ended {
            self.take_end(key, end, now);
        }
        let mut listed = HashSet::with_capacity(report.running.len());
        for run in &report.running {
            listed.insert((run.task, run.run));
            self.take_listed(key, run, now);
        }
        self.drop_unlisted(key, &listed, asked_at);
        self.take_figures(key, &report.running, now);
    }

    fn take_end(&mut self, key: RunnerKey, end: &End, now: Instant) {
        let runner = self.runner_mut(key);
        if end.number <= runner.processed {
            return;
        }
        runner.processed = end.number;
        runner.release(end.task, end.run);
        let placed = |state| matches!(state, State::Placed { runner, .. } if runner == key);
        let task = self.task(end.task);
        let current = task.is_some_and(|task| task.run == end.run && placed(task.state));
        log::debug!(
            "event=run.end task={} run={} runner={} kind={:?} current={current}",
            end.task,
            end.run,
            self.runner(key).info.id,
            end.kind
        );
        if current {
            self.end_current(key, end, now);
        }
        let job = self.jobs.get(&end.task.job);
        let version = job.map_or(0, |job| job.version);
        let committed = job.is_none_or(|job| job.committed >= version);
        let runner = self.runner_mut(key);
        if committed && runner.ends.is_empty() {
            runner.acknowledged = end.number;
        } else {
            runner.ends.push_back(PendingEnd {
                number: end.number,
                job: end.task.job,
                version,
            });
        }
    }

    fn end_current(&mut self, key: RunnerKey, end: &End, now: Instant) {
        let id = end.task;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.version += 1;
        job.begun = true;
        self.dirty.insert(id.job);
        let spec = &job.spec.steps[usize::from(id.step)];
        let (long_running, attempts_max) = (spec.long_running, job.attempts_max);
        let step = &mut job.tasks[id.occurrence as usize][usize::from(id.step)];
        let task = &mut step.tasks[usize::from(id.index)];
        let began_at = match task.state {
            State::Placed {
                stage: Stage::Running(at),
                ..
            } => Some(at),
            _ => None,
        };
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.kind {
            EndKind::Done if !long_running => {
                task.state = State::Done;
                step.done += 1;
                if let Some(at) = began_at {
                    let queue = &job.spec.queue;
                    self.durations
                        .learn(queue, now.saturating_duration_since(at));
                }
                self.runner_mut(key).failures = 0;
                self.advance(id, now);
            }
            EndKind::Failed if !long_running => {
                task.failures += 1;
                let spent = task.failures >= attempts_max;
                self.requeue(id, end.run, Some(now + FAILED_BACKOFF));
                self.count_failure(key, now);
                if spent && !self.is_final(id) {
                    self.finish(id.job, Phase::Failed, now);
                }
            }
            EndKind::Done | EndKind::Failed | EndKind::Cut => {
                if end.kind == EndKind::Failed {
                    self.count_failure(key, now);
                }
                self.requeue(id, end.run, None);
            }
        }
    }

    fn count_failure(&mut self, key: RunnerKey, now: Instant) {
        let runner = self.runner_mut(key);
        runner.failures += 1;
        if runner.failures >= FAILURES_BEFORE_AVOID {
            self.avoid(key, now);
        }
    }

    fn is_final(&self, id: TaskId) -> bool {
        self.jobs
            .get(&id.job)
            .is_none_or(|job| job.phase.is_final())
    }

    /// Opens what waited for a task that is done, or ends its job.
    fn advance(&mut self, id: TaskId, now: Instant) {
        self.open_steps(id.job, id.occurrence);
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let all = job.tasks.len() as u32 == job.spec.occurrences();
        let done = all && job.tasks.iter().flatten().all(super::Step::is_done);
        if done && !job.phase.is_final() {
            self.finish(id.job, Phase::Completed, now);
        }
    }

    /// Takes a run that is listed as running.
    fn take_listed(&mut self, key: RunnerKey, run: &RunStatus, now: Instant) {
        let placed = |state| matches!(state, State::Placed { runner, .. } if runner == key);
        let current = self
            .task_mut(run.task)
            .filter(|task| task.run == run.run && placed(task.state));
        let Some(task) = current else {
            self.stop_stray(key, run, now);
            return;
        };
        if !run.checkpoint.is_empty() {
            task.checkpoint.clone_from(&run.checkpoint);
        }
        if let State::Placed { runner, stage } = task.state {
            let there = match stage {
                Stage::Ordered | Stage::Adopted => true,
                Stage::Doubt { stopped_at, .. } => stopped_at.is_none(),
                Stage::Committing(_) | Stage::Running(_) | Stage::Stopping { .. } => false,
            };
            if there {
                let stage = Stage::Running(now);
                task.state = State::Placed { runner, stage };
                self.begin(run.task);
            }
        }
    }

    /// Stops a run that no record names: an earlier owner's, or one that came late.
    fn stop_stray(&mut self, key: RunnerKey, run: &RunStatus, now: Instant) {
        log::warn!(
            "event=run.stray task={} run={} runner={}",
            run.task,
            run.run,
            self.runner(key).info.id
        );
        if let Some(claim) = self.claim_of(run.task, now) {
            self.runner_mut(key).claim(run.task, run.run, claim);
        }
        self.order_stop(key, run.task, run.run);
    }

    /// Takes runs as ended that a report should list and doesn't.
    fn drop_unlisted(
        &mut self,
        key: RunnerKey,
        listed: &HashSet<(TaskId, u32)>,
        asked_at: Instant,
    ) {
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (id, run) in claims {
            if listed.contains(&(id, run)) {
                continue;
            }
            let state = self
                .task(id)
                .filter(|task| task.run == run)
                .map(|task| task.state);
            let gone = match state {
                Some(State::Placed { runner, stage }) if runner == key => match stage {
                    Stage::Adopted => true,
                    Stage::Running(since) => asked_at > since,
                    Stage::Doubt { stopped_at, .. } | Stage::Stopping { stopped_at, .. } => {
                        stopped_at.is_some_and(|at| asked_at > at)
                    }
                    Stage::Committing(_) | Stage::Ordered => false,
                },
                _ => {
                    self.runner_mut(key).release(id, run);
                    false
                }
            };
            if gone {
                log::info!(
                    "event=run.absent task={id} run={run} runner={}",
                    self.runner(key).info.id
                );
                self.requeue(id, run, None);
            }
        }
    }
}
