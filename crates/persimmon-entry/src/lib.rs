//! The process on an entry instance: it takes jobs from callers, keeps a session in the store, owns
//! groups of runners and calls them.
//!
//! Everything outside is behind [`Store`], [`Runners`] and [`Catalog`], so that a platform is met by an
//! adapter that decides nothing. All of it runs on one thread; [`Front`] is the handle that the threads
//! of a server use.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
// The traits are used on one thread only.
#![allow(async_fn_in_trait)]

mod front;
mod group;
mod keys;
mod member;
mod mirror;
mod node;
mod owners;
mod peers;
mod platform;
mod session;
mod state;
mod submit;

pub use front::{front, Accepted, Calls, Cancelled, Front, Rejection, Request};
pub use node::{run, Options};
pub use platform::{
    Catalog, Change, Effect, Expected, Fault, Hold, Item, Lease, Page, Platform, Run, Runners,
    Store, Txn, TxnOutcome, Watched, Write,
};
