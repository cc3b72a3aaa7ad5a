//! Interference control of a service colocated with batch tasks, given only delayed samples.

use persimmon_interference::{
    naive, Action, Band, ClassKey, Controller, Options, Sample, ServiceKey, Task, TaskKey,
    WorkerKey,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const WORKERS: usize = 65;
const TASKS_PER_WORKER: usize = 4;
const CLASSES: usize = 5;
const SAMPLE_INTERVAL_S: u64 = 5;
const HOURS: u64 = 6;
/// Pause between an eviction and the restart on a random worker; covers the work lost since the
/// checkpoint.
const EVICTION_PAUSE_S: u64 = 60;

pub(super) fn run(seed: u64) -> String {
    let mut text = format!(
        "seed {seed}, {WORKERS} workers, {TASKS_PER_WORKER} tasks on each, {CLASSES} classes, {HOURS} \
         h, a sample every {SAMPLE_INTERVAL_S} s\n\nlag s  policy        in target %  evictions  throughput of \
         doing nothing %  acts a worker and hour\n"
    );
    for lag_s in [10, 60] {
        let base = simulate(seed, lag_s, Policy::None).throughput;
        for policy in [Policy::None, Policy::EvictAtOnce, Policy::Controller] {
            let result = simulate(seed, lag_s, policy);
            text += &format!(
                "{lag_s:>5}  {:<12} {:>12.2} {:>10} {:>31.1} {:>23.2}\n",
                format!("{policy:?}"),
                result.in_target_percent,
                result.evictions,
                result.throughput / base * 100.0,
                result.actions_taken as f64 / WORKERS as f64 / HOURS as f64
            );
        }
    }
    text
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    None,
    EvictAtOnce,
    Controller,
}

struct Outcome {
    in_target_percent: f64,
    evictions: u64,
    throughput: f64,
    actions_taken: u64,
}

#[derive(Debug, Clone, Copy)]
struct SimulatedTask {
    task: Task,
    paused_until_s: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    /// Amount that a task of each class adds to the latency ratio, at 70 % load of the service.
    class_interference: Vec<f64>,
    workers: Vec<Vec<SimulatedTask>>,
    next_task: u64,
    delayed_samples: VecDeque<(u64, Sample)>,
}

fn simulate(seed: u64, lag_s: u64, policy: Policy) -> Outcome {
    let mut simulation = Simulation::new(seed);
    let mut controller = Controller::new(Options::default());
    let base = Instant::now();
    let mut outcome = Outcome {
        in_target_percent: 0.0,
        evictions: 0,
        throughput: 0.0,
        actions_taken: 0,
    };
    let (mut sample_count, mut in_target_count) = (0u64, 0u64);
    for now_s in (0..HOURS * 3600).step_by(SAMPLE_INTERVAL_S as usize) {
        let now = base + Duration::from_secs(now_s);
        for worker in 0..WORKERS {
            let sample = simulation.sample(worker, now_s, now);
            sample_count += 1;
            in_target_count += u64::from(sample.latency_ratio <= 1.0);
            outcome.throughput += simulation.progress(worker, now_s);
            simulation
                .delayed_samples
                .push_back((now_s + lag_s, sample));
        }
        while simulation
            .delayed_samples
            .front()
            .is_some_and(|(available_s, _)| *available_s <= now_s)
        {
            let Some((_, sample)) = simulation.delayed_samples.pop_front() else {
                break;
            };
            let worker = sample.worker.0 as usize;
            let tasks = simulation.running(worker, now_s);
            let actions = match policy {
                Policy::None => naive::none(&sample, &tasks),
                Policy::EvictAtOnce => naive::evict_at_once(&sample, &tasks),
                Policy::Controller => controller.observe(&sample, &tasks, now),
            };
            outcome.actions_taken += actions.len() as u64;
            for action in actions {
                outcome.evictions += u64::from(matches!(action, Action::Evict { .. }));
                simulation.apply_action(worker, action, now_s);
            }
        }
        simulation.replace_finished(now_s);
    }
    outcome.in_target_percent = in_target_count as f64 / sample_count as f64 * 100.0;
    outcome
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            class_interference: vec![0.02, 0.05, 0.08, 0.25, 0.5],
            workers: vec![Vec::new(); WORKERS],
            next_task: 0,
            delayed_samples: VecDeque::new(),
        };
        for worker in 0..WORKERS {
            for _ in 0..TASKS_PER_WORKER {
                simulation.add_task(worker, 0);
            }
        }
        simulation
    }

    /// Adds a task, mostly of a class with low interference; the classes with high interference are
    /// more frequent in every third half hour.
    fn add_task(&mut self, worker: usize, now_s: u64) {
        let noisy_period = now_s / 1800 % 3 == 1;
        let noisy_percent = if noisy_period { 35 } else { 10 };
        let noisy = self.rng.random_range(0..100) < noisy_percent;
        let class = if noisy {
            self.rng.random_range(3..5)
        } else {
            self.rng.random_range(0..3)
        };
        self.next_task += 1;
        let task = Task {
            key: TaskKey(self.next_task),
            class: ClassKey(class),
            cpu_limit_percent: 100,
        };
        self.workers[worker].push(SimulatedTask {
            task,
            paused_until_s: now_s,
        });
    }

    /// Load of the service in percent of its capacity: a sine with a period of two hours, the same
    /// on all workers.
    fn load_percent(now_s: u64) -> u32 {
        let phase = now_s as f64 / 7200.0 * std::f64::consts::TAU;
        (60.0 + 30.0 * phase.sin()) as u32
    }

    fn running(&self, worker: usize, now_s: u64) -> Vec<Task> {
        let running = self.workers[worker]
            .iter()
            .filter(|it| it.paused_until_s <= now_s);
        running.map(|it| it.task).collect()
    }

    fn sample(&mut self, worker: usize, now_s: u64, now: Instant) -> Sample {
        let load = Self::load_percent(now_s);
        let tasks = self.running(worker, now_s);
        let baseline_ratio = 0.35 + 0.35 * f64::from(load) / 100.0;
        let interference: f64 = tasks
            .iter()
            .map(|task| {
                self.class_interference[task.class.0 as usize] * f64::from(task.cpu_limit_percent)
                    / 100.0
            })
            .sum();
        let noise = self.rng.random_range(0.95..1.05);
        Sample {
            worker: WorkerKey(worker as u32),
            service: ServiceKey(0),
            taken_at: now,
            band: Band::of(load),
            latency_ratio: (baseline_ratio + interference * f64::from(load) / 70.0) * noise,
            tasks,
        }
    }

    fn progress(&self, worker: usize, now_s: u64) -> f64 {
        self.running(worker, now_s)
            .iter()
            .map(|task| f64::from(task.cpu_limit_percent) / 100.0)
            .sum()
    }

    fn apply_action(&mut self, worker: usize, action: Action, now_s: u64) {
        match action {
            Action::Throttle { task, percent } => {
                let simulated = self.workers[worker]
                    .iter_mut()
                    .find(|it| it.task.key == task);
                if let Some(simulated) = simulated {
                    simulated.task.cpu_limit_percent = percent;
                }
            }
            Action::Evict { task } => {
                let index = self.workers[worker]
                    .iter()
                    .position(|it| it.task.key == task);
                if let Some(index) = index {
                    let mut simulated = self.workers[worker].swap_remove(index);
                    simulated.paused_until_s = now_s + EVICTION_PAUSE_S;
                    simulated.task.cpu_limit_percent = 100;
                    let target = self.rng.random_range(0..WORKERS);
                    self.workers[target].push(simulated);
                }
            }
        }
    }

    /// Replaces finished tasks by new ones; a task runs for half an hour on average.
    fn replace_finished(&mut self, now_s: u64) {
        for worker in 0..WORKERS {
            for index in (0..self.workers[worker].len()).rev() {
                if self.rng.random_range(0..1800) < SAMPLE_INTERVAL_S {
                    self.workers[worker].swap_remove(index);
                    self.add_task(worker, now_s);
                }
            }
        }
    }
}
