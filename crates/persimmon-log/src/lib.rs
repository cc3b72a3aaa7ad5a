//! Rate-limited logging through a dedicated writer thread.
//!
//! Each call site has a rate limit, so a burst of errors neither hides other log lines nor slows
//! the process down. A line over the limit is suppressed; a line that finds the queue full because
//! the output is slow is dropped. Both are counted, and suppressed lines are reported in the log.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod logger;
mod queue;
mod rate_limit;

pub use logger::{build, init, Counts, Guard, InitError, Logger, Options};
pub use rate_limit::{CallSite, RateLimiter, Suppressed};
