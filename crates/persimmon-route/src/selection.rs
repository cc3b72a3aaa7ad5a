//! Baselines for the choice of an endpoint.
use crate::EndpointKey;
use rand::Rng;

/// How an endpoint is chosen among those with a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Each in turn.
    RoundRobin,
    /// Any, with equal chances.
    Random,
    /// The better of two random ones, by measured latency and requests in flight.
    Measured,
}

pub(crate) fn round_robin(free: &[EndpointKey], last: Option<EndpointKey>) -> Option<EndpointKey> {
    let after_last = free.iter().find(|key| Some(**key) > last);
    after_last.or(free.first()).copied()
}

pub(crate) fn random(free: &[EndpointKey], rng: &mut impl Rng) -> Option<EndpointKey> {
    free.get(rng.random_range(0..free.len())).copied()
}
