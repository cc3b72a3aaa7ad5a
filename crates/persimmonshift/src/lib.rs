//! The command-line tool of persimmonshift.
//!
//! [`Args`] defines the command line and [`run()`] carries out a parsed one. Exit codes: 0 success,
//! 1 refused or failed without having run, 2 invalid usage, 3 unknown whether it ran.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod args;
mod burn;
mod client;
mod format;
mod keys;
mod run;

pub use args::Args;
pub use run::run;
