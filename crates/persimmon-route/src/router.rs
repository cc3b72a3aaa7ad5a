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

/// How a router decides.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests that may wait; 1024 by default.
    pub queue_max: usize,
    /// Failures in a row before an endpoint is ejected; 3 by default.
    pub failures_max: u32,
    /// The first ejection; 500 ms by default. Each further one is twice as long, up to 30 s.
    pub ejection: Duration,
    /// The part of the endpoints that may be ejected for being slow or busy, in hundredths; 30 by
    /// default. Endpoints that take no connection are not counted.
    pub ejected_max_percent: u32,
    /// Retries as a part of the requests, in hundredths; 10 by default.
    pub retry_percent: u32,
    /// Retries that may be saved up; 10 by default.
    pub retry_burst: u32,
    /// What a hop to another data centre costs; 1 ms by default.
    pub far_cost: Duration,
    /// Which endpoint is chosen; [`selection::SelectionPolicy::Measured`] by default.
    pub selection: selection::SelectionPolicy,
    /// The seed of random choices.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            queue_max: 1024,
            failures_max: 3,
            ejection: Duration::from_millis(500),
            ejected_max_percent: 30,
            retry_percent: 10,
            retry_burst: 10,
            far_cost: Duration::from_millis(1),
            selection: selection::SelectionPolicy::Measured,
            seed: 0,
        }
    }
}

const EJECTION_MAX: Duration = Duration::from_secs(30);

/// How many times dearer an endpoint is that always fails.
const FAILURE_COST: u32 = 100;

/// One request that waits; those with the earliest deadline go first.
type WaitKey = (Instant, RequestId);

/// One daemon's decisions for one service.
#[derive(Debug)]
pub struct Router {
    options: Options,
    chart: Machine<EndpointState, EndpointEvent>,
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    by_id: HashMap<String, EndpointKey>,
    next_key: u32,
    waiting: BTreeMap<WaitKey, Request>,
    sent: HashMap<RequestId, u32>,
    budget: RetryBudget,
    rng: ChaCha8Rng,
    last: Option<EndpointKey>,
    /// Smoothed time to a whole answer over all endpoints.
    latency: Duration,
}

impl Router {
    /// A router without endpoints.
    pub fn new(options: Options) -> Result<Self, ParseError> {
        Ok(Self {
            chart: Machine::parse("endpoint.toml", include_str!("../charts/endpoint.toml"))?,
            endpoints: BTreeMap::new(),
            by_id: HashMap::new(),
            next_key: 0,
            waiting: BTreeMap::new(),
            sent: HashMap::new(),
            budget: RetryBudget::new(options.retry_percent, options.retry_burst),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            last: None,
            latency: Duration::ZERO,
            options,
        })
    }

    /// Takes over the newest list of endpoints.
    pub fn set_endpoints(&mut self, specs: Vec<EndpointSpec>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for spec in specs {
            self.set_endpoint(spec);
        }
        let gone: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.listed)
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.step(key, EndpointEvent::Leave);
            self.forget_if_idle(key);
        }
    }

    /// Decides on a request that was just received, or whose sending ended in
    /// [`Verdict::Retry`].
    pub fn route(&mut self, request: Request, now: Instant) -> Decision {
        if !self.sent.contains_key(&request.id) {
            self.budget.earn();
        }
        self.end_ejections(now);
        if self.usable() == 0 {
            return self.refuse(&request, Refusal::NoEndpoint);
        }
        if self.waiting.is_empty() {
            if let Some(key) = self.choose() {
                return self.send(request, key);
            }
        }
        let expected_wait = self.expected_wait(self.waiting.len());
        if now + expected_wait + self.latency > request.deadline {
            return self.refuse(&request, Refusal::Deadline { expected_wait });
        }
        if self.waiting.len() >= self.options.queue_max {
            return self.refuse(&request, Refusal::QueueFull);
        }
        self.waiting.insert((request.deadline, request.id), request);
        Decision::Wait
    }

    /// Decides on requests that wait: each is sent, refused, or left out and waits on.
    pub fn poll(&mut self, now: Instant) -> Vec<(RequestId, Decision)> {
        self.end_ejections(now);
        let mut decided = Vec::new();
        while let Some((_, request)) = self.waiting.first_key_value() {
            let request = *request;
            if now + self.latency > request.deadline {
                self.waiting.pop_first();
                let refusal = Refusal::Deadline {
                    expected_wait: Duration::ZERO,
                };
                decided.push((request.id, self.refuse(&request, refusal)));
                continue;
            }
            let Some(key) = self.choose() else { break };
            self.waiting.pop_first();
            decided.push((request.id, self.send(request, key)));
        }
        decided
    }

    /// Drops a request that waits, for a caller that went away.
    pub fn abandon(&mut self, request: &Request) {
        self.waiting.remove(&(request.deadline, request.id));
        self.sent.remove(&request.id);
    }

    /// Gives the slot of a sending back and tells what follows for the caller.
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
        self.learn(key, outcome, latency, now);
        self.forget_if_idle(key);
        let verdict = self.verdict(request, outcome, now);
        if verdict != Verdict::Retry {
            self.sent.remove(&request.id);
        }
        verdict
    }

    /// Where an endpoint listens.
    pub fn address(&self, key: EndpointKey) -> Option<&str> {
        self.endpoints
            .get(&key)
            .map(|endpoint| endpoint.spec.address.as_str())
    }

    /// The instance of an endpoint.
    pub fn endpoint_id(&self, key: EndpointKey) -> Option<&str> {
        self.endpoints
            .get(&key)
            .map(|endpoint| endpoint.spec.id.as_str())
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointSummary> + '_ {
        self.endpoints.values().map(|endpoint| EndpointSummary {
            id: endpoint.spec.id.clone(),
            state: endpoint.state,
            in_flight: endpoint.in_flight,
            share: endpoint.spec.share,
        })
    }

    /// The requests that wait.
    pub fn queue_len(&self) -> usize {
        self.waiting.len()
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
        endpoint.listed = true;
        endpoint.spec = spec;
        let leaving = endpoint.spec.leaving || endpoint.left_by_itself;
        let event = if leaving {
            EndpointEvent::Leave
        } else {
            EndpointEvent::Return
        };
        self.step(key, event);
    }

    /// Forgets an endpoint that is listed no longer once nothing is in flight there.
    fn forget_if_idle(&mut self, key: EndpointKey) {
        let idle = self
            .endpoints
            .get(&key)
            .is_some_and(|it| !it.listed && it.in_flight == 0);
        if !idle {
            return;
        }
        if let Some(endpoint) = self.endpoints.remove(&key) {
            self.by_id.remove(&endpoint.spec.id);
        }
    }

    fn step(&mut self, key: EndpointKey, event: EndpointEvent) {
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
        *self.sent.entry(request.id).or_insert(0) += 1;
        Decision::Send(key)
    }

    /// Gives up on a request, truthfully: only one that was never sent is told that it did not run.
    fn refuse(&mut self, request: &Request, refusal: Refusal) -> Decision {
        let sendings = self.sent.remove(&request.id).unwrap_or(0);
        if sendings == 0 {
            return Decision::Refuse(refusal);
        }
        Decision::FailUnknown(refusal)
    }

    /// Endpoints that may be given requests now or after a probe.
    fn usable(&self) -> usize {
        let usable = |endpoint: &&Endpoint| {
            endpoint.state != EndpointState::Leaving && endpoint.spec.share > 0
        };
        self.endpoints.values().filter(usable).count()
    }

    fn choose(&mut self) -> Option<EndpointKey> {
        let free: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.in_flight < endpoint.limit())
            .map(|(key, _)| *key)
            .collect();
        if free.is_empty() {
            return None;
        }
        match self.options.selection {
            selection::SelectionPolicy::RoundRobin => {
                self.last = selection::round_robin(&free, self.last);
                self.last
            }
            selection::SelectionPolicy::Random => selection::random(&free, &mut self.rng),
            selection::SelectionPolicy::Measured => self.choose_measured(&free),
        }
    }

    /// The cheaper of two random endpoints, by expected time to an answer.
    fn choose_measured(&mut self, free: &[EndpointKey]) -> Option<EndpointKey> {
        let first = free[self.rng.random_range(0..free.len())];
        let second = free[self.rng.random_range(0..free.len())];
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
        let hop = if endpoint.spec.same_data_centre {
            Duration::ZERO
        } else {
            self.options.far_cost
        };
        // An endpoint without an answer yet is taken to be as fast as the rest.
        let latency = if endpoint.latency.is_zero() {
            self.latency
        } else {
            endpoint.latency
        };
        // One that fails fast is always free, and would draw all the more requests.
        let failing = FAILURE_COST * endpoint.failing_per_mille / 1_000;
        (latency + hop) * (endpoint.in_flight + 1) * (1 + failing)
    }

    /// How long a request would wait behind `ahead` others.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let slots: u32 = self.endpoints.values().map(Endpoint::limit).sum();
        self.latency * (ahead as u32 + 1) / slots.max(1)
    }

    fn learn(&mut self, key: EndpointKey, outcome: Outcome, latency: Duration, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.observe(latency);
                if let Some(endpoint) = self.endpoints.get_mut(&key) {
                    endpoint.observe(latency);
                    endpoint.count(false);
                    endpoint.failures_in_a_row = 0;
                    endpoint.ejections = 0;
                    endpoint.crashed = false;
                    endpoint.ejected_until = None;
                }
                self.step(key, EndpointEvent::Answer);
            }
            Outcome::Refused { leaving: true } => {
                if let Some(endpoint) = self.endpoints.get_mut(&key) {
                    endpoint.left_by_itself = true;
                }
                self.step(key, EndpointEvent::Leave);
            }
            Outcome::NotConnected => self.count_failure(key, true, now),
            Outcome::Refused { .. } | Outcome::Incomplete => self.count_failure(key, false, now),
            Outcome::TimedOut => {
                if let Some(endpoint) = self.endpoints.get_mut(&key) {
                    endpoint.observe(latency);
                }
                self.count_failure(key, false, now);
            }
            Outcome::Abandoned => {}
        }
    }

    fn observe(&mut self, latency: Duration) {
        const SMOOTHING: u32 = 32;
        self.latency = match self.latency {
            Duration::ZERO => latency,
            smoothed => smoothed * (SMOOTHING - 1) / SMOOTHING + latency / SMOOTHING,
        };
    }

    /// Ejects an endpoint after failures in a row.
    ///
    /// One that takes no connection has crashed and is ejected whatever the others do. Busy ones
    /// are ejected only while most others serve, since their load would sink the rest: the Hosted
    /// Graphite postmortem of June 2019 tells of both confusions.
    fn count_failure(&mut self, key: EndpointKey, crashed: bool, now: Instant) {
        let room = self.may_eject();
        let options = self.options;
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        endpoint.count(true);
        endpoint.failures_in_a_row += 1;
        endpoint.crashed = crashed;
        let often = endpoint.failures_in_a_row >= options.failures_max
            || endpoint.state == EndpointState::Listed;
        if !often || !(crashed || room) {
            return;
        }
        let doubled = options.ejection * 2u32.saturating_pow(endpoint.ejections.min(10));
        endpoint.ejected_until = Some(now + doubled.min(EJECTION_MAX));
        endpoint.ejections += 1;
        self.step(key, EndpointEvent::Fail);
    }

    fn may_eject(&self) -> bool {
        let ejected = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.state == EndpointState::Ejected && !endpoint.crashed);
        let most = self.usable() * self.options.ejected_max_percent as usize / 100;
        ejected.count() < most
    }

    fn end_ejections(&mut self, now: Instant) {
        let over = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Ejected
                && endpoint.ejected_until.is_none_or(|until| until <= now)
        };
        let ended: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| over(endpoint))
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.step(key, EndpointEvent::Probe);
        }
    }

    fn verdict(&mut self, request: &Request, outcome: Outcome, now: Instant) -> Verdict {
        // Only a connection that was never made proves that no byte left.
        let unsent = outcome == Outcome::NotConnected;
        let first = self.sent.get(&request.id).copied().unwrap_or(0) <= 1;
        let truth = if unsent && first {
            Verdict::NotRun
        } else {
            Verdict::Unknown
        };
        let useful = !matches!(outcome, Outcome::Answered | Outcome::Abandoned);
        let harmless = request.idempotent || unsent;
        let in_time = now + self.latency < request.deadline;
        if useful && harmless && in_time && self.budget.spend() {
            if unsent {
                // This sending does not count against the truth of the final answer.
                self.sent.entry(request.id).and_modify(|sent| *sent -= 1);
            }
            return Verdict::Retry;
        }
        truth
    }
}
