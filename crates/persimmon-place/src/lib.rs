//! The ledger of claimed resources, and the choice of a worker for a task.
//!
//! [`Ledger`] is the only way to claim processors, memory or accelerators; a claim that does not
//! fit can't be made. [`place()`] chooses where, [`naive`] holds the baselines it is measured
//! against, [`QuotaUsage`] bounds teams and [`Health`] tells failing workers from failing jobs.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod claim;
mod health;
mod index;
mod ledger;
pub mod naive;
pub mod place;
mod quota;

pub use health::{FailureCause, Health, HealthOptions, HealthState};
pub use ledger::{ClaimKey, Ledger, Shares, WorkKind, WorkerKey};
pub use place::place;
pub use quota::QuotaUsage;
