//! Decisions for requests to a latency-critical service: which endpoint, when, and how often.
//!
//! [`Router`] holds one daemon's view of one service. It never has more requests in flight at an
//! endpoint than the daemon's share of its slots, keeps a bounded queue in deadline order, refuses
//! early what can't be answered in time, and never lets a non-idempotent request be sent twice.
//! [`selection`] holds the baselines that it is measured against.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod budget;
mod endpoint;
mod request;
mod router;
pub mod selection;
mod share;

pub use budget::RetryBudget;
pub use endpoint::{EndpointEvent, EndpointKey, EndpointSpec, EndpointState, EndpointSummary};
pub use request::{Decision, Outcome, Refusal, Request, RequestId, Verdict};
pub use router::{Options, Router};
pub use share::share;
