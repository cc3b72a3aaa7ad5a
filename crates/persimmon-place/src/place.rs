//! Companions of [`place()`].
use crate::{Ledger, WorkKind, WorkerKey};
use persimmon_types::Size;

/// How [`place()`] chooses.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Workers with room that are compared; 8 by default.
    pub candidates_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { candidates_max: 8 }
    }
}

/// Chooses a worker with room for `size`, or `None` when no open worker has it.
///
/// Looks at up to `options.candidates_max` workers with room, from `start` (any number) on, and
/// takes the one with the least `cost`; among equals the one that is left with the least room, so
/// that large rooms are kept for large tasks.
pub fn place(
    ledger: &Ledger,
    kind: WorkKind,
    size: Size,
    start: usize,
    options: Options,
    mut cost: impl FnMut(WorkerKey) -> u32,
) -> Option<WorkerKey> {
    let workers = ledger.len();
    let first = start.checked_rem(workers)?;
    let mut best: Option<((u32, u64), WorkerKey)> = None;
    let (mut from, mut wrapped) = (first, false);
    for _ in 0..options.candidates_max {
        let found = ledger.next_fit(from, kind, size);
        let found = match found {
            None if !wrapped => {
                wrapped = true;
                ledger.next_fit(0, kind, size)
            }
            found => found,
        };
        let Some(worker) = found.filter(|worker| !wrapped || (worker.0 as usize) < first) else {
            break;
        };
        let rank = (cost(worker), slack(ledger.room(worker, kind), size));
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, worker));
        }
        from = worker.0 as usize + 1;
    }
    best.map(|(_, worker)| worker)
}

/// What stays free, with an accelerator left idle counting more than any processor or memory.
fn slack(room: Size, size: Size) -> u64 {
    const ACCELERATOR_WEIGHT: u64 = 1 << 40;
    let left = room.saturating_sub(size);
    u64::from(left.accelerators) * ACCELERATOR_WEIGHT
        + u64::from(left.cpu_millis)
        + u64::from(left.memory_mib)
}
