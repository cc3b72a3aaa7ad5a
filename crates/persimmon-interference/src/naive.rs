//! Baseline policies to compare [`Controller`](crate::Controller) with.
use crate::{Action, Sample, Task};

/// Never acts.
pub fn none(_: &Sample, _: &[Task]) -> Vec<Action> {
    Vec::new()
}

/// Evicts one task for each sample above the target.
pub fn evict_at_once(sample: &Sample, tasks: &[Task]) -> Vec<Action> {
    let over = sample.latency_ratio > 1.0;
    let first = tasks.first().filter(|_| over);
    first
        .map(|task| Action::Evict { task: task.key })
        .into_iter()
        .collect()
}
