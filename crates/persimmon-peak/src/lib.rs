//! The processor budget of batch work, planned to minimize the billed busiest minute of a month.
//!
//! The bill depends only on the busiest minute of the month: a level that was reached once costs
//! nothing more, and a level that must be reached later may be used at once. [`Planner`] raises the
//! level only to the lowest one that meets the deadlines of all known work and of the work that its
//! [`Profile`] of earlier days forecasts. [`baseline`] provides the baseline policy and the offline
//! bound that the planner is compared with.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod baseline;
mod estimate;
mod feasible;
mod interval;
mod planner;
mod profile;
mod work;

pub use estimate::RunTimeEstimator;
pub use feasible::is_feasible;
pub use interval::{critical_interval_cpu_millis, ReleasedWork};
pub use planner::{Options, Planner};
pub use profile::Profile;
pub use work::Work;
