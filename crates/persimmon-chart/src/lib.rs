//! State charts kept in TOML files and interpreted at run time.
//!
//! A chart names its states, the events and the transitions. [`Machine`] binds a chart to a pair of
//! enums and refuses a file that disagrees with them, so that code and file cannot drift apart.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod draw;
mod label;
mod machine;
mod parse;

pub use label::Label;
pub use machine::{Machine, TransitionError};
pub use parse::{parse, Chart, ParseError, Transition};
