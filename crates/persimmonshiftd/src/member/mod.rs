//! The members registered in the store, and this daemon's session and ownership of shards.

mod members;
mod ownership;
mod session;

pub(crate) use members::{Member, Members, MEMBER_PREFIX};
pub(crate) use ownership::{witness_name, Ownership};
pub(crate) use session::{leave, run as run_session};
