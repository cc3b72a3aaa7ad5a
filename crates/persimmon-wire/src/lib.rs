//! Wire types of the platform's services that the daemon calls, and of the daemon's own API.
//!
//! All of them are sent as JSON over HTTP. The names of fields include their units.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod api;
pub mod instances;
pub mod store;
pub mod worker;
