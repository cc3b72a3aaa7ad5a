use persimmon_chart::labels;
use std::time::{Duration, Instant};

/// Names an endpoint of a [`Router`](crate::Router); never used for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointKey(pub(crate) u32);

labels! {
    /// The state of an endpoint; see `charts/endpoint.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum EndpointState {
        /// It is listed and has not answered yet, or is tried again.
        Listed = "listed",
        /// It answers.
        Serving = "serving",
        /// It failed and gets nothing for a while.
        Ejected = "ejected",
        /// It gets nothing more.
        Leaving = "leaving",
    }
}

labels! {
    /// What can happen to an endpoint; see `charts/endpoint.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum EndpointEvent {
        /// It gave a whole answer.
        Answer = "answer",
        /// It failed too often in a row.
        Fail = "fail",
        /// Its ejection is over.
        Probe = "probe",
        /// The list or the endpoint itself says that it is leaving.
        Leave = "leave",
        /// The list says that it is live again.
        Return = "return",
    }
}

/// An endpoint as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Its instance.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Whether it is in the daemon's own data centre.
    pub same_data_centre: bool,
    /// The requests that this daemon may have in flight there.
    pub share: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An endpoint as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSummary {
    /// Its instance.
    pub id: String,
    /// Its state.
    pub state: EndpointState,
    /// This daemon's requests in flight there.
    pub in_flight: u32,
    /// The most that it may have in flight there.
    pub share: u32,
}

#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) spec: EndpointSpec,
    pub(crate) state: EndpointState,
    pub(crate) in_flight: u32,
    /// Smoothed time to a whole answer.
    pub(crate) latency: Duration,
    /// Smoothed part of the sendings without a whole answer, in thousandths.
    pub(crate) failing_per_mille: u32,
    pub(crate) failures_in_a_row: u32,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Option<Instant>,
    /// Whether its failures look like a stopped process rather than a busy one.
    pub(crate) crashed: bool,
    pub(crate) listed: bool,
    /// Whether the endpoint itself said that it is leaving; the list lags behind that.
    pub(crate) left_by_itself: bool,
}

impl Endpoint {
    /// The weight of a new latency in the smoothed one, as a divisor.
    const SMOOTHING: u32 = 8;

    pub(crate) fn new(spec: EndpointSpec, state: EndpointState) -> Self {
        Self {
            spec,
            state,
            in_flight: 0,
            latency: Duration::ZERO,
            failing_per_mille: 0,
            failures_in_a_row: 0,
            ejections: 0,
            ejected_until: None,
            crashed: false,
            listed: true,
            left_by_itself: false,
        }
    }

    pub(crate) fn observe(&mut self, latency: Duration) {
        if self.latency == Duration::ZERO {
            self.latency = latency;
            return;
        }
        let kept = self.latency * (Self::SMOOTHING - 1) / Self::SMOOTHING;
        self.latency = kept + latency / Self::SMOOTHING;
    }

    /// Notes whether a sending had a whole answer.
    pub(crate) fn count(&mut self, failed: bool) {
        let newest = if failed { 1_000 } else { 0 };
        self.failing_per_mille =
            (self.failing_per_mille * (Self::SMOOTHING - 1) + newest) / Self::SMOOTHING;
    }

    /// The requests that it may be given now, in flight ones included.
    pub(crate) fn limit(&self) -> u32 {
        match self.state {
            EndpointState::Serving => self.spec.share,
            EndpointState::Listed => self.spec.share.min(1),
            EndpointState::Ejected | EndpointState::Leaving => 0,
        }
    }
}
