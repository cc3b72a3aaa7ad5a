//! Client of the platform's key-value store.
//!
//! [`Store`] is the interface and [`HttpStore`] its only implementation. The [`Error`] of a failed
//! call tells whether the call may have taken effect; if so, only a read can tell whether it did.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod http;
mod store;

pub use http::HttpStore;
pub use store::{CasOutcome, Effect, Error, LeaseId, Store, WatchOutcome};
