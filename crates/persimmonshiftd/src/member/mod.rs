//! The group of daemons, and this daemon's place in it.

mod list;
mod ownership;
mod session;

pub(crate) use list::{Member, Members, MEMBER_PREFIX};
pub(crate) use ownership::{witness_name, Ownership};
pub(crate) use session::{leave, run as run_session};
