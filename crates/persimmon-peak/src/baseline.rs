//! The baseline policy and the offline bound that a planner is compared with.
use crate::{critical_interval_cpu_millis, ReleasedWork};

/// Returns the level of the baseline, which starts all work on arrival without a limit.
pub fn unlimited_cpu_millis() -> u64 {
    u64::MAX
}

/// Returns a lower bound on the busiest minute of any schedule, even one that knows all work in
/// advance.
pub fn offline_bound_cpu_millis(work: &[ReleasedWork]) -> u64 {
    critical_interval_cpu_millis(work)
}
