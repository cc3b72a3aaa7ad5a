//! The choice of a worker by [`place()`] and its options.
use crate::{Ledger, WorkKind, WorkerKey};
use persimmon_types::Size;

/// How [`place()`] chooses a worker.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of workers with enough available that are compared; 8 by default.
    pub candidates_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { candidates_max: 8 }
    }
}

/// Chooses a worker with `size` available, or returns `None` if no schedulable worker has it.
///
/// Compares up to `options.candidates_max` workers that fit `size`, starting at position `start`
/// modulo the number of workers, and returns the one with the lowest `cost`. Ties go to the worker
/// that is left with the least (best fit), which keeps large workers free for large tasks. Callers
/// vary `start`, because otherwise the same few workers would be compared each time.
pub fn place(
    ledger: &Ledger,
    kind: WorkKind,
    size: Size,
    start: usize,
    options: Options,
    mut cost: impl FnMut(WorkerKey) -> u32,
) -> Option<WorkerKey> {
    let worker_count = ledger.len();
    let first = start.checked_rem(worker_count)?;
    let mut best: Option<((u32, u64), WorkerKey)> = None;
    let (mut from, mut wrapped) = (first, false);
    for _ in 0..options.candidates_max {
        let next = ledger.next_fit(from, kind, size);
        let candidate = match next {
            None if !wrapped => {
                wrapped = true;
                ledger.next_fit(0, kind, size)
            }
            next => next,
        };
        let Some(worker) = candidate.filter(|worker| !wrapped || (worker.0 as usize) < first)
        else {
            break;
        };
        let score = (cost(worker), leftover(ledger.available(worker, kind), size));
        if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
            best = Some((score, worker));
        }
        from = worker.0 as usize + 1;
    }
    best.map(|(_, worker)| worker)
}

/// A scalar measure of what stays available; one idle accelerator outweighs any amount of CPU and
/// memory.
fn leftover(available: Size, size: Size) -> u64 {
    const ACCELERATOR_WEIGHT: u64 = 1 << 40;
    let left = available.saturating_sub(size);
    u64::from(left.accelerators) * ACCELERATOR_WEIGHT
        + u64::from(left.cpu_millis)
        + u64::from(left.memory_mib)
}
