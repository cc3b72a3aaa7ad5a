use serde::{Deserialize, Serialize};

/// One version of the queues and services declared by operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Version number, monotonically increasing.
    pub version: u64,
    /// Declared queues.
    pub queues: Vec<Queue>,
    /// Declared services.
    pub services: Vec<Service>,
    /// Maximum size of a submission's body.
    pub body_bytes_max: usize,
}

/// A queue of jobs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name, unique within a policy.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Path prefix of its jobs.
    pub prefix: String,
    /// Service whose runners execute its tasks.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of failed runs of a task after which the job fails.
    pub attempts_max: u32,
    /// Factor on the critical path of a job in its time budget.
    pub stretch: f64,
    /// Constant part of the time budget, added to the stretched critical path.
    pub target_ms: u64,
}

/// A pool of runners.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether its runners refuse tasks that do not fit.
    pub admission_control: bool,
}

impl Policy {
    /// Returns the queue on `host` with the longest prefix of `path`; ignores the host's port and
    /// case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue called `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
