/// Work that is left to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The processors that it takes while it runs.
    pub cpu_millis: u64,
    /// How long it still runs, in the mean.
    pub run_ms: u64,
    /// How long before its deadline it must have been started to be surely in time; 0 when it has
    /// been.
    pub upper_bound_ms: u64,
    /// When it must be done.
    pub deadline_unix_ms: u64,
}
