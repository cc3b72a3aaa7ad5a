use persimmon_chart::labels;
use std::time::{Duration, Instant};

/// Identifies an endpoint of a [`Router`](crate::Router); keys are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(pub(crate) u32);

labels! {
    /// The state of an endpoint; see `charts/endpoint.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum EndpointState {
        /// Listed without a complete answer yet, or probed after an ejection.
        Listed = "listed",
        /// Answers requests.
        Serving = "serving",
        /// Receives no requests for a time after failures.
        Ejected = "ejected",
        /// Receives no further requests.
        Leaving = "leaving",
    }
}

labels! {
    /// The events that change the state of an endpoint; see `charts/endpoint.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum EndpointEvent {
        /// It gave a complete answer.
        Answer = "answer",
        /// It failed too many times in a row, or once before its first answer or when probed.
        Fail = "fail",
        /// The time of its ejection has passed.
        Probe = "probe",
        /// The list or the endpoint itself reports that it is leaving.
        Leave = "leave",
        /// The list reports that it is live again.
        Return = "return",
    }
}

/// An endpoint as it is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The id of its instance.
    pub id: String,
    /// The address on which it listens.
    pub address: String,
    /// Whether it is in the daemon's own data centre.
    pub same_data_centre: bool,
    /// The most requests that this daemon may have in flight there.
    pub share: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The router's state of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSummary {
    /// The id of its instance.
    pub id: String,
    /// Its state.
    pub state: EndpointState,
    /// The requests that this daemon has in flight there.
    pub in_flight: u32,
    /// The most requests that this daemon may have in flight there.
    pub share: u32,
}

#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) spec: EndpointSpec,
    pub(crate) state: EndpointState,
    pub(crate) in_flight: u32,
    /// Exponential moving average of the time to a complete answer or a timeout.
    pub(crate) latency: Duration,
    /// Exponential moving average of the attempts without a complete answer, in thousandths.
    pub(crate) failure_rate_per_mille: u32,
    pub(crate) consecutive_failures: u32,
    pub(crate) ejection_count: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// Whether its latest failure indicates a stopped process rather than an overloaded one.
    pub(crate) presumed_crashed: bool,
    /// Whether the latest list of endpoints contains it.
    pub(crate) in_latest_list: bool,
    /// Until when the endpoint's own answer that it is leaving counts, which the list shows only
    /// later.
    pub(crate) announced_leaving_until: Option<Instant>,
}

impl Endpoint {
    /// The divisor that gives the weight of a new sample in a moving average.
    const EWMA_DIVISOR: u32 = 8;

    pub(crate) fn new(spec: EndpointSpec, state: EndpointState) -> Self {
        Self {
            spec,
            state,
            in_flight: 0,
            latency: Duration::ZERO,
            failure_rate_per_mille: 0,
            consecutive_failures: 0,
            ejection_count: 0,
            ejected_until: None,
            presumed_crashed: false,
            in_latest_list: true,
            announced_leaving_until: None,
        }
    }

    pub(crate) fn record_latency(&mut self, latency: Duration) {
        if self.latency == Duration::ZERO {
            self.latency = latency;
            return;
        }
        let previous = self.latency * (Self::EWMA_DIVISOR - 1) / Self::EWMA_DIVISOR;
        self.latency = previous + latency / Self::EWMA_DIVISOR;
    }

    /// Records whether an attempt failed to get a complete answer.
    pub(crate) fn record_attempt(&mut self, failed: bool) {
        let sample = if failed { 1_000 } else { 0 };
        self.failure_rate_per_mille =
            (self.failure_rate_per_mille * (Self::EWMA_DIVISOR - 1) + sample) / Self::EWMA_DIVISOR;
    }

    /// The most requests that may be in flight there in its current state.
    pub(crate) fn in_flight_limit(&self) -> u32 {
        match self.state {
            EndpointState::Serving => self.spec.share,
            EndpointState::Listed => self.spec.share.min(1),
            EndpointState::Ejected | EndpointState::Leaving => 0,
        }
    }
}
