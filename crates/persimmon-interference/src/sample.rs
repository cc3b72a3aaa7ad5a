use std::time::Instant;

/// Names a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub u32);

/// Names a batch task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey(pub u64);

/// Names a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// Names a batch class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey(pub u32);

/// A band of a service's load, in steps of a tenth of its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Band(pub u8);

impl Band {
    /// The band of a load, in hundredths of capacity.
    pub fn of(load_percent: u32) -> Self {
        Self((load_percent / 10).min(10) as u8)
    }
}

/// A batch task that ran while a sample was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Its name.
    pub key: TaskKey,
    /// Its class.
    pub class: ClassKey,
    /// The hundredths of its claim that it might use then.
    pub throttle_percent: u32,
}

/// A service's latency on one worker, and what ran beside it.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// The worker.
    pub worker: WorkerKey,
    /// The service.
    pub service: ServiceKey,
    /// When it was measured; it may have arrived much later.
    pub taken_at: Instant,
    /// The load of the service then.
    pub band: Band,
    /// The tail latency as a multiple of its target.
    pub latency_ratio: f64,
    /// The batch tasks that ran then.
    pub tasks: Vec<Task>,
}
