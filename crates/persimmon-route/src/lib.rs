//! Routing of requests to a latency-critical service: which endpoint, when, and how often.
//!
//! [`Router`] decides for one service on behalf of one daemon. It keeps the requests in flight at
//! an endpoint within the daemon's share of its slots, queues a bounded number of requests in
//! deadline order, refuses early what can't be answered in time, and never retries a non-idempotent
//! request of which a byte may have been sent. [`selection`] holds the selection policies,
//! including the baselines.
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
