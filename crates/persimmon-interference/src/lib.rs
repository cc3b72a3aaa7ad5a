//! Interference between services and batch classes, learned from measurements that come late.
//!
//! [`Controller`] takes samples of a service's latency on one worker together with the batch tasks
//! that ran beside it, and says which task to throttle, give back or evict. It never acts again on a
//! worker before its last act can have shown in a measurement.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod controller;
mod estimate;
pub mod naive;
mod pressure;
mod sample;

pub use controller::{Action, Controller, Options};
pub use estimate::{Estimates, Pairing};
pub use pressure::Pressure;
pub use sample::{Band, ClassKey, Sample, ServiceKey, Task, TaskKey, WorkerKey};
