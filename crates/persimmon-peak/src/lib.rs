//! The budget of the busiest minute.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod required;

pub use required::{required_cpu_millis, Work};
