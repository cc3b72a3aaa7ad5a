/// What the operators declare of queues and services, at one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// The version; it only rises.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// Bytes of a submission's body at most.
    pub body_bytes_max: usize,
}

/// A queue of jobs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queue {
    /// Its name, unique within a policy.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path under which its jobs lie.
    pub prefix: String,
    /// The service whose runners run its tasks.
    pub service: String,
    /// 0 goes first.
    pub priority: u8,
    /// Runs of a task that may fail before the job does.
    pub attempts_max: u32,
    /// The factor on the longest chain of work that callers accept.
    pub stretch: f64,
    /// What callers accept besides.
    pub target_ms: u64,
}

/// A pool of runners.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its runners refuse what does not fit.
    pub admission_control: bool,
}

impl Policy {
    /// The queue with the longest prefix of `path` on `host`, whatever the host's port and case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The queue called `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
