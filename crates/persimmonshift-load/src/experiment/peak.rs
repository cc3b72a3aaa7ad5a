//! Peak CPU use of batch work over a billing month, shortened to `DAYS` days: immediate start
//! against the planner and the offline lower bound.

use persimmon_peak::{baseline, Options, Planner, Profile, ReleasedWork, RunTimeEstimator, Work};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Simulated interval between scheduling decisions, in milliseconds.
const SCHEDULING_INTERVAL_MS: u64 = 5_000;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
/// Days before the billed month, which train the demand profile and the run time estimates.
const LEARNING_DAYS: u64 = 4;
const DAYS: u64 = 14;
const CLASSES: usize = 6;
/// Upper bound of actual over declared run time for a class without history, in thousandths.
const UNSEEN_CLASS_BOUND_PER_MILLE: u64 = 3_000;

#[derive(Debug, Clone)]
struct Job {
    release_ms: u64,
    deadline_ms: u64,
    class: usize,
    cpu_millis: u64,
    declared_ms: u64,
    actual_ms: u64,
}

pub(super) fn run(seed: u64) -> String {
    let mut text = format!(
        "seed {seed}, {LEARNING_DAYS} days to learn from, then {DAYS} days billed\n\ncase               \
         policy       jobs  missed  busiest minute, cores  over the offline bound\n"
    );
    for (name, max_estimate_error) in [("sizes known", 1.0), ("off by up to 3x", 3.0)] {
        let jobs = trace(seed, max_estimate_error);
        let bound = offline_bound(&jobs);
        text += &format!(
            "{name:<18} offline bound {:>5} {:>7} {:>22.1}\n",
            jobs.len(),
            0,
            cores(bound)
        );
        for policy in [Policy::RunAtOnce, Policy::Known, Policy::Expected] {
            let result = simulate(&jobs, policy);
            text += &format!(
                "{name:<18} {:<12} {:>5} {:>7} {:>22.1} {:>20.1} %\n",
                format!("{policy:?}"),
                jobs.len(),
                result.missed,
                cores(result.busiest),
                (result.busiest as f64 / bound as f64 - 1.0) * 100.0
            );
        }
    }
    text
}

fn cores(cpu_millis: u64) -> f64 {
    cpu_millis as f64 / 1000.0
}

/// Generates the jobs of each day: label batches released during working hours and due at 6:00 the
/// next day, a nightly reconciliation from 22:00 to 5:00, and jobs at any time, due in 5 hours.
fn trace(seed: u64, max_estimate_error: f64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The estimate error of a class is the same on all days; each job deviates up to 10 %.
    let class_errors: Vec<f64> = (0..CLASSES)
        .map(|_| max_estimate_error.powf(rng.random_range(-1.0..1.0)))
        .collect();
    let mut jobs = Vec::new();
    for day in 0..LEARNING_DAYS + DAYS {
        let day_weight = rng.random_range(0.95..1.0);
        let mut add = |rng: &mut ChaCha8Rng, class: usize, release_min: u64, deadline_min: u64| {
            let declared_ms = MINUTE_MS * rng.random_range(4..20);
            let job_error = if max_estimate_error > 1.0 {
                rng.random_range(0.9..1.1)
            } else {
                1.0
            };
            let actual_ms = (declared_ms as f64 * class_errors[class] * job_error) as u64;
            jobs.push(Job {
                release_ms: day * DAY_MS + release_min * MINUTE_MS,
                deadline_ms: day * DAY_MS + deadline_min * MINUTE_MS,
                class,
                cpu_millis: 1_000 * rng.random_range(1..5),
                declared_ms,
                actual_ms,
            });
        };
        for _ in 0..(1_500.0 * day_weight) as u32 {
            let release = rng.random_range(8 * 60..18 * 60);
            let class = rng.random_range(0..3);
            add(&mut rng, class, release, 30 * 60);
        }
        for _ in 0..(300.0 * day_weight) as u32 {
            add(&mut rng, 3, 22 * 60, 29 * 60);
        }
        for _ in 0..(400.0 * day_weight) as u32 {
            let release = rng.random_range(0..24 * 60);
            let class = rng.random_range(4..6);
            add(&mut rng, class, release, release + 5 * 60);
        }
    }
    jobs.sort_by_key(|job| job.release_ms);
    jobs
}

fn offline_bound(jobs: &[Job]) -> u64 {
    let billed = jobs
        .iter()
        .filter(|job| job.release_ms >= LEARNING_DAYS * DAY_MS);
    let released = billed.map(|job| ReleasedWork {
        release_unix_ms: job.release_ms,
        deadline_unix_ms: job.deadline_ms,
        cpu_millis_ms: u128::from(job.cpu_millis) * u128::from(job.actual_ms),
    });
    baseline::offline_bound_cpu_millis(&released.collect::<Vec<_>>())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    RunAtOnce,
    /// The planner, given the released work only.
    Known,
    /// The planner, given the released work and the demand profile of earlier days.
    Expected,
}

struct Outcome {
    busiest: u64,
    missed: u64,
}

struct Running<'a> {
    job: &'a Job,
    started_ms: u64,
}

fn simulate(jobs: &[Job], policy: Policy) -> Outcome {
    let mut planner = Planner::new(Options::default());
    let (mut profile, mut estimator) = (Profile::default(), RunTimeEstimator::default());
    let empty = Profile::default();
    let class_names: Vec<String> = (0..CLASSES).map(|class| format!("class-{class}")).collect();
    let mut queue: Vec<&Job> = Vec::new();
    let mut running: Vec<Running<'_>> = Vec::new();
    let mut arrivals = jobs.iter().peekable();
    let mut outcome = Outcome {
        busiest: 0,
        missed: 0,
    };
    let end = (LEARNING_DAYS + DAYS + 2) * DAY_MS;
    let mut level = baseline::unlimited_cpu_millis();
    let mut minute_cpu_ms: u64 = 0;
    for now in (0..end).step_by(SCHEDULING_INTERVAL_MS as usize) {
        let billed = now >= LEARNING_DAYS * DAY_MS;
        profile.advance_day(now);
        planner.start_month(u32::from(billed));
        while let Some(job) = arrivals.next_if(|job| job.release_ms <= now) {
            let mean_ms = estimator.mean_ms(&class_names[job.class], job.declared_ms);
            let work = u128::from(job.cpu_millis) * u128::from(mean_ms);
            profile.observe(now, job.deadline_ms, work);
            queue.push(job);
        }
        running.retain(|task| {
            let ended = task.started_ms + task.job.actual_ms <= now;
            if ended {
                let ended_ms = task.started_ms + task.job.actual_ms;
                outcome.missed += u64::from(ended_ms > task.job.deadline_ms && billed);
                let declared_ms = task.job.declared_ms;
                estimator.observe(
                    &class_names[task.job.class],
                    declared_ms,
                    task.job.actual_ms,
                );
            }
            !ended
        });
        let month_end = if billed { end } else { LEARNING_DAYS * DAY_MS };
        if now % MINUTE_MS == 0 && policy != Policy::RunAtOnce {
            let remaining_work = remaining_work(now, &queue, &running, &estimator, &class_names);
            let profile = if policy == Policy::Expected {
                &profile
            } else {
                &empty
            };
            level = planner.level(now, month_end, &remaining_work, profile);
        }
        // Ordered by latest start time: the deadline minus the upper bound of the run time.
        let upper_bound_ms = |job: &Job| {
            estimator.upper_bound_ms(
                &class_names[job.class],
                job.declared_ms,
                UNSEEN_CLASS_BOUND_PER_MILLE,
            )
        };
        queue.sort_by_key(|job| job.deadline_ms.saturating_sub(upper_bound_ms(job)));
        let mut used: u64 = running.iter().map(|task| task.job.cpu_millis).sum();
        let mut blocked = false;
        queue.retain(|job| {
            let must_start = now + upper_bound_ms(job) + MINUTE_MS >= job.deadline_ms;
            let fits = used.saturating_add(job.cpu_millis) <= level;
            // A job that does not fit blocks those behind it; small jobs would starve it otherwise.
            blocked |= !fits;
            let starts = must_start || !blocked;
            if starts {
                used += job.cpu_millis;
                running.push(Running {
                    job,
                    started_ms: now,
                });
            }
            !starts
        });
        minute_cpu_ms += used * SCHEDULING_INTERVAL_MS;
        if (now + SCHEDULING_INTERVAL_MS) % MINUTE_MS == 0 {
            let minute = minute_cpu_ms / MINUTE_MS;
            minute_cpu_ms = 0;
            planner.record_minute(minute);
            if billed {
                outcome.busiest = outcome.busiest.max(minute);
            }
        }
    }
    outcome.missed += queue.len() as u64;
    outcome
}

/// Returns the released work that remains, by the run time estimates.
fn remaining_work(
    now: u64,
    queue: &[&Job],
    running: &[Running<'_>],
    estimator: &RunTimeEstimator,
    class_names: &[String],
) -> Vec<Work> {
    let mean_ms = |job: &Job| estimator.mean_ms(&class_names[job.class], job.declared_ms);
    let queued = queue.iter().map(|job| Work {
        cpu_millis: job.cpu_millis,
        run_ms: mean_ms(job),
        upper_bound_ms: estimator.upper_bound_ms(
            &class_names[job.class],
            job.declared_ms,
            UNSEEN_CLASS_BOUND_PER_MILLE,
        ),
        deadline_unix_ms: job.deadline_ms,
    });
    let started = running.iter().map(|task| Work {
        cpu_millis: task.job.cpu_millis,
        run_ms: mean_ms(task.job)
            .saturating_sub(now - task.started_ms)
            .max(MINUTE_MS),
        upper_bound_ms: 0,
        deadline_unix_ms: task.job.deadline_ms,
    });
    queued.chain(started).collect()
}
