//! HTTP server for callers that are not trusted.
//!
//! All connections of a server draw on one [`Account`] of connections, bytes and requests in progress,
//! which decides whose connection is closed when it is full. [`serve()`] does the I/O around it.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod account;
mod call;
pub mod serve;

pub use account::{Account, Full, Key, Limits};
pub use call::{Answer, BodyError, Call};
pub use serve::serve;
