//! The owner of a group: processor time of its decisions by the number of runners.
//!
//! The mix is that of the busiest deployment that was measured, for each runner: lasting tasks that claim
//! four fifths of the cores, urgent tasks beside them, and batch work that fills what is idle.

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

/// Simulated time between two rounds of decisions, in milliseconds.
const ROUND_MS: u64 = 10;
/// Simulated time of a run, in milliseconds.
const RUN_MS: u64 = 12_000;
/// When lasting tasks are submitted, and when all other work begins.
const LASTING_AT_MS: u64 = 500;
const WORK_FROM_MS: u64 = 2_000;
/// Jobs by runner: lasting ones at the start, urgent ones and batch ones a second.
const LASTING_PER_RUNNER: f64 = 163.0 / 490.0;
const URGENT_PER_RUNNER_S: f64 = 14.6 / 490.0;
const BATCH_PER_RUNNER_S: f64 = 28.8 / 490.0;
/// A look at a runner is answered at the latest after this time, and soonest after the other.
const LOOK_MAX_MS: u64 = 830;
const LOOK_MIN_MS: u64 = 40;
/// A lasting task outlives the run.
const LASTING_MS: u64 = 60_000;

pub(super) fn run(seed: u64) -> String {
    let mut text = format!("seed {seed}\n\nprocessor time of an owner, ms a simulated second\n");
    text += "runners  starts/s  placing  reports  records   total  us a start\n";
    for runners in [66, 490, 1_000] {
        let cost = Group::new(runners, seed).play();
        let seconds = RUN_MS as f64 / 1_000.0;
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

/// Adds the time that `work` takes to `sum`.
fn timed<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let began_at = Instant::now();
    let value = work();
    *sum += began_at.elapsed();
    value
}

/// A runner that does what it is told.
#[derive(Default)]
struct Worker {
    /// By task: the run, when it ends and whether it lasts.
    running: BTreeMap<TaskId, (u32, u64, bool)>,
    ended: Vec<End>,
    ends: u64,
    looked_at_ms: u64,
}

impl Worker {
    fn end(&mut self, task: TaskId, run: u32, kind: EndKind) {
        self.running.remove(&task);
        self.ends += 1;
        self.ended.push(End {
            number: self.ends,
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
            self.end(task, run, EndKind::Done);
        }
    }
}

struct Group {
    engine: Engine,
    workers: BTreeMap<String, Worker>,
    random: ChaCha8Rng,
    began_at: Instant,
    jobs: u64,
    cost: Cost,
}

impl Group {
    fn new(runners: usize, seed: u64) -> Self {
        let began_at = Instant::now();
        let mut engine = Engine::new(Options::default(), began_at);
        engine.configure(policy());
        let mut workers = BTreeMap::new();
        for number in 0..runners {
            let info = runner(number);
            workers.insert(info.id.clone(), Worker::default());
            engine.update_runner(info, began_at);
        }
        Self {
            engine,
            workers,
            random: ChaCha8Rng::seed_from_u64(seed),
            began_at,
            jobs: 0,
            cost: Cost::default(),
        }
    }

    fn play(mut self) -> Cost {
        let count = self.workers.len() as f64;
        let (mut urgent, mut batch) = (0.0, 0.0);
        for at_ms in (0..RUN_MS).step_by(ROUND_MS as usize) {
            if at_ms == LASTING_AT_MS {
                for number in 0..(LASTING_PER_RUNNER * count) as u64 {
                    self.submit("lasting", at_ms, vec![lasting(number % 10)]);
                }
            }
            if at_ms >= WORK_FROM_MS {
                let share = count * ROUND_MS as f64 / 1_000.0;
                urgent += URGENT_PER_RUNNER_S * share;
                batch += BATCH_PER_RUNNER_S * share;
            }
            while urgent >= 1.0 {
                urgent -= 1.0;
                self.submit("urgent", at_ms, vec![work(15, 5_700, 800, None)]);
            }
            while batch >= 1.0 {
                batch -= 1.0;
                let image = self.random.random_range(0..18);
                let first = work(20, 3_500, 1_700, Some(image));
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

    fn at(&self, at_ms: u64) -> Instant {
        self.began_at + Duration::from_millis(at_ms)
    }

    fn submit(&mut self, queue: &str, at_ms: u64, steps: Vec<StepSpec>) {
        self.jobs += 1;
        let spec = JobSpec {
            id: JobId(self.jobs),
            queue: queue.to_owned(),
            payload: String::new(),
            submitted_at_ms: at_ms,
            steps,
            schedule: None,
        };
        let now = self.at(at_ms);
        self.engine.add_job(spec, None, at_ms, now);
    }

    fn round(&mut self, at_ms: u64) {
        let now = self.at(at_ms);
        self.look(at_ms);
        let engine = &mut self.engine;
        timed(&mut self.cost.placing, || engine.tick(at_ms, now));
        timed(&mut self.cost.records, || {
            for commit in engine.take_commits(usize::MAX) {
                let bytes = commit.record.encode();
                std::hint::black_box(&bytes);
                engine.handle_commit(commit.job, commit.version, commit.revision + 1);
            }
        });
        for order in self.engine.take_orders() {
            self.carry_out(order, at_ms);
        }
    }

    /// Lets the runners answer that have something to tell, or told nothing for long.
    fn look(&mut self, at_ms: u64) {
        let now = self.at(at_ms);
        for (id, worker) in &mut self.workers {
            worker.end_due(at_ms);
            let after_ms = at_ms - worker.looked_at_ms;
            let has_news = !worker.ended.is_empty() && after_ms >= LOOK_MIN_MS;
            if !has_news && after_ms < LOOK_MAX_MS && at_ms > 0 {
                continue;
            }
            worker.looked_at_ms = at_ms;
            let random = &mut self.random;
            let running = worker.running.iter();
            let running = running.map(|(&task, &(run, _, lasts))| RunStatus {
                task,
                run,
                checkpoint: String::new(),
                measurement: if lasts {
                    random.random_range(5..35)
                } else {
                    2_000
                },
                percent: 100,
            });
            let report = Report {
                incarnation_ms: 1,
                clock_ms: at_ms,
                running: running.collect(),
                ended: worker.ended.clone(),
            };
            let engine = &mut self.engine;
            timed(&mut self.cost.reports, || {
                engine.handle_report(id, &report, now, now)
            });
            // As the next look would send it: without a new deadline the runner's lease ends.
            engine.lease_deadline_ms(id, now);
            let acknowledged = engine.acknowledged(id);
            worker.ended.retain(|end| end.number > acknowledged);
        }
    }

    fn carry_out(&mut self, order: Order, at_ms: u64) {
        let now = self.at(at_ms);
        match order {
            Order::Start {
                runner,
                task,
                run,
                job,
                ..
            } => {
                let step = &job.steps[usize::from(task.step)];
                let off_ms = self.random.random_range(0..step.estimate_ms);
                let ends_ms = at_ms + step.estimate_ms / 2 + off_ms;
                if let Some(worker) = self.workers.get_mut(&runner) {
                    worker
                        .running
                        .insert(task, (run, ends_ms, step.long_running));
                }
                self.cost.starts += 1;
                self.engine
                    .handle_start_answer(task, run, Answer::Started, now);
            }
            Order::Stop { runner, task, run } => {
                if let Some(worker) = self.workers.get_mut(&runner) {
                    worker.end(task, run, EndKind::Cut);
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
        queues: vec![queue("urgent", 0), queue("lasting", 0), queue("batch", 2)],
        ..Policy::default()
    }
}

fn runner(number: usize) -> RunnerInfo {
    RunnerInfo {
        id: format!("r-{number:06}"),
        address: "10.0.0.1:80".to_owned(),
        service: "bookings".to_owned(),
        state: RunnerState::Ready,
        capacity: Size {
            cpu_millis: 37_000,
            memory_mib: 160_000,
            accelerators: 0,
        },
        labels: vec!["a".to_owned(), format!("rack{}", number / 8)],
    }
}

fn lasting(image: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: 50,
        image: format!("serves{image}"),
        ..work(14, 6_400, LASTING_MS, None)
    }
}

/// A step of urgent work, or of batch work that fills and runs an image.
fn work(count: u32, cpu_millis: u32, estimate_ms: u64, image: Option<u64>) -> StepSpec {
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
