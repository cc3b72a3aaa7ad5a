//! The baseline and the bound that a planner is measured against.
use crate::{critical_interval_cpu_millis, ReleasedWork};

/// Runs everything as it comes: there is no level.
pub fn unlimited_cpu_millis() -> u64 {
    u64::MAX
}

/// The least busiest minute of any schedule that knows all work beforehand.
pub fn offline_bound_cpu_millis(work: &[ReleasedWork]) -> u64 {
    critical_interval_cpu_millis(work)
}
