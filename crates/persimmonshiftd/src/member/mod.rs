//! The daemons of the group, and this daemon's session and ownership.

mod members;
mod ownership;
mod session;

pub(crate) use members::{Member, Members, MEMBER_PREFIX};
pub(crate) use ownership::{witness_name, Ownership};
pub(crate) use session::{leave, run as run_session};
