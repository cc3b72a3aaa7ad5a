//! Divides the calls to a group's runners among many instances; performs no I/O.
//!
//! The owner of a group decides; other instances, its relays, make the calls to a part of the
//! runners each: polls, starts, stops and CPU limits. Owner and relay exchange a [`Batch`] for
//! [`News`] over one connection. [`assign()`] chooses the relay of each runner, [`Link`] is the
//! owner's end of a connection and [`Relay`] the other one.
//!
//! A relay has no authority of its own. It passes on the owner's fencing token, and lease deadlines
//! that the owner computed on the clock of each runner, so a lease ends at the same time whatever
//! becomes of the relay. A start is sent only while the order is known to be recent: each batch
//! names the last news that the owner had seen, and the relay knows when it sent that.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod assign;
mod link;
mod message;
mod order_queue;
mod relay;

pub use assign::assign;
pub use link::{Event, Link};
pub use message::{Batch, News, RunnerAddress, RunnerIndex, SessionKey};
pub use relay::{Action, OrderCall, OrderKind, Outcome, PollCall, Refusal, Relay, START_AGE_MAX};
