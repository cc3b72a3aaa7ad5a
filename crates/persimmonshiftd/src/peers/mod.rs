//! News between daemons, and what follows from it.

mod answer;
mod fresh;
mod gossip;
mod table;

pub(crate) use answer::MeshHandler;
pub(crate) use fresh::readiness;
pub(crate) use gossip::{merge_busiest, run as run_gossip};
pub(crate) use table::Peers;
