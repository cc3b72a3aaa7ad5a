//! The configuration: one record of the store, read by watch or from peers, changed by tickets.

pub(crate) mod apply;
mod head;
mod watch;

pub(crate) use head::{ActiveConfig, HeadWire, HEAD_KEY};
pub(crate) use watch::{adopt, run as run_watch};
