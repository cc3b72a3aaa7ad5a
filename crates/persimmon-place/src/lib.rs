//! Resource accounting per worker, and the choice of a worker for a task.
//!
//! [`Ledger`] is the only way to claim processors, memory or accelerators, and admits only claims
//! that fit. [`place()`] chooses the worker; [`naive`] holds the baseline that it is compared with.
//! [`QuotaUsage`] enforces the quotas of teams, and [`Health`] distinguishes failing workers from
//! failing jobs.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod availability_index;
pub mod claim;
mod health;
mod ledger;
pub mod naive;
pub mod place;
mod quota;

pub use health::{FailureCause, Health, HealthOptions, HealthState};
pub use ledger::{ClaimKey, Ledger, Shares, WorkKind, WorkerKey};
pub use place::place;
pub use quota::QuotaUsage;
