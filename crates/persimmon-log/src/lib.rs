//! Log lines of the processes: each place in the code has a budget, and a thread of its own writes.
//!
//! A storm of faults can drown neither the other lines nor the process: a line over its place's budget
//! is left out, and so is one that finds the ring full because whoever reads the output is slow. Both
//! are counted, and a line tells of them.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod budget;
mod logger;
mod ring;

pub use budget::{Budget, LeftOut, Place};
pub use logger::{init, open, Counts, Guard, InitError, Logger, Options};
