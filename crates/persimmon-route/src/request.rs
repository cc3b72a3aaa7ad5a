use crate::EndpointKey;
use std::time::{Duration, Instant};

/// Identifies a request within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The properties of a request that routing depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// When the caller needs the answer.
    pub deadline: Instant,
    /// Whether it may safely be sent more than once.
    pub idempotent: bool,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this endpoint; a slot is held until
    /// [`Router::finish()`](crate::Router::finish).
    Send(EndpointKey),
    /// Keep it until [`Router::poll()`](crate::Router::poll) returns a decision on it.
    Wait,
    /// Answer that it did not run.
    Refuse(Refusal),
    /// Answer that it may have run: an earlier attempt got no complete answer.
    FailUnknown(Refusal),
}

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The service has no usable endpoint.
    #[error("the service has no endpoint")]
    NoEndpoint,
    /// The queue is full.
    #[error("too many requests wait")]
    QueueFull,
    /// It would not be answered by its deadline.
    #[error("the deadline can't be met, the wait would be about {} ms", .expected_wait.as_millis())]
    Deadline {
        /// The expected time in the queue when it was refused.
        expected_wait: Duration,
    },
}

/// The outcome of one attempt to run a request on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer was received.
    Answered,
    /// The endpoint answered that it has no slot or connection left, or that it is leaving.
    Refused {
        /// Whether it answered that it is leaving.
        leaving: bool,
    },
    /// No connection was established, so no byte of the request was sent.
    NotConnected,
    /// Part of the request may have been sent, and no complete answer was received.
    Incomplete,
    /// Part of the request may have been sent, and no complete answer was received in time.
    TimedOut,
    /// The caller disconnected.
    Abandoned,
}

/// What to do after an attempt without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass the same request to [`Router::route()`](crate::Router::route) again.
    Retry,
    /// Answer that it did not run.
    NotRun,
    /// Answer that it may have run.
    Unknown,
}
