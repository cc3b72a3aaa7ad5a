//! Who may act for a shard, and until when.
//!
//! - [`Session`]: ownership is valid for as long as the member's lease in the store.
//! - [`Extension`]: a member cut from the store goes on while enough witnesses promise not to let
//!   its shards be taken over.
//! - [`Witness`]: gives promises and releases, never both for one holder.
//! - [`Takeover`]: whether a shard whose owner has gone may be taken.
//! - [`owners()`]: which member should own which shard.
//! - [`WorkerLeaseBound`]: until when a worker may still run what an owner started.
//!
//! Nothing here reads a clock or sends a message. The proof that two owners never act at once rests
//! on three facts: a holder needs [`Quorum::promises`] promises, a taker needs
//! [`Quorum::releases`] releases, and the two sum to more than the number of witnesses.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod clock_drift;
mod extension;
mod owners;
mod quorum;
mod session;
mod takeover;
pub mod witness;
mod worker_lease;

pub use clock_drift::ClockDrift;
pub use extension::Extension;
pub use owners::owners;
pub use quorum::Quorum;
pub use session::Session;
pub use takeover::{Takeover, TakeoverDecision};
pub use witness::Witness;
pub use worker_lease::WorkerLeaseBound;

/// A member's process: its id and the number that differs after each restart.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The member's id.
    pub member: String,
    /// Its incarnation.
    pub incarnation: u64,
}
