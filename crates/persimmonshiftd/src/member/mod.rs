//! The members registered in the store, and this daemon's session.

mod members;
mod session;

pub(crate) use members::{Member, Members, MEMBER_PREFIX};
pub(crate) use session::{leave, run as run_session};

use crate::message::HolderWire;

/// Returns the name that identifies a witness process in an [`persimmon_lease::Ownership`].
pub(crate) fn witness_name(holder: &HolderWire) -> String {
    format!("{}#{}", holder.member, holder.incarnation)
}
