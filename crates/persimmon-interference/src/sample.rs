use std::time::Instant;

/// Identifies a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub u32);

/// Identifies a batch task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey(pub u64);

/// Identifies a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// Identifies a batch class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey(pub u32);

/// Load of a service, quantised to tenths of its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Band(pub u8);

impl Band {
    /// Returns the band of a load given in percent of capacity.
    pub fn of(load_percent: u32) -> Self {
        Self((load_percent / 10).min(10) as u8)
    }
}

/// A batch task that ran while a sample was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Task {
    /// Id of the task.
    pub key: TaskKey,
    /// Class of the task.
    pub class: ClassKey,
    /// CPU limit in effect: the percentage of its claim that the task may use. 100 is unthrottled.
    pub cpu_limit_percent: u32,
}

/// Latency of a service on one worker, and the batch tasks that ran beside it.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// The worker.
    pub worker: WorkerKey,
    /// The service.
    pub service: ServiceKey,
    /// When the sample was taken; it may arrive much later.
    pub taken_at: Instant,
    /// Load of the service at that time.
    pub band: Band,
    /// Tail latency as a multiple of its target.
    pub latency_ratio: f64,
    /// Batch tasks that ran at that time.
    pub tasks: Vec<Task>,
}
