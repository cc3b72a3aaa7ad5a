use crate::EndpointKey;
use std::time::{Duration, Instant};

/// Names a request within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// What the router needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// When the caller needs the answer.
    pub deadline: Instant,
    /// Whether sending it twice is harmless.
    pub idempotent: bool,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it there; a slot is taken until [`Router::finish()`](crate::Router::finish).
    Send(EndpointKey),
    /// Wait for [`Router::poll()`](crate::Router::poll) to name it.
    Wait,
    /// Answer that it did not run.
    Refuse(Refusal),
    /// Answer that it may have run: an earlier sending had no whole answer.
    FailUnknown(Refusal),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The service has no endpoint that may be used.
    #[error("the service has no endpoint")]
    NoEndpoint,
    /// The queue is full.
    #[error("too many requests wait")]
    QueueFull,
    /// It would not be answered in time.
    #[error("the deadline can't be met, the wait would be about {} ms", .expected_wait.as_millis())]
    Deadline {
        /// The wait expected when it was refused.
        expected_wait: Duration,
    },
}

/// What became of one sending of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer came.
    Answered,
    /// The endpoint's answer was that it has no slot or connection left, or is leaving.
    Refused {
        /// Whether it said that it is leaving.
        leaving: bool,
    },
    /// No connection was made, so no byte of the request left.
    NotConnected,
    /// Something was sent and no whole answer came.
    Incomplete,
    /// Something was sent and no whole answer came in time.
    TimedOut,
    /// The caller went away.
    Abandoned,
}

/// What to tell the caller after a sending without an answer, unless it is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Ask the router again with the same request.
    Retry,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}
