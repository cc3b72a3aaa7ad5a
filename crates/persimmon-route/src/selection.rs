//! Policies for the selection of an endpoint; the first two are baselines.
use crate::EndpointKey;
use rand::Rng;

/// How an endpoint is selected among those with a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Each endpoint in turn.
    RoundRobin,
    /// Any endpoint, with equal probability.
    Random,
    /// The better of two random endpoints, by measured latency, failures and requests in flight.
    Measured,
}

pub(crate) fn round_robin(
    available: &[EndpointKey],
    last: Option<EndpointKey>,
) -> Option<EndpointKey> {
    let next = available.iter().find(|key| Some(**key) > last);
    next.or(available.first()).copied()
}

pub(crate) fn random(available: &[EndpointKey], rng: &mut impl Rng) -> Option<EndpointKey> {
    available.get(rng.random_range(0..available.len())).copied()
}
