//! A baseline that [`place()`](crate::place()) is measured and tested against.
use crate::{Ledger, WorkKind, WorkerKey};
use persimmon_types::Size;

/// Returns the first worker with `size` available, by a linear scan.
pub fn first_fit(ledger: &Ledger, kind: WorkKind, size: Size) -> Option<WorkerKey> {
    let mut keys = (0..ledger.len() as u32).map(WorkerKey);
    keys.find(|worker| ledger.is_schedulable(*worker) && size.fits(ledger.available(*worker, kind)))
}
