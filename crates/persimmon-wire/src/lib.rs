//! Wire types: the platform's services as the daemon meets them, and the daemon's own interface.
//!
//! Everything here is JSON over HTTP. Fields carry their unit; times are milliseconds.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod api;
pub mod instances;
pub mod store;
pub mod worker;
