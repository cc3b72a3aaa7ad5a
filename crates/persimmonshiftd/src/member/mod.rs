//! The group of daemons, and this daemon's place in it.

mod list;
mod session;
mod standing;

pub(crate) use list::{Member, Members, MEMBER_PREFIX};
pub(crate) use session::{leave, run as run_session};
pub(crate) use standing::{witness_name, Standing};
