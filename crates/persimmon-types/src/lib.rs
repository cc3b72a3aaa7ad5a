//! Types shared by the other crates: sizes, identifiers, clocks and the error of a failed step.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod clock;
mod id;
mod size;
mod step;

pub use clock::{unix_ms, BootClock, Clock, SystemClock};
pub use id::{name_hash, shard_of, JobId, ParseJobIdError};
pub use size::Size;
pub use step::StepError;
