//! Calls from other daemons, the gossip with them, and the readiness that depends on it.

mod gossip;
mod handler;
mod readiness;
mod table;

pub(crate) use gossip::{merge_busiest_minute, run as run_gossip};
pub(crate) use handler::MeshHandler;
pub(crate) use readiness::readiness;
pub(crate) use table::Peers;
