//! State charts that are defined in TOML files and interpreted at run time.
//!
//! A chart lists states, events and transitions. [`Machine`] binds a chart to a pair of enums and
//! rejects a file whose names differ from theirs, so that code and file stay consistent.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod draw;
mod label;
mod machine;
mod parse;

pub use label::Label;
pub use machine::{Machine, TransitionError};
pub use parse::{parse, Chart, ParseError, Transition};
