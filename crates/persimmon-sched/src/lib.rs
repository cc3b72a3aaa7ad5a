//! Schedules jobs that consist of steps with tasks, without input or output.
//!
//! An [`Engine`] owns the jobs and runners of one group. It is told what happened ([`Engine::handle_report`],
//! [`Engine::handle_start_answer`], [`Engine::handle_commit`]) and says what to do next ([`Engine::take_commits`],
//! [`Engine::take_orders`]). Every start is in a committed [`Record`] before its order goes out, so whoever
//! takes a group over knows each run that can exist.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod engine;
mod fleet;
mod id;
mod policy;
mod record;
mod spec;

pub use engine::{Answer, Commit, Engine, Learned, Load, Options, Order, StoredRecord};
pub use fleet::{End, EndKind, Report, RunStatus, RunnerInfo, RunnerState};
pub use id::{JobId, ParseIdError, TaskId};
pub use policy::{Policy, Queue, Service};
pub use record::{Mark, Phase, Record, RecordError, TaskRecord};
pub use spec::{JobSpec, Schedule, SpecError, StepSpec};
