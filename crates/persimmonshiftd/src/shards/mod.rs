//! The shards that this daemon owns, and the manager that runs their scheduling and carries out the
//! decisions.

mod budget;
mod commit;
mod handle;
mod manager;
mod owned;
mod takeover;
mod view;
mod worker;

pub(crate) use handle::{channel, ShardHandle, ShardMessage};
pub(crate) use manager::run;
