//! Client of the platform's key-value store.
//!
//! [`Store`] is the narrow interface; [`HttpStore`] is its only adapter. An error tells whether the
//! call can have taken effect, which decides what the caller must read back.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod call;
mod http;

pub use call::{CasOutcome, Effect, Error, LeaseId, Store, WatchOutcome};
pub use http::HttpStore;
