//! CPU cost of the scheduling engine of a group owner, by the number of runners.
//!
//! The workload per runner is that of the busiest deployment that was measured: long-running tasks
//! that claim four fifths of the cores, urgent tasks beside them, and best-effort batch tasks that
//! use the idle capacity.

use persimmon_sched::{
    Answer, End, EndKind, Engine, JobId, JobSpec, Options, Order, Policy, Queue, Report, RunStatus,
    RunnerInfo, RunnerState, StepSpec, TaskId,
};
use persimmon_types::Size;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Simulated interval between scheduling rounds, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 10;
/// Simulated duration of the experiment, in milliseconds.
const EXPERIMENT_DURATION_MS: u64 = 12_000;
/// When the long-running jobs are submitted, and when the arrivals of all other jobs begin.
const LONG_RUNNING_SUBMIT_AT_MS: u64 = 500;
const ARRIVALS_START_AT_MS: u64 = 2_000;
/// Jobs per runner: long-running ones once at the start, urgent and batch ones per second. Those
/// of the measured deployment are divided by its 490 runners.
const LONG_RUNNING_JOBS_PER_RUNNER: f64 = 163.0 / 490.0;
const URGENT_JOBS_PER_RUNNER_PER_S: f64 = 14.6 / 490.0;
const BATCH_JOBS_PER_RUNNER_PER_S: f64 = 28.8 / 490.0;
/// A runner reports at least this often, and with new task ends at most every
/// `REPORT_INTERVAL_MIN_MS`.
const REPORT_INTERVAL_MAX_MS: u64 = 830;
const REPORT_INTERVAL_MIN_MS: u64 = 40;
/// Estimate of a long-running task: longer than the experiment, so that no such task ends before
/// the experiment does.
const LONG_RUNNING_ESTIMATE_MS: u64 = 60_000;

pub(super) fn run(seed: u64) -> String {
    let mut text = format!("seed {seed}\n\nprocessor time of an owner, ms a simulated second\n");
    text += "runners  starts/s  placing  reports  records   total  us a start\n";
    for runners in [66, 490, 1_000] {
        let cost = GroupSimulation::new(runners, seed).simulate();
        let seconds = EXPERIMENT_DURATION_MS as f64 / 1_000.0;
        let ms = |time: Duration| time.as_secs_f64() * 1e3 / seconds;
        let total = cost.placing + cost.reports + cost.records;
        text += &format!(
            "{runners:>7} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {:>7.2} {:>11.1}\n",
            cost.starts as f64 / seconds,
            ms(cost.placing),
            ms(cost.reports),
            ms(cost.records),
            ms(total),
            total.as_secs_f64() * 1e6 / cost.starts as f64,
        );
    }
    text
}

#[derive(Default)]
struct Cost {
    starts: u64,
    placing: Duration,
    reports: Duration,
    records: Duration,
}

/// Runs `work` and adds its elapsed time to `sum`.
fn measure_time<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let value = work();
    *sum += started_at.elapsed();
    value
}

/// A simulated runner that executes every order.
#[derive(Default)]
struct SimulatedRunner {
    /// By task: the run number, its end time and whether the task is long-running.
    running: BTreeMap<TaskId, (u32, u64, bool)>,
    ended: Vec<End>,
    last_end_number: u64,
    reported_at_ms: u64,
}

impl SimulatedRunner {
    fn end_run(&mut self, task: TaskId, run: u32, kind: EndKind) {
        self.running.remove(&task);
        self.last_end_number += 1;
        self.ended.push(End {
            number: self.last_end_number,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }

    fn end_due(&mut self, at_ms: u64) {
        let due = self
            .running
            .iter()
            .filter(|(_, &(_, ends_ms, _))| ends_ms <= at_ms);
        let due: Vec<_> = due.map(|(&task, &(run, ..))| (task, run)).collect();
        for (task, run) in due {
            self.end_run(task, run, EndKind::Done);
        }
    }
}

struct GroupSimulation {
    engine: Engine,
    runners_by_id: BTreeMap<String, SimulatedRunner>,
    rng: ChaCha8Rng,
    started_at: Instant,
    jobs: u64,
    cost: Cost,
}

impl GroupSimulation {
    fn new(runners: usize, seed: u64) -> Self {
        let started_at = Instant::now();
        let mut engine = Engine::new(Options::default(), started_at);
        engine.configure(policy());
        let mut runners_by_id = BTreeMap::new();
        for number in 0..runners {
            let info = runner_info(number);
            runners_by_id.insert(info.id.clone(), SimulatedRunner::default());
            engine.update_runner(info, started_at);
        }
        Self {
            engine,
            runners_by_id,
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            jobs: 0,
            cost: Cost::default(),
        }
    }

    fn simulate(mut self) -> Cost {
        let count = self.runners_by_id.len() as f64;
        let (mut urgent, mut batch) = (0.0, 0.0);
        for at_ms in (0..EXPERIMENT_DURATION_MS).step_by(ROUND_INTERVAL_MS as usize) {
            if at_ms == LONG_RUNNING_SUBMIT_AT_MS {
                for number in 0..(LONG_RUNNING_JOBS_PER_RUNNER * count) as u64 {
                    self.submit("long-running", at_ms, vec![long_running_step(number % 10)]);
                }
            }
            if at_ms >= ARRIVALS_START_AT_MS {
                let runner_seconds = count * ROUND_INTERVAL_MS as f64 / 1_000.0;
                urgent += URGENT_JOBS_PER_RUNNER_PER_S * runner_seconds;
                batch += BATCH_JOBS_PER_RUNNER_PER_S * runner_seconds;
            }
            while urgent >= 1.0 {
                urgent -= 1.0;
                self.submit("urgent", at_ms, vec![step_spec(15, 5_700, 800, None)]);
            }
            while batch >= 1.0 {
                batch -= 1.0;
                let image = self.rng.random_range(0..18);
                let first = step_spec(20, 3_500, 1_700, Some(image));
                let second = StepSpec {
                    after: vec![0],
                    ..first.clone()
                };
                self.submit("batch", at_ms, vec![first, second]);
            }
            self.round(at_ms);
        }
        self.cost
    }

    fn instant_at(&self, at_ms: u64) -> Instant {
        self.started_at + Duration::from_millis(at_ms)
    }

    fn submit(&mut self, queue: &str, at_ms: u64, steps: Vec<StepSpec>) {
        self.jobs += 1;
        let spec = JobSpec {
            id: JobId::new(self.jobs),
            queue: queue.to_owned(),
            payload: String::new(),
            submitted_at_ms: at_ms,
            steps,
            schedule: None,
        };
        let now = self.instant_at(at_ms);
        self.engine.add_job(spec, None, at_ms, now);
    }

    fn round(&mut self, at_ms: u64) {
        let now = self.instant_at(at_ms);
        self.deliver_reports(at_ms);
        let engine = &mut self.engine;
        engine.confirm_listing(now);
        measure_time(&mut self.cost.placing, || engine.tick(at_ms, now));
        measure_time(&mut self.cost.records, || {
            for commit in engine.take_commits(usize::MAX) {
                let bytes = commit.record.encode();
                std::hint::black_box(&bytes);
                engine.handle_commit(commit.job, commit.version, commit.revision + 1);
            }
        });
        for order in self.engine.take_orders() {
            self.execute_order(order, at_ms);
        }
    }

    /// Delivers the reports of runners with new task ends or whose report interval has passed.
    fn deliver_reports(&mut self, at_ms: u64) {
        let now = self.instant_at(at_ms);
        for (id, simulated) in &mut self.runners_by_id {
            simulated.end_due(at_ms);
            let since_report_ms = at_ms - simulated.reported_at_ms;
            let has_new_ends =
                !simulated.ended.is_empty() && since_report_ms >= REPORT_INTERVAL_MIN_MS;
            if !has_new_ends && since_report_ms < REPORT_INTERVAL_MAX_MS && at_ms > 0 {
                continue;
            }
            simulated.reported_at_ms = at_ms;
            let rng = &mut self.rng;
            let running = simulated.running.iter();
            let running = running.map(|(&task, &(run, _, long_running))| RunStatus {
                task,
                run,
                checkpoint: String::new(),
                measurement: if long_running {
                    rng.random_range(5..35)
                } else {
                    2_000
                },
                percent: 100,
            });
            let report = Report {
                incarnation_ms: 1,
                clock_ms: at_ms,
                running: running.collect(),
                ended: simulated.ended.clone(),
                has_more_ends: false,
            };
            let engine = &mut self.engine;
            measure_time(&mut self.cost.reports, || {
                engine.handle_report(id, &report, now, now)
            });
            // Called for its side effect, the extension of the runner's lease. The next poll would
            // send the returned deadline; without a new one the lease expires.
            engine.lease_deadline_ms(id, now);
            let acknowledged = engine.acknowledged(id);
            simulated.ended.retain(|end| end.number > acknowledged);
        }
    }

    fn execute_order(&mut self, order: Order, at_ms: u64) {
        let now = self.instant_at(at_ms);
        match order {
            Order::Start {
                runner,
                task,
                run,
                job,
                ..
            } => {
                let step = &job.steps[usize::from(task.step)];
                let jitter_ms = self.rng.random_range(0..step.estimate_ms);
                let ends_ms = at_ms + step.estimate_ms / 2 + jitter_ms;
                if let Some(simulated) = self.runners_by_id.get_mut(&runner) {
                    simulated
                        .running
                        .insert(task, (run, ends_ms, step.long_running));
                }
                self.cost.starts += 1;
                self.engine
                    .handle_start_answer(task, run, Answer::Started, now);
            }
            Order::Stop { runner, task, run } => {
                if let Some(simulated) = self.runners_by_id.get_mut(&runner) {
                    simulated.end_run(task, run, EndKind::Cut);
                }
                self.engine.handle_stop_answer(task, run, now);
            }
            Order::Throttle { .. } => {}
        }
    }
}

fn policy() -> Policy {
    let queue = |name: &str, priority| Queue {
        name: name.to_owned(),
        service: "bookings".to_owned(),
        priority,
        attempts_max: 2,
        stretch: 2.0,
        target_ms: 1_000,
        ..Queue::default()
    };
    Policy {
        version: 1,
        queues: vec![
            queue("urgent", 0),
            queue("long-running", 0),
            queue("batch", 2),
        ],
        ..Policy::default()
    }
}

fn runner_info(number: usize) -> RunnerInfo {
    RunnerInfo {
        id: format!("r-{number:06}"),
        address: "10.0.0.1:80".to_owned(),
        data_centre: String::new(),
        service: "bookings".to_owned(),
        state: RunnerState::Ready,
        cold_remaining: Duration::ZERO,
        capacity: Size {
            cpu_millis: 37_000,
            memory_mib: 160_000,
            accelerators: 0,
        },
        labels: vec!["a".to_owned(), format!("rack{}", number / 8)],
    }
}

fn long_running_step(image: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: 50,
        image: format!("service{image}"),
        ..step_spec(14, 6_400, LONG_RUNNING_ESTIMATE_MS, None)
    }
}

/// A step of an urgent job, or with `image` of a best-effort batch job that runs this image.
///
/// The step has `count` tasks, each of which claims `cpu_millis` of processors and 2 MiB of memory
/// per thousandth of a core, with an estimated run time of `estimate_ms`.
fn step_spec(count: u32, cpu_millis: u32, estimate_ms: u64, image: Option<u64>) -> StepSpec {
    StepSpec {
        count,
        size: Size {
            cpu_millis,
            memory_mib: cpu_millis * 2,
            accelerators: 0,
        },
        estimate_ms,
        best_effort: image.is_some(),
        checkpointing: image.is_some(),
        image: image.map_or("urgent".to_owned(), |image| format!("batch{image}")),
        ..StepSpec::default()
    }
}
