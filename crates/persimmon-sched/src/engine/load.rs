use super::{Engine, Rank};
use std::fmt;

/// What a group carries and what waits, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Runners that may get new tasks.
    pub open_runners: usize,
    /// Their capacity.
    pub capacity_millis: u64,
    /// Claims of tasks that serve.
    pub serving_millis: u64,
    /// Other claims of jobs that go first.
    pub urgent_millis: u64,
    /// Claims of all other jobs.
    pub other_millis: u64,
    /// What runs on processors that others leave idle.
    pub filling_millis: u64,
    /// Serving tasks that report a tail latency.
    pub tails: u64,
    /// Those of them that are over their target.
    pub tails_over: u64,
    /// Tasks that wait for a runner: those that serve, other urgent ones, all others.
    pub waiting: [u64; 3],
}

impl fmt::Display for Load {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [serving, urgent, other] = self.waiting;
        write!(
            out,
            "open={} capacity={} serving={} urgent={} other={} filling={} \
             tails={} over_target={} \
             waiting_serving={serving} waiting_urgent={urgent} waiting_other={other}",
            self.open_runners,
            self.capacity_millis,
            self.serving_millis,
            self.urgent_millis,
            self.other_millis,
            self.filling_millis,
            self.tails,
            self.tails_over,
        )
    }
}

impl Engine {
    /// What the group carries at `now`.
    pub fn load(&self, now: std::time::Instant) -> Load {
        let mut load = Load::default();
        for runner in self.runners.iter().filter(|it| self.is_open(it, now)) {
            load.open_runners += 1;
            load.capacity_millis += u64::from(runner.info.capacity.cpu_millis);
            load.tails += runner.tails.len() as u64;
            load.tails_over += runner.tails.iter().filter(|it| it.ratio > 1.0).count() as u64;
            load.filling_millis += u64::from(runner.fill_cpu_millis);
            for ((task, _), claim) in &runner.claims {
                let millis = u64::from(claim.size.cpu_millis);
                if claim.latency_critical {
                    load.serving_millis += millis;
                } else if self.is_urgent(task.job) {
                    load.urgent_millis += millis;
                } else {
                    load.other_millis += millis;
                }
            }
        }
        for Rank { priority, task, .. } in &self.ready {
            let latency_critical = self
                .step_of(*task)
                .is_some_and(crate::StepSpec::is_latency_critical);
            let kind = if latency_critical {
                0
            } else if *priority == 0 {
                1
            } else {
                2
            };
            load.waiting[kind] += 1;
        }
        load
    }

    fn is_urgent(&self, job: crate::JobId) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.priority == 0)
    }
}
