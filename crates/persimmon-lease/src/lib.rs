//! Which member owns a shard, and until when.
//!
//! - [`Session`]: the member's lease in the store; ownership is valid for as long as it is.
//! - [`Extension`]: keeps a member without access to the store an owner while enough witnesses
//!   promise not to release its shards to another member.
//! - [`Ownership`]: both together, for all shards of a member.
//! - [`Witness`]: grants promises and releases, never both for one holder.
//! - [`Takeover`]: decides whether a shard whose owner is gone may be taken over.
//! - [`owners()`]: assigns shards to members.
//! - [`WorkerLeaseBound`]: bounds how long a worker may run the tasks that an owner started on it.
//!
//! A taker is a member that takes over a shard from an owner that the store no longer lists.
//!
//! Nothing here reads a clock or sends a message. If a shard has witnesses, two owners never act at
//! once because a holder needs [`Quorum::promises_required`] promises, a taker needs
//! [`Quorum::releases_required`] releases, and the two sum to more than the number of witnesses.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod clock_drift;
mod extension;
mod member;
mod owners;
mod quorum;
mod session;
mod takeover;
pub mod witness;
mod worker_lease;

pub use clock_drift::ClockDrift;
pub use extension::Extension;
pub use member::{Ownership, OwnershipOptions};
pub use owners::owners;
pub use quorum::Quorum;
pub use session::Session;
pub use takeover::{Takeover, TakeoverDecision};
pub use witness::Witness;
pub use worker_lease::WorkerLeaseBound;

/// A process of a member, which is what owns shards.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    /// The member's id.
    pub member: String,
    /// A number that differs after each restart of the member.
    pub incarnation: u64,
}
