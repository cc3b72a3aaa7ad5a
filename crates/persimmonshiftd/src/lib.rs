//! The persimmonshift daemon: all background tasks of an entry instance, each on its own thread.
//!
//! The decision logic lives in separate crates. This crate passes them the messages that arrive and
//! carries out what they decide. `docs/ARCHITECTURE.md` gives an overview.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod api;
mod args;
mod burn_report;
mod config;
mod context;
mod instances;
mod lifecycle;
mod member;
mod message;
mod metrics;
mod peers;
mod services;
mod settings;
mod shards;
mod start;

pub use args::Args;
pub use settings::{Error as SettingsError, InvalidSetting, Settings};
pub use start::run;
