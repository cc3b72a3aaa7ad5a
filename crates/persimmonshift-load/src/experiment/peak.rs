//! The busiest minute of a month of batch work: run at once, the planner, and the offline bound.

use persimmon_peak::{baseline, Options, Planner, Profile, ReleasedWork, RunTimeEstimator, Work};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How often tasks are started.
const TICK_MS: u64 = 5_000;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;
/// Days before the month that is billed, from which the profile and the estimates are learned.
const LEARNING_DAYS: u64 = 4;
const DAYS: u64 = 14;
const CLASSES: usize = 6;
/// How far a class that was never seen may be off, in thousandths.
const UNKNOWN_PER_MILLE: u64 = 3_000;

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
    for (name, off) in [("sizes known", 1.0), ("off by up to 3x", 3.0)] {
        let jobs = trace(seed, off);
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

/// Label batches through the working day, due the next dawn; a reconciliation each night; short
/// jobs at any time, due within hours.
fn trace(seed: u64, off: f64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // How far each class is off is the same on all days; a task is off by a little more.
    let ratios: Vec<f64> = (0..CLASSES)
        .map(|_| off.powf(rng.random_range(-1.0..1.0)))
        .collect();
    let mut jobs = Vec::new();
    for day in 0..LEARNING_DAYS + DAYS {
        let weight = rng.random_range(0.95..1.0);
        let mut add = |rng: &mut ChaCha8Rng, class: usize, release_min: u64, deadline_min: u64| {
            let declared_ms = MINUTE_MS * rng.random_range(4..20);
            let spread = if off > 1.0 {
                rng.random_range(0.9..1.1)
            } else {
                1.0
            };
            let actual_ms = (declared_ms as f64 * ratios[class] * spread) as u64;
            jobs.push(Job {
                release_ms: day * DAY_MS + release_min * MINUTE_MS,
                deadline_ms: day * DAY_MS + deadline_min * MINUTE_MS,
                class,
                cpu_millis: 1_000 * rng.random_range(1..5),
                declared_ms,
                actual_ms,
            });
        };
        for _ in 0..(1_500.0 * weight) as u32 {
            let release = rng.random_range(8 * 60..18 * 60);
            let class = rng.random_range(0..3);
            add(&mut rng, class, release, 30 * 60);
        }
        for _ in 0..(300.0 * weight) as u32 {
            add(&mut rng, 3, 22 * 60, 29 * 60);
        }
        for _ in 0..(400.0 * weight) as u32 {
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
    /// The planner with the work that is there.
    Known,
    /// The planner with its profile of earlier days as well.
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
    let (mut profile, mut estimate) = (Profile::default(), RunTimeEstimator::default());
    let empty = Profile::default();
    let names: Vec<String> = (0..CLASSES).map(|class| format!("class-{class}")).collect();
    let mut queue: Vec<&Job> = Vec::new();
    let mut running: Vec<Running<'_>> = Vec::new();
    let mut coming = jobs.iter().peekable();
    let mut outcome = Outcome {
        busiest: 0,
        missed: 0,
    };
    let end = (LEARNING_DAYS + DAYS + 2) * DAY_MS;
    let mut level = baseline::unlimited_cpu_millis();
    let mut minute_cpu_ms: u64 = 0;
    for now in (0..end).step_by(TICK_MS as usize) {
        let billed = now >= LEARNING_DAYS * DAY_MS;
        profile.advance_day(now);
        planner.start_month(u32::from(billed));
        while let Some(job) = coming.next_if(|job| job.release_ms <= now) {
            let mean_ms = estimate.mean_ms(&names[job.class], job.declared_ms);
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
                estimate.observe(&names[task.job.class], declared_ms, task.job.actual_ms);
            }
            !ended
        });
        let month_end = if billed { end } else { LEARNING_DAYS * DAY_MS };
        if now % MINUTE_MS == 0 && policy != Policy::RunAtOnce {
            let known = known(now, &queue, &running, &estimate, &names);
            let profile = if policy == Policy::Expected {
                &profile
            } else {
                &empty
            };
            level = planner.level(now, month_end, &known, profile);
        }
        // Most pressing first, by the run time that is safe to count on.
        let safe_ms = |job: &Job| {
            estimate.upper_bound_ms(&names[job.class], job.declared_ms, UNKNOWN_PER_MILLE)
        };
        queue.sort_by_key(|job| job.deadline_ms.saturating_sub(safe_ms(job)));
        let mut used: u64 = running.iter().map(|task| task.job.cpu_millis).sum();
        let mut blocked = false;
        queue.retain(|job| {
            let must = now + safe_ms(job) + MINUTE_MS >= job.deadline_ms;
            let fits = used.saturating_add(job.cpu_millis) <= level;
            // Narrow tasks must not starve a wide one before them.
            blocked |= !fits;
            let starts = must || !blocked;
            if starts {
                used += job.cpu_millis;
                running.push(Running {
                    job,
                    started_ms: now,
                });
            }
            !starts
        });
        minute_cpu_ms += used * TICK_MS;
        if (now + TICK_MS) % MINUTE_MS == 0 {
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

/// The work that is there, as far as estimates tell.
fn known(
    now: u64,
    queue: &[&Job],
    running: &[Running<'_>],
    estimate: &RunTimeEstimator,
    names: &[String],
) -> Vec<Work> {
    let mean_ms = |job: &Job| estimate.mean_ms(&names[job.class], job.declared_ms);
    let waiting = queue.iter().map(|job| Work {
        cpu_millis: job.cpu_millis,
        run_ms: mean_ms(job),
        upper_bound_ms: estimate.upper_bound_ms(
            &names[job.class],
            job.declared_ms,
            UNKNOWN_PER_MILLE,
        ),
        deadline_unix_ms: job.deadline_ms,
    });
    let begun = running.iter().map(|task| Work {
        cpu_millis: task.job.cpu_millis,
        run_ms: mean_ms(task.job)
            .saturating_sub(now - task.started_ms)
            .max(MINUTE_MS),
        upper_bound_ms: 0,
        deadline_unix_ms: task.job.deadline_ms,
    });
    waiting.chain(begun).collect()
}
