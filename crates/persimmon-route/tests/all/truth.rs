//! Any order of requests, answers, failures and changes of the list, against what really was sent.

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
    Pass(u64),
    Request {
        idempotent: bool,
        deadline_ms: u64,
    },
    Finish {
        at: usize,
        outcome: Outcome,
    },
    Poll,
    /// A list that leaves out or marks as leaving some of the endpoints.
    List {
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
        2 => (0..400u64).prop_map(Step::Pass),
        6 => (any::<bool>(), 1..2_000u64)
            .prop_map(|(idempotent, deadline_ms)| Step::Request { idempotent, deadline_ms }),
        6 => (any::<usize>(), outcome()).prop_map(|(at, outcome)| Step::Finish { at, outcome }),
        2 => Just(Step::Poll),
        1 => (any::<u8>(), any::<u8>(), 0..4u32)
            .prop_map(|(listed, leaving, share)| Step::List { listed, leaving, share }),
    ]
}

/// What is true of the requests, kept apart from the router.
struct Oracle {
    router: Router,
    now: Instant,
    next: u64,
    in_flight: Vec<(Request, EndpointKey)>,
    waiting: BTreeSet<RequestId>,
    /// Requests of which a byte has left, and how often.
    bytes_sent: BTreeMap<RequestId, u32>,
    requests: BTreeMap<RequestId, Request>,
    leaving: BTreeSet<String>,
    shares: BTreeMap<String, u32>,
    retries: u64,
}

impl Oracle {
    fn take(&mut self, step: Step) {
        match step {
            Step::Pass(ms) => self.now += Duration::from_millis(ms),
            Step::Request {
                idempotent,
                deadline_ms,
            } => {
                self.next += 1;
                let deadline = self.now + Duration::from_millis(deadline_ms);
                let request = Request {
                    id: RequestId(self.next),
                    deadline,
                    idempotent,
                };
                self.requests.insert(request.id, request);
                let decision = self.router.route(request, self.now);
                self.decided(request.id, decision);
            }
            Step::Finish { at, outcome } => self.finish(at, outcome),
            Step::Poll => {
                for (id, decision) in self.router.poll(self.now) {
                    assert!(
                        self.waiting.remove(&id),
                        "decided on one that does not wait"
                    );
                    self.decided(id, decision);
                }
            }
            Step::List {
                listed,
                leaving,
                share,
            } => self.list(listed, leaving, share),
        }
    }

    fn list(&mut self, listed: u8, leaving: u8, share: u32) {
        let mut specs = Vec::new();
        self.leaving.clear();
        self.shares.clear();
        for number in (0..8).filter(|number| listed & (1 << number) != 0) {
            let id = format!("e{number}");
            let leaves = leaving & (1 << number) != 0;
            if leaves {
                self.leaving.insert(id.clone());
            }
            self.shares.insert(id.clone(), share);
            specs.push(EndpointSpec {
                address: id.clone(),
                id,
                same_data_centre: number % 2 == 0,
                share,
                leaving: leaves,
            });
        }
        self.router.set_endpoints(specs);
    }

    fn decided(&mut self, id: RequestId, decision: Decision) {
        let request = self.requests[&id];
        let sent = self.bytes_sent.contains_key(&id);
        match decision {
            Decision::Send(key) => {
                assert!(
                    request.idempotent || !sent,
                    "a non-idempotent request is sent again"
                );
                let endpoint = self
                    .router
                    .endpoint_id(key)
                    .expect("an endpoint")
                    .to_owned();
                assert!(!self.leaving.contains(&endpoint), "{endpoint} is leaving");
                let share = self.shares.get(&endpoint).copied().unwrap_or(0);
                let here = self
                    .in_flight
                    .iter()
                    .filter(|(_, other)| *other == key)
                    .count() as u32;
                assert!(
                    here < share,
                    "{here} in flight at {endpoint}, whose share is {share}"
                );
                self.in_flight.push((request, key));
            }
            Decision::Wait => drop(self.waiting.insert(id)),
            Decision::Refuse(_) => assert!(!sent, "told not run, and a byte had left"),
            Decision::FailUnknown(_) => assert!(sent, "told unknown, and no byte had left"),
        }
    }

    fn finish(&mut self, at: usize, outcome: Outcome) {
        let Some(at) = at.checked_rem(self.in_flight.len()) else {
            return;
        };
        let (request, key) = self.in_flight.swap_remove(at);
        if outcome != Outcome::NotConnected {
            *self.bytes_sent.entry(request.id).or_default() += 1;
        }
        let sent = self.bytes_sent.contains_key(&request.id);
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
                self.decided(request.id, decision);
            }
            Verdict::NotRun => assert!(!sent, "told not run, and a byte had left"),
            Verdict::Unknown => assert!(sent, "told unknown, and no byte had left"),
        }
    }
}

proptest! {
    #[test]
    fn truth_any_order(steps in prop::collection::vec(step(), 1..150)) {
        let router = Router::new(Options::default()).expect("a sound chart");
        let mut oracle = Oracle {
            router,
            now: Instant::now(),
            next: 0,
            in_flight: Vec::new(),
            waiting: BTreeSet::new(),
            bytes_sent: BTreeMap::new(),
            requests: BTreeMap::new(),
            leaving: BTreeSet::new(),
            shares: BTreeMap::new(),
            retries: 0,
        };
        oracle.list(0b1111_1111, 0, 2);
        for step in steps {
            oracle.take(step);
            // Slots are given back to the last one.
            let in_flight: u32 = oracle.router.endpoints().map(|it| it.in_flight).sum();
            prop_assert_eq!(in_flight as usize, oracle.in_flight.len());
        }
        let budget = oracle.next / 10 + 1;
        prop_assert!(oracle.retries <= budget, "{} retries of {}", oracle.retries, oracle.next);
    }
}
