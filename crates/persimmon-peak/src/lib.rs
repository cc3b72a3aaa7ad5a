//! The budget of the busiest minute: how many processors batch work should take, and when.
//!
//! The bill is the busiest minute of the month, so a level that was reached once is free from then
//! on, and a level that must be reached later is as good as reached. [`Planner`] raises the level
//! only to the least that meets all deadlines of the work that it knows and of the work that its
//! [`Profile`] of earlier days expects. [`baseline`] holds the baseline and the offline bound.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod baseline;
mod estimate;
mod interval;
mod planner;
mod profile;
mod rigid;
mod work;

pub use estimate::RunTimeEstimator;
pub use interval::{critical_interval_cpu_millis, ReleasedWork};
pub use planner::{Options, Planner};
pub use profile::Profile;
pub use rigid::is_feasible;
pub use work::Work;
