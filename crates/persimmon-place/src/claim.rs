//! The error of [`Ledger::claim()`](crate::Ledger::claim) and the other operations on claims.
use persimmon_types::Size;

/// Why a claim could not be made, released or resized.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker has less available than requested.
    #[error("claim: {requested} requested, {available} available")]
    Insufficient {
        /// The size requested, or the growth when a claim is resized.
        requested: Size,
        /// The size available to that kind of work.
        available: Size,
    },
    /// The worker takes no new claims.
    #[error("claim: the worker takes no new claims")]
    Unschedulable,
    /// The claim has already been released.
    #[error("claim: already released")]
    AlreadyReleased,
}
