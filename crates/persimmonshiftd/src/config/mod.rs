//! The configuration: a single record in the store, changed by tickets and read from the store's
//! watch or from peers.

pub(crate) mod apply;
mod record;
mod watch;

pub(crate) use record::{ActiveConfig, ConfigRecord, CONFIG_KEY};
pub(crate) use watch::{adopt, run as run_watch};
