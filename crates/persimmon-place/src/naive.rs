//! Baselines that [`place()`](crate::place()) is measured and tested against.
use crate::{Ledger, WorkKind, WorkerKey};
use persimmon_types::Size;

/// The first worker with room, found by asking each in turn.
pub fn first_fit(ledger: &Ledger, kind: WorkKind, size: Size) -> Option<WorkerKey> {
    let mut keys = (0..ledger.len() as u32).map(WorkerKey);
    keys.find(|worker| ledger.is_schedulable(*worker) && size.fits(ledger.room(*worker, kind)))
}
