//! The state machine of a shard owner, which does no I/O and reads no clock.
//!
//! - [`JobTable`] is the durable state, the result of applying all journal [`Entry`]s in order. It
//!   is stored as one record, a [`RecordWire`].
//! - [`Core`] makes the decisions: its inputs are submissions, responses of workers and the current
//!   time, its outputs are entries to commit and calls to make. An action that depends on an entry,
//!   such as a start or an acknowledgement, is not released until that entry is in the store.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod charts;
mod core;
mod entry;
mod job_table;
mod record;

pub use crate::{
    charts::{Charts, JobEvent, JobState, WorkerEvent, WorkerState},
    core::{
        CancelError, CancelOutcome, Core, Demand, Options, Submission, SubmitError, SubmitOutcome,
        SyncAnswer, SyncCall, SyncFailure, TaskCommand, TaskStatus, TaskView, WaitReason,
        WorkerSpec, WorkerSummary,
    },
    entry::{Entry, Seq, Step},
    job_table::{Job, JobTable},
    record::{
        AssignWire, BaseRef, BaseWire, BusiestWire, DecodeError, EntryWire, JobWire, OwnerWire,
        RecordWire, StepWire, SubmitWire, WitnessWire,
    },
};
