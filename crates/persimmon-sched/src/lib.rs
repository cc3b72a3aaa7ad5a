//! Schedules jobs made of steps and tasks; performs no I/O.
//!
//! An [`Engine`] owns the jobs and runners of one group. It is fed events
//! ([`Engine::handle_report`], [`Engine::handle_start_answer`], [`Engine::handle_commit`]) and
//! returns the actions to take ([`Engine::take_commits`], [`Engine::take_orders`]). Every start is
//! part of a committed [`Record`] before its order is issued, so the next owner of the group knows
//! every run that can exist.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod engine;
mod fleet;
mod id;
mod policy;
mod record;
mod spec;

pub use engine::{
    Answer, Commit, Engine, Learned, Load, Options, Order, StallCause, Stalled, StoredRecord,
};
pub use fleet::{End, EndKind, Report, RunStatus, RunnerInfo, RunnerState};
pub use id::{JobId, ParseIdError, TaskId};
pub use policy::{Policy, Queue, Service};
pub use record::{Phase, Record, RecordError, SilentRunner, TaskCrashes, TaskRecord, TaskState};
pub use spec::{JobSpec, Schedule, SpecError, StepSpec, STEPS_MAX};
