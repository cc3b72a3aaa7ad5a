//! A service beside batch tasks on many workers, seen only through late samples.

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
const STEP_S: u64 = 5;
const HOURS: u64 = 6;
/// Work lost by an eviction, beyond its checkpoint, and the pause before the task runs elsewhere.
const EVICTION_PAUSE_S: u64 = 60;

pub(super) fn run(seed: u64) -> String {
    let mut text = format!(
        "seed {seed}, {WORKERS} workers, {TASKS_PER_WORKER} tasks on each, {CLASSES} classes, {HOURS} \
         h, a sample every {STEP_S} s\n\nlag s  policy        in target %  evictions  throughput of \
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
                result.acts as f64 / WORKERS as f64 / HOURS as f64
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
    acts: u64,
}

#[derive(Debug, Clone, Copy)]
struct Placed {
    task: Task,
    paused_until_s: u64,
}

struct World {
    rng: ChaCha8Rng,
    /// What each class adds to the latency ratio at full load.
    effect: Vec<f64>,
    workers: Vec<Vec<Placed>>,
    next_task: u64,
    late: VecDeque<(u64, Sample)>,
}

fn simulate(seed: u64, lag_s: u64, policy: Policy) -> Outcome {
    let mut world = World::new(seed);
    let mut controller = Controller::new(Options::default());
    let base = Instant::now();
    let mut outcome = Outcome {
        in_target_percent: 0.0,
        evictions: 0,
        throughput: 0.0,
        acts: 0,
    };
    let (mut seen, mut in_target) = (0u64, 0u64);
    for now_s in (0..HOURS * 3600).step_by(STEP_S as usize) {
        let now = base + Duration::from_secs(now_s);
        for worker in 0..WORKERS {
            let sample = world.sample(worker, now_s, now);
            seen += 1;
            in_target += u64::from(sample.latency_ratio <= 1.0);
            outcome.throughput += world.progress(worker, now_s);
            world.late.push_back((now_s + lag_s, sample));
        }
        while world.late.front().is_some_and(|(at, _)| *at <= now_s) {
            let Some((_, sample)) = world.late.pop_front() else {
                break;
            };
            let worker = sample.worker.0 as usize;
            let tasks = world.running(worker, now_s);
            let actions = match policy {
                Policy::None => naive::none(&sample, &tasks),
                Policy::EvictAtOnce => naive::evict_at_once(&sample, &tasks),
                Policy::Controller => controller.observe(&sample, &tasks, now),
            };
            outcome.acts += actions.len() as u64;
            for action in actions {
                outcome.evictions += u64::from(matches!(action, Action::Evict { .. }));
                world.carry_out(worker, action, now_s);
            }
        }
        world.turn_over(now_s);
    }
    outcome.in_target_percent = in_target as f64 / seen as f64 * 100.0;
    outcome
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            effect: vec![0.02, 0.05, 0.08, 0.25, 0.5],
            workers: vec![Vec::new(); WORKERS],
            next_task: 0,
            late: VecDeque::new(),
        };
        for worker in 0..WORKERS {
            for _ in 0..TASKS_PER_WORKER {
                world.add(worker, 0);
            }
        }
        world
    }

    /// Mostly quiet classes; noisy ones come in waves.
    fn add(&mut self, worker: usize, now_s: u64) {
        let wave = now_s / 1800 % 3 == 1;
        let noisy_percent = if wave { 35 } else { 10 };
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
            throttle_percent: 100,
        };
        self.workers[worker].push(Placed {
            task,
            paused_until_s: now_s,
        });
    }

    /// The service's load, in hundredths of capacity: slow waves, the same for all workers.
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
        let alone = 0.35 + 0.35 * f64::from(load) / 100.0;
        let added: f64 = tasks
            .iter()
            .map(|task| {
                self.effect[task.class.0 as usize] * f64::from(task.throttle_percent) / 100.0
            })
            .sum();
        let noise = self.rng.random_range(0.95..1.05);
        Sample {
            worker: WorkerKey(worker as u32),
            service: ServiceKey(0),
            taken_at: now,
            band: Band::of(load),
            latency_ratio: (alone + added * f64::from(load) / 70.0) * noise,
            tasks,
        }
    }

    fn progress(&self, worker: usize, now_s: u64) -> f64 {
        self.running(worker, now_s)
            .iter()
            .map(|task| f64::from(task.throttle_percent) / 100.0)
            .sum()
    }

    fn carry_out(&mut self, worker: usize, action: Action, now_s: u64) {
        match action {
            Action::Throttle { task, percent } => {
                let placed = self.workers[worker]
                    .iter_mut()
                    .find(|it| it.task.key == task);
                if let Some(placed) = placed {
                    placed.task.throttle_percent = percent;
                }
            }
            Action::Evict { task } => {
                let at = self.workers[worker]
                    .iter()
                    .position(|it| it.task.key == task);
                if let Some(at) = at {
                    let mut placed = self.workers[worker].swap_remove(at);
                    placed.paused_until_s = now_s + EVICTION_PAUSE_S;
                    placed.task.throttle_percent = 100;
                    let other = self.rng.random_range(0..WORKERS);
                    self.workers[other].push(placed);
                }
            }
        }
    }

    /// Tasks end, after half an hour in the mean, and others come.
    fn turn_over(&mut self, now_s: u64) {
        for worker in 0..WORKERS {
            for at in (0..self.workers[worker].len()).rev() {
                if self.rng.random_range(0..1800) < STEP_S {
                    self.workers[worker].swap_remove(at);
                    self.add(worker, now_s);
                }
            }
        }
    }
}
