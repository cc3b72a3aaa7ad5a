//! The command-line tool of persimmonshift.
//!
//! [`Args`] is what may be typed, [`run()`] does it. Exit codes: 0 done, 1 refused or failed and
//! not run, 2 bad usage, 3 not known whether it ran.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod args;
mod burn;
mod client;
mod keys;
mod print;
mod run;

pub use args::Args;
pub use run::run;
