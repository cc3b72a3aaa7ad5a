//! Compares the router with a model of what was sent, over random sequences of requests, answers,
//! failures and changes of the endpoint list.
//!
//! In any sequence the router must stay within shares and the retry budget, send nothing to leaving
//! endpoints, never resend a non-idempotent request, and report correctly whether one may have run.

use persimmon_route::{
    Decision, EndpointKey, EndpointSpec, Options, Outcome, Request, RequestId, Router, Verdict,
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

#[derive(Debug, Clone, Copy)]
enum Step {
    Advance(u64),
    Request {
        idempotent: bool,
        deadline_ms: u64,
    },
    Finish {
        index: usize,
        outcome: Outcome,
    },
    Poll,
    /// Sets a list from which some endpoints are absent and in which some are leaving.
    SetEndpoints {
        listed: u8,
        leaving: u8,
        share: u32,
    },
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Answered),
        1 => any::<bool>().prop_map(|leaving| Outcome::Refused { leaving }),
        2 => Just(Outcome::NotConnected),
        2 => Just(Outcome::Incomplete),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::Abandoned),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..400u64).prop_map(Step::Advance),
        6 => (any::<bool>(), 1..2_000u64)
            .prop_map(|(idempotent, deadline_ms)| Step::Request { idempotent, deadline_ms }),
        6 => (any::<usize>(), outcome())
            .prop_map(|(index, outcome)| Step::Finish { index, outcome }),
        2 => Just(Step::Poll),
        1 => (any::<u8>(), any::<u8>(), 0..4u32)
            .prop_map(|(listed, leaving, share)| Step::SetEndpoints { listed, leaving, share }),
    ]
}

/// The state that the router must agree with, tracked independently of it.
struct Model {
    router: Router,
    now: Instant,
    request_count: u64,
    in_flight: Vec<(Request, EndpointKey)>,
    waiting: BTreeSet<RequestId>,
    /// The number of attempts that sent a byte, for each request with any.
    sent_attempts: BTreeMap<RequestId, u32>,
    requests: BTreeMap<RequestId, Request>,
    leaving: BTreeSet<String>,
    shares: BTreeMap<String, u32>,
    retries: u64,
}

impl Model {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
            Step::Request {
                idempotent,
                deadline_ms,
            } => {
                self.request_count += 1;
                let deadline = self.now + Duration::from_millis(deadline_ms);
                let request = Request {
                    id: RequestId(self.request_count),
                    deadline,
                    idempotent,
                };
                self.requests.insert(request.id, request);
                let decision = self.router.route(request, self.now);
                self.check_decision(request.id, decision);
            }
            Step::Finish { index, outcome } => self.finish(index, outcome),
            Step::Poll => {
                for (id, decision) in self.router.poll(self.now) {
                    assert!(
                        self.waiting.remove(&id),
                        "decision on a request that is not queued"
                    );
                    self.check_decision(id, decision);
                }
            }
            Step::SetEndpoints {
                listed,
                leaving,
                share,
            } => self.set_endpoints(listed, leaving, share),
        }
    }

    fn set_endpoints(&mut self, listed: u8, leaving: u8, share: u32) {
        let mut specs = Vec::new();
        self.leaving.clear();
        self.shares.clear();
        for number in (0..8).filter(|number| listed & (1 << number) != 0) {
            let id = format!("e{number}");
            let is_leaving = leaving & (1 << number) != 0;
            if is_leaving {
                self.leaving.insert(id.clone());
            }
            self.shares.insert(id.clone(), share);
            specs.push(EndpointSpec {
                address: id.clone(),
                id,
                same_data_centre: number % 2 == 0,
                share,
                leaving: is_leaving,
            });
        }
        self.router.set_endpoints(specs);
    }

    fn check_decision(&mut self, id: RequestId, decision: Decision) {
        let request = self.requests[&id];
        let sent = self.sent_attempts.contains_key(&id);
        match decision {
            Decision::Send(key) => {
                assert!(
                    request.idempotent || !sent,
                    "a non-idempotent request is resent"
                );
                let endpoint = self
                    .router
                    .endpoint_id(key)
                    .expect("an endpoint")
                    .to_owned();
                assert!(!self.leaving.contains(&endpoint), "{endpoint} is leaving");
                let share = self.shares.get(&endpoint).copied().unwrap_or(0);
                let in_flight = self
                    .in_flight
                    .iter()
                    .filter(|(_, other)| *other == key)
                    .count() as u32;
                assert!(
                    in_flight < share,
                    "{in_flight} in flight at {endpoint}, whose share is {share}"
                );
                self.in_flight.push((request, key));
            }
            Decision::Wait => drop(self.waiting.insert(id)),
            Decision::Refuse(_) => assert!(!sent, "reported as not run although a byte was sent"),
            Decision::FailUnknown(_) => {
                assert!(sent, "reported as unknown although no byte was sent")
            }
        }
    }

    fn finish(&mut self, index: usize, outcome: Outcome) {
        let Some(index) = index.checked_rem(self.in_flight.len()) else {
            return;
        };
        let (request, key) = self.in_flight.swap_remove(index);
        if outcome != Outcome::NotConnected {
            *self.sent_attempts.entry(request.id).or_default() += 1;
        }
        let sent = self.sent_attempts.contains_key(&request.id);
        let latency = Duration::from_millis(20);
        match self
            .router
            .finish(&request, key, outcome, latency, self.now)
        {
            Verdict::Retry => {
                self.retries += 1;
                assert!(
                    request.idempotent || !sent,
                    "a non-idempotent request is retried"
                );
                let decision = self.router.route(request, self.now);
                self.check_decision(request.id, decision);
            }
            Verdict::NotRun => assert!(!sent, "reported as not run although a byte was sent"),
            Verdict::Unknown => assert!(sent, "reported as unknown although no byte was sent"),
        }
    }
}

proptest! {
    #[test]
    fn invariants_hold_in_any_order(steps in prop::collection::vec(step(), 1..150)) {
        let router = Router::new(Options::default()).expect("a valid chart");
        let mut model = Model {
            router,
            now: Instant::now(),
            request_count: 0,
            in_flight: Vec::new(),
            waiting: BTreeSet::new(),
            sent_attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            leaving: BTreeSet::new(),
            shares: BTreeMap::new(),
            retries: 0,
        };
        model.set_endpoints(0b1111_1111, 0, 2);
        for step in steps {
            model.apply(step);
            // No slot is leaked or released twice.
            let in_flight: u32 = model.router.endpoints().map(|endpoint| endpoint.in_flight).sum();
            prop_assert_eq!(in_flight as usize, model.in_flight.len());
        }
        let retries_max = model.request_count / 10 + 1;
        prop_assert!(
            model.retries <= retries_max,
            "{} retries of {}", model.retries, model.request_count
        );
    }
}
