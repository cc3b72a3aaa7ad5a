use crate::{
    endpoint::Endpoint, selection, Decision, EndpointEvent, EndpointKey, EndpointSpec,
    EndpointState, EndpointSummary, Outcome, Refusal, Request, RequestId, RetryBudget, Verdict,
};
use persimmon_chart::{Machine, ParseError};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// The parameters of a [`Router`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The most requests that may be queued; 1024 by default.
    pub queue_max: usize,
    /// The number of failures in a row after which an endpoint is ejected; 3 by default.
    pub failures_max: u32,
    /// The length of the first ejection; 500 ms by default. Each further one is twice as long, up
    /// to 30 s.
    pub ejection_initial: Duration,
    /// The percentage of the endpoints that may be ejected for being slow or busy; 30 by default.
    /// Endpoints that accept no connections are ejected regardless of it and are not counted as
    /// ejected.
    pub ejected_max_percent: u32,
    /// Retries as a percentage of the requests; 10 by default.
    pub retry_percent: u32,
    /// The most retries that may accumulate in the budget; 10 by default.
    pub retry_burst: u32,
    /// The latency added to an endpoint in another data centre when costs are compared; 1 ms by
    /// default.
    pub cross_data_centre_cost: Duration,
    /// How an endpoint is selected; [`selection::SelectionPolicy::Measured`] by default.
    pub selection: selection::SelectionPolicy,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            queue_max: 1024,
            failures_max: 3,
            ejection_initial: Duration::from_millis(500),
            ejected_max_percent: 30,
            retry_percent: 10,
            retry_burst: 10,
            cross_data_centre_cost: Duration::from_millis(1),
            selection: selection::SelectionPolicy::Measured,
            seed: 0,
        }
    }
}

const EJECTION_MAX: Duration = Duration::from_secs(30);

/// How long an endpoint's answer that it is leaving counts while the list does not show it. After
/// that it is probed, since its process may have been restarted.
const ANNOUNCED_LEAVE_MAX: Duration = Duration::from_secs(30);

/// Number of attempts after which a request that broke off is not sent to another endpoint.
const INCOMPLETE_ATTEMPTS_MAX: u32 = 3;

/// An endpoint's cost is multiplied by 1 plus this factor if every attempt on it fails, and by
/// proportionally less if only some do.
const FAILURE_COST_FACTOR: u32 = 100;

/// Orders the queue by earliest deadline first.
type QueueKey = (Instant, RequestId);

/// Routes the requests of one daemon to the endpoints of one service.
#[derive(Debug)]
pub struct Router {
    options: Options,
    chart: Machine<EndpointState, EndpointEvent>,
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    by_id: HashMap<String, EndpointKey>,
    next_key: u32,
    queue: BTreeMap<QueueKey, Request>,
    /// For each request, the attempts that may have sent a byte, including the current one.
    attempts: HashMap<RequestId, u32>,
    budget: RetryBudget,
    rng: ChaCha8Rng,
    last_selected: Option<EndpointKey>,
    /// Exponential moving average of the time to a complete answer over all endpoints.
    latency: Duration,
}

impl Router {
    /// Creates a router without endpoints.
    pub fn new(options: Options) -> Result<Self, ParseError> {
        Ok(Self {
            chart: Machine::parse("endpoint.toml", include_str!("../charts/endpoint.toml"))?,
            endpoints: BTreeMap::new(),
            by_id: HashMap::new(),
            next_key: 0,
            queue: BTreeMap::new(),
            attempts: HashMap::new(),
            budget: RetryBudget::new(options.retry_percent, options.retry_burst),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            last_selected: None,
            latency: Duration::ZERO,
            options,
        })
    }

    /// Replaces the list of endpoints.
    ///
    /// An endpoint that is no longer listed receives no further requests and is removed once none
    /// are in flight there.
    pub fn set_endpoints(&mut self, specs: Vec<EndpointSpec>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.in_latest_list = false;
        }
        for spec in specs {
            self.set_endpoint(spec);
        }
        let delisted: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.in_latest_list)
            .map(|(key, _)| *key)
            .collect();
        for key in delisted {
            self.apply_event(key, EndpointEvent::Leave);
            self.remove_if_idle(key);
        }
    }

    /// Decides on a request that was just received, or whose last attempt ended in
    /// [`Verdict::Retry`].
    pub fn route(&mut self, request: Request, now: Instant) -> Decision {
        if !self.attempts.contains_key(&request.id) {
            self.budget.deposit();
        }
        self.expire_exclusions(now);
        if self.usable_count() == 0 {
            return self.refuse(&request, Refusal::NoEndpoint);
        }
        if self.queue.is_empty() {
            if let Some(key) = self.select() {
                return self.send(request, key);
            }
        }
        let expected_wait = self.expected_wait(self.queue.len());
        if now + expected_wait + self.latency > request.deadline {
            return self.refuse(&request, Refusal::Deadline { expected_wait });
        }
        if self.queue.len() >= self.options.queue_max {
            return self.refuse(&request, Refusal::QueueFull);
        }
        self.queue.insert((request.deadline, request.id), request);
        Decision::Wait
    }

    /// Decides on queued requests; those without a decision remain queued.
    pub fn poll(&mut self, now: Instant) -> Vec<(RequestId, Decision)> {
        self.expire_exclusions(now);
        let mut decisions = Vec::new();
        let usable = self.usable_count() > 0;
        while let Some((_, request)) = self.queue.first_key_value() {
            let request = *request;
            if !usable {
                self.queue.pop_first();
                decisions.push((request.id, self.refuse(&request, Refusal::NoEndpoint)));
                continue;
            }
            if now + self.latency > request.deadline {
                self.queue.pop_first();
                let refusal = Refusal::Deadline {
                    expected_wait: Duration::ZERO,
                };
                decisions.push((request.id, self.refuse(&request, refusal)));
                continue;
            }
            let Some(key) = self.select() else { break };
            self.queue.pop_first();
            decisions.push((request.id, self.send(request, key)));
        }
        decisions
    }

    /// Removes a queued request whose caller disconnected.
    pub fn abandon(&mut self, request: &Request) {
        self.queue.remove(&(request.deadline, request.id));
        self.attempts.remove(&request.id);
    }

    /// Releases the slot of an attempt and returns what to do next.
    pub fn finish(
        &mut self,
        request: &Request,
        key: EndpointKey,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) -> Verdict {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
        self.record_outcome(key, outcome, latency, now);
        self.remove_if_idle(key);
        let verdict = self.verdict(request, outcome, now);
        if verdict != Verdict::Retry {
            self.attempts.remove(&request.id);
        }
        verdict
    }

    /// Returns the address on which an endpoint listens.
    pub fn address(&self, key: EndpointKey) -> Option<&str> {
        self.endpoints
            .get(&key)
            .map(|endpoint| endpoint.spec.address.as_str())
    }

    /// Returns the id of an endpoint's instance.
    pub fn endpoint_id(&self, key: EndpointKey) -> Option<&str> {
        self.endpoints
            .get(&key)
            .map(|endpoint| endpoint.spec.id.as_str())
    }

    /// Returns a summary of each endpoint.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointSummary> + '_ {
        self.endpoints.values().map(|endpoint| EndpointSummary {
            id: endpoint.spec.id.clone(),
            state: endpoint.state,
            in_flight: endpoint.in_flight,
            share: endpoint.spec.share,
        })
    }

    /// Returns the number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn set_endpoint(&mut self, spec: EndpointSpec) {
        let key = match self.by_id.get(&spec.id) {
            Some(key) => *key,
            None => {
                let key = EndpointKey(self.next_key);
                self.next_key += 1;
                self.by_id.insert(spec.id.clone(), key);
                self.endpoints
                    .insert(key, Endpoint::new(spec.clone(), self.chart.initial()));
                key
            }
        };
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        endpoint.in_latest_list = true;
        endpoint.spec = spec;
        let leaving = endpoint.spec.leaving || endpoint.announced_leaving_until.is_some();
        let event = if leaving {
            EndpointEvent::Leave
        } else {
            EndpointEvent::Return
        };
        self.apply_event(key, event);
    }

    /// Removes an endpoint that is no longer listed and has no requests in flight.
    fn remove_if_idle(&mut self, key: EndpointKey) {
        let is_removable = self
            .endpoints
            .get(&key)
            .is_some_and(|endpoint| !endpoint.in_latest_list && endpoint.in_flight == 0);
        if !is_removable {
            return;
        }
        if let Some(endpoint) = self.endpoints.remove(&key) {
            self.by_id.remove(&endpoint.spec.id);
        }
    }

    fn apply_event(&mut self, key: EndpointKey, event: EndpointEvent) {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        if let Some(state) = self.chart.try_step(endpoint.state, event) {
            endpoint.state = state;
        }
    }

    fn send(&mut self, request: Request, key: EndpointKey) -> Decision {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.in_flight += 1;
        }
        *self.attempts.entry(request.id).or_insert(0) += 1;
        Decision::Send(key)
    }

    /// Ends a request without an answer. Only one of which no byte was sent is reported as not run.
    fn refuse(&mut self, request: &Request, refusal: Refusal) -> Decision {
        let attempts = self.attempts.remove(&request.id).unwrap_or(0);
        if attempts == 0 {
            return Decision::Refuse(refusal);
        }
        Decision::FailUnknown(refusal)
    }

    /// The number of endpoints that may receive requests now or after an ejection.
    fn usable_count(&self) -> usize {
        let is_usable = |endpoint: &&Endpoint| {
            endpoint.state != EndpointState::Leaving && endpoint.spec.share > 0
        };
        self.endpoints.values().filter(is_usable).count()
    }

    fn select(&mut self) -> Option<EndpointKey> {
        let available: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.in_flight < endpoint.in_flight_limit())
            .map(|(key, _)| *key)
            .collect();
        if available.is_empty() {
            return None;
        }
        match self.options.selection {
            selection::SelectionPolicy::RoundRobin => {
                self.last_selected = selection::round_robin(&available, self.last_selected);
                self.last_selected
            }
            selection::SelectionPolicy::Random => selection::random(&available, &mut self.rng),
            selection::SelectionPolicy::Measured => self.select_measured(&available),
        }
    }

    /// The cheaper of two random endpoints (power of two choices), by expected time to an answer.
    fn select_measured(&mut self, available: &[EndpointKey]) -> Option<EndpointKey> {
        let first = available[self.rng.random_range(0..available.len())];
        let second = available[self.rng.random_range(0..available.len())];
        Some(if self.cost(second) < self.cost(first) {
            second
        } else {
            first
        })
    }

    fn cost(&self, key: EndpointKey) -> Duration {
        let Some(endpoint) = self.endpoints.get(&key) else {
            return Duration::MAX;
        };
        let hop_latency = if endpoint.spec.same_data_centre {
            Duration::ZERO
        } else {
            self.options.cross_data_centre_cost
        };
        // An endpoint without a latency sample is assumed to be as fast as the average.
        let latency = if endpoint.latency.is_zero() {
            self.latency
        } else {
            endpoint.latency
        };
        // An endpoint that fails fast always has free slots; without this penalty it would attract
        // more requests than the others.
        let failure_penalty = FAILURE_COST_FACTOR * endpoint.failure_rate_per_mille / 1_000;
        (latency + hop_latency) * (endpoint.in_flight + 1) * (1 + failure_penalty)
    }

    /// The expected time in the queue behind `ahead` other requests.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let slots: u32 = self.endpoints.values().map(Endpoint::in_flight_limit).sum();
        self.latency * (ahead as u32 + 1) / slots.max(1)
    }

    fn record_outcome(
        &mut self,
        key: EndpointKey,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) {
        match outcome {
            Outcome::Answered => {
                self.record_latency(latency);
                if let Some(endpoint) = self.endpoints.get_mut(&key) {
                    endpoint.record_latency(latency);
                    endpoint.record_attempt(false);
                    endpoint.consecutive_failures = 0;
                    endpoint.ejection_count = 0;
                    endpoint.presumed_crashed = false;
                    endpoint.ejected_until = None;
                }
                self.apply_event(key, EndpointEvent::Answer);
            }
            Outcome::Refused { leaving: true } => {
                if let Some(endpoint) = self.endpoints.get_mut(&key) {
                    endpoint.announced_leaving_until = Some(now + ANNOUNCED_LEAVE_MAX);
                }
                self.apply_event(key, EndpointEvent::Leave);
            }
            Outcome::NotConnected => self.record_failure(key, true, now),
            Outcome::Refused { .. } | Outcome::Incomplete => self.record_failure(key, false, now),
            Outcome::TimedOut => {
                if let Some(endpoint) = self.endpoints.get_mut(&key) {
                    endpoint.record_latency(latency);
                }
                self.record_failure(key, false, now);
            }
            Outcome::Abandoned => {}
        }
    }

    fn record_latency(&mut self, latency: Duration) {
        const EWMA_DIVISOR: u32 = 32;
        self.latency = match self.latency {
            Duration::ZERO => latency,
            average => average * (EWMA_DIVISOR - 1) / EWMA_DIVISOR + latency / EWMA_DIVISOR,
        };
    }

    /// Records a failed attempt, and ejects the endpoint after several failures in a row, or after
    /// the first one if it has not answered yet or is being probed.
    ///
    /// An endpoint that accepts no connections is presumed crashed and ejected regardless of the
    /// others. Any other is ejected only while the ejected ones are below
    /// [`Options::ejected_max_percent`], since its load would overload the rest. The Hosted
    /// Graphite postmortem of June 2019 reports both failures: crashed endpoints that were handled
    /// as busy ones, and busy ones that were handled as crashed.
    fn record_failure(&mut self, key: EndpointKey, presumed_crashed: bool, now: Instant) {
        let below_ejection_limit = self.is_below_ejection_limit();
        let options = self.options;
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        endpoint.record_attempt(true);
        endpoint.consecutive_failures += 1;
        endpoint.presumed_crashed = presumed_crashed;
        let is_over_threshold = endpoint.consecutive_failures >= options.failures_max
            || endpoint.state == EndpointState::Listed;
        if !is_over_threshold || !(presumed_crashed || below_ejection_limit) {
            return;
        }
        let backoff =
            options.ejection_initial * 2u32.saturating_pow(endpoint.ejection_count.min(10));
        endpoint.ejected_until = Some(now + backoff.min(EJECTION_MAX));
        endpoint.ejection_count += 1;
        self.apply_event(key, EndpointEvent::Fail);
    }

    fn is_below_ejection_limit(&self) -> bool {
        let ejected = self.endpoints.values().filter(|endpoint| {
            endpoint.state == EndpointState::Ejected && !endpoint.presumed_crashed
        });
        let limit = self.usable_count() * self.options.ejected_max_percent as usize / 100;
        ejected.count() < limit
    }

    fn expire_exclusions(&mut self, now: Instant) {
        self.expire_ejections(now);
        self.expire_announced_leaves(now);
    }

    fn expire_announced_leaves(&mut self, now: Instant) {
        let mut returned = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            if endpoint
                .announced_leaving_until
                .is_none_or(|until| now < until)
            {
                continue;
            }
            endpoint.announced_leaving_until = None;
            if endpoint.in_latest_list && !endpoint.spec.leaving {
                returned.push(*key);
            }
        }
        for key in returned {
            self.apply_event(key, EndpointEvent::Return);
        }
    }

    fn expire_ejections(&mut self, now: Instant) {
        let has_expired = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Ejected
                && endpoint.ejected_until.is_none_or(|until| until <= now)
        };
        let expired: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| has_expired(endpoint))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.apply_event(key, EndpointEvent::Probe);
        }
    }

    fn verdict(&mut self, request: &Request, outcome: Outcome, now: Instant) -> Verdict {
        // Only a connection that was never established proves that no byte was sent.
        let unsent = outcome == Outcome::NotConnected;
        let attempts = self.attempts.get(&request.id).copied().unwrap_or(0);
        let nothing_sent_before = attempts <= 1;
        let final_verdict = if unsent && nothing_sent_before {
            Verdict::NotRun
        } else {
            Verdict::Unknown
        };
        let is_retryable = match outcome {
            Outcome::Answered | Outcome::Abandoned => false,
            // The request may crash each endpoint that runs it.
            Outcome::Incomplete => attempts < INCOMPLETE_ATTEMPTS_MAX,
            Outcome::Refused { .. } | Outcome::NotConnected | Outcome::TimedOut => true,
        };
        let safe_to_resend = request.idempotent || unsent;
        let in_time = now + self.latency < request.deadline;
        if is_retryable && safe_to_resend && in_time && self.budget.try_withdraw() {
            if unsent {
                // An attempt that sent no byte must not prevent `NotRun` as the final verdict.
                self.attempts
                    .entry(request.id)
                    .and_modify(|attempts| *attempts -= 1);
            }
            return Verdict::Retry;
        }
        final_verdict
    }
}
