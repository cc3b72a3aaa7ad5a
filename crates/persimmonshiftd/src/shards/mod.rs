//! The shards that this daemon owns: one duty feeds their decisions and carries them out.

mod budget;
mod commit;
mod duty;
mod handle;
mod owned;
mod take;
mod view;
mod worker;

pub(crate) use duty::run;
pub(crate) use handle::{channel, ShardHandle, ShardMessage};
