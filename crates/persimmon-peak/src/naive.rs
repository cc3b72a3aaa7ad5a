//! The baseline and the bound that a planner is measured against.
use crate::{interval_cpu_millis, Released};

/// Runs everything as it comes: there is no level.
pub fn run_at_once() -> u64 {
    u64::MAX
}

/// The least busiest minute of any schedule that knows all work beforehand.
pub fn offline_bound_cpu_millis(work: &[Released]) -> u64 {
    interval_cpu_millis(work)
}
