//! The process on an entry instance: it accepts jobs from callers, keeps a session in the store,
//! owns groups of runners and calls the runners.
//!
//! Everything outside the process is behind [`Store`], [`Runners`] and [`Catalog`], so that an
//! adapter to a platform makes no decisions. All of the process runs on one thread; the threads
//! of a server call it through a [`Handle`].
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
// The traits are used on one thread only, so their futures need not be `Send`.
#![allow(async_fn_in_trait)]

mod group;
mod handle;
mod job_cache;
mod keys;
mod member;
mod namesakes;
mod ownership;
mod peers;
mod platform;
mod prefix_watch;
mod process;
mod relay;
mod requests;
mod retry;
mod session;
mod state;
mod submission;

pub use handle::{call_channel, Accepted, CallReceiver, Cancelled, Handle, Rejection, Request};
pub use persimmon_relay::RunnerAddress;
pub use platform::{
    CallError, Catalog, Change, Effect, Item, Lease, Page, Platform, PollRequest, Precondition,
    RunRef, Runners, Store, Txn, TxnOutcome, WatchOutcome, Write,
};
pub use process::{run, Options};
