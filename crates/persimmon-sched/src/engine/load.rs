use super::{Engine, Rank};
use std::fmt;

/// Load of a group; processor time is in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of runners that may be given new tasks.
    pub schedulable_runners: usize,
    /// Processor capacity of those runners.
    pub capacity_millis: u64,
    /// Claims of latency-critical tasks.
    pub latency_critical_millis: u64,
    /// Other claims of jobs of the highest priority.
    pub urgent_millis: u64,
    /// Claims of all other jobs.
    pub other_millis: u64,
    /// Maximum processor time of best-effort runs.
    pub best_effort_millis: u64,
    /// Number of latency-critical tasks that report a tail latency.
    pub tails: u64,
    /// Number of those whose tail latency is over its target.
    pub tails_over_target: u64,
    /// Number of tasks that wait for a runner: latency-critical, other urgent, all others.
    pub waiting: [u64; 3],
    /// Number of runners in evacuated data centres.
    pub evacuated_runners: usize,
}

impl fmt::Display for Load {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [serving, urgent, other] = self.waiting;
        write!(
            out,
            "open={} capacity={} serving={} urgent={} other={} filling={} \
             tails={} over_target={} \
             waiting_serving={serving} waiting_urgent={urgent} waiting_other={other} \
             evacuated={}",
            self.schedulable_runners,
            self.capacity_millis,
            self.latency_critical_millis,
            self.urgent_millis,
            self.other_millis,
            self.best_effort_millis,
            self.tails,
            self.tails_over_target,
            self.evacuated_runners,
        )
    }
}

impl Engine {
    /// Returns the load of the group at `now`.
    pub fn load(&self, now: std::time::Instant) -> Load {
        let evacuated = self.runners.iter().filter(|it| it.is_evacuated);
        let mut load = Load {
            evacuated_runners: evacuated.count(),
            ..Load::default()
        };
        for runner in self
            .runners
            .iter()
            .filter(|it| self.is_schedulable(it, now))
        {
            load.schedulable_runners += 1;
            load.capacity_millis += u64::from(runner.info.capacity.cpu_millis);
            load.tails += runner.tails().len() as u64;
            load.tails_over_target +=
                runner.tails().iter().filter(|it| it.ratio > 1.0).count() as u64;
            load.best_effort_millis += u64::from(runner.best_effort_cpu_millis);
            let mut job_of_last = None;
            for ((task, _), claim) in &runner.claims {
                let millis = u64::from(claim.size.cpu_millis);
                if claim.latency_critical {
                    load.latency_critical_millis += millis;
                    continue;
                }
                // Claims of a job are adjacent.
                let (_, is_urgent) = job_of_last
                    .filter(|(job, _)| *job == task.job)
                    .unwrap_or_else(|| (task.job, self.is_urgent(task.job)));
                job_of_last = Some((task.job, is_urgent));
                if is_urgent {
                    load.urgent_millis += millis;
                } else {
                    load.other_millis += millis;
                }
            }
        }
        let mut kind_of_last = None;
        for &rank in &self.ready {
            let step = rank.last_of_step();
            let (_, kind) = kind_of_last
                .filter(|(last, _)| *last == step)
                .unwrap_or_else(|| (step, self.waiting_kind(rank)));
            kind_of_last = Some((step, kind));
            load.waiting[kind] += 1;
        }
        load
    }

    /// Index into [`Load::waiting`] of a task.
    fn waiting_kind(&self, rank: Rank) -> usize {
        let step = self.step_of(rank.task);
        if step.is_some_and(crate::StepSpec::is_latency_critical) {
            0
        } else if rank.priority == 0 {
            1
        } else {
            2
        }
    }

    fn is_urgent(&self, job: crate::JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.priority == 0)
    }
}
