/// The remaining work of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The processors that the task uses while it runs.
    pub cpu_millis: u64,
    /// The expected remaining run time.
    pub run_ms: u64,
    /// The upper bound on the run time: the task must start at least this long before its deadline.
    /// 0 once the task has started.
    pub upper_bound_ms: u64,
    /// The deadline.
    pub deadline_unix_ms: u64,
}
