//! Decisions of a shard's owner, without sockets or clocks.
//!
//! - [`JobTable`] is the durable state: the fold of journal [`Entry`]s, kept in one record of the
//!   store, a [`RecordWire`].
//! - [`Core`] decides: it takes submissions, answers of workers and the time, and gives entries to
//!   commit and calls to make. Nothing that an entry allows (a start, an acknowledgement) leaves
//!   the core before that entry is in the store.
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
