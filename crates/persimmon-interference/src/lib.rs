//! Interference between services and batch classes, estimated from delayed measurements.
//!
//! [`Controller`] takes samples of a service's latency on one worker together with the batch tasks
//! that ran beside it, and decides which tasks to throttle, unthrottle or evict. It does not act
//! again on a worker until a measurement can reflect its last action. [`InterferenceModel`] learns
//! the effect of batch classes from samples of services whose load is unknown.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod controller;
mod estimate;
mod model;
pub mod naive;
mod sample;

pub use controller::{Action, Controller, Options};
pub use estimate::{Estimates, Pairing};
pub use model::InterferenceModel;
pub use sample::{Band, ClassKey, Sample, ServiceKey, Task, TaskKey, WorkerKey};
