//! The daemon of persimmonshift: every duty of an entry instance, one thread each.
//!
//! The decisions are in crates of their own; this one feeds them with what the sockets bring and
//! carries out what they say. `docs/ARCHITECTURE.md` draws the map.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod api;
mod args;
mod burn_report;
mod config;
mod context;
mod instances;
mod life;
mod member;
mod message;
mod metrics;
mod peers;
mod services;
mod settings;
mod shards;
mod start;

pub use args::Args;
pub use settings::{Error as SettingsError, Fault, Settings};
pub use start::run;
