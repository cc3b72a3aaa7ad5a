//! Best-effort tasks beside latency-critical ones, whose tail latencies they raise.

use super::{Simulation, Worker, FAULTS_MS, RUNS_AGAIN_MS, TICK_MS};
use crate::support::{job, policy, step, SERVICE};
use persimmon_sched::{JobId, JobSpec, Policy, Queue, StepSpec, TaskId};
use rand::Rng;

/// Job of latency-critical tasks.
pub(super) const SERVING_JOB: u64 = 102;
/// Ids of jobs of best-effort tasks.
const JOBS: std::ops::Range<u64> = 120..200;
const QUEUE: &str = "best-effort";
const SUBMIT_INTERVAL_MS: u64 = 3_000;
/// Runs that fail by their own fault, also while there are no faults.
const FAILS_PERCENT: u32 = 20;
const TARGET_MS: u64 = 1_000;
/// Ratio of tail latency to target without best-effort work.
const OWN_RATIO: f64 = 0.5;
/// Rise of the logarithm of a tail latency for each run of an image.
const RISES: [f64; 3] = [0.0, 0.2, 0.8];

pub(super) fn is_best_effort(id: TaskId) -> bool {
    JOBS.contains(&id.job.number)
}

/// The policy of the other tests, and a queue whose tasks may fail often.
pub(super) fn policy_with_best_effort_queue() -> Policy {
    let mut policy = policy();
    policy.queues.push(Queue {
        name: QUEUE.to_owned(),
        service: SERVICE.to_owned(),
        priority: 1,
        attempts_max: 1_000,
        stretch: 2.0,
        target_ms: 1_000,
        ..Queue::default()
    });
    policy
}

fn rise(id: TaskId) -> f64 {
    RISES[id.job.number as usize % RISES.len()]
}

impl Simulation {
    pub(super) fn submit_serving_job(&mut self, tasks: u32) {
        let serving = StepSpec {
            image: "serving".to_owned(),
            tail_target_ms: TARGET_MS,
            long_running: true,
            per_runner_max: 1,
            ..step(tasks)
        };
        self.submit_job(job(SERVING_JOB, vec![serving]));
    }

    /// Submits a best-effort job from time to time, also while there are no faults.
    pub(super) fn submit_best_effort_jobs(&mut self) {
        if self.now_ms % SUBMIT_INTERVAL_MS != 0 || self.now_ms > FAULTS_MS + RUNS_AGAIN_MS {
            return;
        }
        let id = JOBS.start + self.now_ms / SUBMIT_INTERVAL_MS;
        assert!(JOBS.contains(&id));
        let batch = StepSpec {
            image: format!("batch-{}", id as usize % RISES.len()),
            best_effort: true,
            ..step(self.best_effort_tasks)
        };
        self.job_last_run_ms.insert(JobId::new(id), self.now_ms);
        self.submit_job(JobSpec {
            queue: QUEUE.to_owned(),
            ..job(id, vec![batch])
        });
    }

    /// Notes which best-effort jobs have a task that runs.
    pub(super) fn note_running_jobs(&mut self) {
        let running = self.workers.iter().flat_map(|it| it.running.keys());
        let jobs = running.filter(|&&id| is_best_effort(id)).map(|id| id.job);
        self.job_last_run_ms
            .extend(jobs.map(|id| (id, self.now_ms)));
    }

    /// Returns whether a run of a best-effort task fails.
    pub(super) fn best_effort_run_fails(&mut self, id: TaskId) -> bool {
        is_best_effort(id) && self.rng.random_range(0..100) < FAILS_PERCENT
    }
}

impl Worker {
    /// Lets limited runs take longer.
    pub(super) fn slow_down_limited_runs(&mut self) {
        for run in self.running.values_mut() {
            let idle_ms = TICK_MS * (100 - u64::from(run.percent)) / 100;
            run.until_ms = run.until_ms.saturating_add(idle_ms);
        }
    }

    /// Tail latency of a latency-critical task, and processor use of a best-effort one.
    pub(super) fn measurement(&self, id: TaskId) -> u64 {
        let runs = self.running.iter().filter(|(&id, _)| is_best_effort(id));
        if id.job.number == SERVING_JOB {
            let rises = runs.map(|(&id, it)| rise(id) * f64::from(it.percent) / 100.0);
            return (OWN_RATIO * rises.sum::<f64>().exp() * TARGET_MS as f64) as u64;
        }
        let mut own = runs.filter(|(&it, _)| it == id);
        own.next().map_or(0, |(_, it)| u64::from(it.percent) * 10)
    }
}
