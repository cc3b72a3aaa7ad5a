//! The configuration: a single record in the store, which tickets change and which daemons receive
//! through a watch of the store or from peers.

pub(crate) mod apply;
mod record;
mod watch;

pub(crate) use record::{ActiveConfig, ConfigRecord, CONFIG_KEY};
pub(crate) use watch::{adopt, run as run_watch};
