//! Schedules jobs that consist of steps with tasks, without input or output.
//!
//! An [`Engine`] owns the jobs and runners of one group. It is told what happened ([`Engine::heard`],
//! [`Engine::answered`], [`Engine::committed`]) and says what to do next ([`Engine::commits`],
//! [`Engine::orders`]). Every start is in a committed [`Record`] before its order goes out, so whoever
//! takes a group over knows each run that can exist.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod engine;
mod fleet;
mod id;
mod policy;
mod record;
mod spec;

pub use engine::{Answer, Commit, Engine, Learned, Load, Options, Order, Stored};
pub use fleet::{End, EndKind, Listed, Report, RunnerInfo, RunnerState};
pub use id::{JobId, ParseIdError, TaskId};
pub use policy::{Policy, Queue, Service};
pub use record::{Mark, Phase, Record, RecordError, TaskRecord};
pub use spec::{JobSpec, Schedule, SpecError, StepSpec};
