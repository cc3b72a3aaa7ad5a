//! Companions of [`Ledger::claim()`](crate::Ledger::claim).
use persimmon_types::Size;

/// Why a claim was not made, released or resized.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker has less room than wanted.
    #[error("claim: {wanted} wanted, {room} left")]
    NoRoom {
        /// The size asked for.
        wanted: Size,
        /// The room left for that kind of work.
        room: Size,
    },
    /// The worker takes no new work.
    #[error("claim: the worker takes no new work")]
    Closed,
    /// The claim has been released before.
    #[error("claim: it was released before")]
    Released,
}
