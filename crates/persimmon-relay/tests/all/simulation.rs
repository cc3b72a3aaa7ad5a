//! Two owners, several relays and a network that delays and loses: no lease outlives what its owner
//! granted, no start follows an order that is too old, and no token goes back on a relay.

use crate::support::{address, report, start, task, GROUP};
use persimmon_relay::{
    Action, Batch, Event, Link, News, OrderCall, OrderKind, Outcome, Refusal, Relay, RunnerIndex,
    SessionKey,
};
use persimmon_sched::{Answer, JobId, Order};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

const RELAYS: usize = 3;
const RUNNERS: usize = 5;
const STEP_MS: u64 = 10;
const STEPS: u64 = 3_000;
const LEASE_MS: u64 = 6_000;
const START_AGE_MAX_MS: u64 = 700;
const SEEDS: u64 = 60;

enum Message {
    Batch(Batch),
    News(News),
    Lost,
}

struct Transit {
    at_ms: u64,
    owner: usize,
    relay: usize,
    message: Message,
}

struct Owner {
    fencing_token: u64,
    links: Vec<Link>,
    next_session: u64,
    is_replaced: bool,
}

struct Simulation {
    rng: ChaCha8Rng,
    started_at: Instant,
    now_ms: u64,
    relays: Vec<Relay>,
    /// A suspended relay does nothing until this time, then goes on where it was.
    suspended_until_ms: Vec<u64>,
    pending_calls: Vec<(usize, OrderCall)>,
    polled: Vec<BTreeMap<(SessionKey, RunnerIndex), u64>>,
    owners: Vec<Owner>,
    transit: Vec<Transit>,
    /// When each start was ordered.
    ordered_ms: HashMap<(u64, u16), u64>,
    next_task: u16,
    starts: u32,
    renewals: u32,
}

/// A link to a relay with its share of the runners.
fn new_link(relay: usize, fencing_token: u64, session: u64) -> Link {
    let mut link = Link::new(GROUP, fencing_token, session);
    for runner in (relay..RUNNERS).step_by(RELAYS) {
        link.add_runner(address(&format!("r{runner}")));
    }
    link
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at: Instant::now(),
            now_ms: 0,
            relays: (0..RELAYS).map(|_| Relay::default()).collect(),
            suspended_until_ms: vec![0; RELAYS],
            pending_calls: Vec::new(),
            polled: vec![BTreeMap::new(); RELAYS],
            owners: Vec::new(),
            transit: Vec::new(),
            ordered_ms: HashMap::new(),
            next_task: 0,
            starts: 0,
            renewals: 0,
        };
        simulation.take_over();
        simulation
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    fn take_over(&mut self) {
        let fencing_token = self.owners.len() as u64 + 1;
        let links = (0..RELAYS).map(|at| new_link(at, fencing_token, at as u64 + 1));
        self.owners.push(Owner {
            fencing_token,
            links: links.collect(),
            next_session: RELAYS as u64 + 1,
            is_replaced: false,
        });
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.owners.len() == 1 && self.rng.random_range(0..2_000) == 0 {
            self.take_over();
        }
        self.order();
        self.send();
        self.deliver();
        for relay in 0..RELAYS {
            if self.now_ms < self.suspended_until_ms[relay] {
                continue;
            }
            if self.rng.random_range(0..600) == 0 {
                let suspended_ms = self.rng.random_range(100..5_000);
                self.suspended_until_ms[relay] = self.now_ms + suspended_ms;
                continue;
            }
            self.make_calls(relay);
            self.poll(relay);
        }
    }

    fn order(&mut self) {
        for owner in 0..self.owners.len() {
            if self.owners[owner].is_replaced || self.rng.random_range(0..5) > 0 {
                continue;
            }
            let runner = self.rng.random_range(0..RUNNERS);
            let index = self.next_task;
            self.next_task = self.next_task.wrapping_add(1);
            let token = self.owners[owner].fencing_token;
            self.ordered_ms.insert((token, index), self.now_ms);
            let Order::Start { job, .. } = start("", 0) else {
                unreachable!("a start");
            };
            let order = Order::Start {
                runner: format!("r{runner}"),
                task: task(index),
                run: 1,
                job,
                checkpoint: String::new(),
            };
            let relay = runner % RELAYS;
            self.owners[owner].links[relay].push_order(order);
            self.send_batch(owner, relay);
        }
    }

    /// Each owner sends a batch to each relay every 100 ms or so, and with each order.
    fn send(&mut self) {
        for owner in 0..self.owners.len() {
            for relay in 0..RELAYS {
                if !self.owners[owner].is_replaced && self.rng.random_range(0..10) == 0 {
                    self.send_batch(owner, relay);
                }
            }
        }
    }

    /// Deadlines are on a clock that agrees with the simulation's.
    fn send_batch(&mut self, owner: usize, relay: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let link = &mut self.owners[owner].links[relay];
        let mut batch = link.take_batch(
            now,
            now_ms * 1_000,
            Duration::ZERO,
            |_| 0,
            |_| Some(now_ms + LEASE_MS),
        );
        link.add_orders(&mut batch, usize::MAX, |_, _, _| Ok(now_ms + LEASE_MS));
        let message = if self.rng.random_range(0..50) == 0 {
            Message::Lost
        } else {
            Message::Batch(batch)
        };
        self.transmit(owner, relay, message);
    }

    fn transmit(&mut self, owner: usize, relay: usize, message: Message) {
        let slow = self.rng.random_range(0..20) == 0;
        let delay_ms = self.rng.random_range(1..if slow { 3_000 } else { 30 });
        self.transit.push(Transit {
            at_ms: self.now_ms + delay_ms,
            owner,
            relay,
            message,
        });
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let suspended = &self.suspended_until_ms;
        let (due, rest) = std::mem::take(&mut self.transit)
            .into_iter()
            .partition(|it| it.at_ms <= now_ms && now_ms >= suspended[it.relay]);
        self.transit = rest;
        let due: Vec<Transit> = due;
        for it in due {
            match it.message {
                Message::Batch(batch) => self.deliver_batch(it.owner, it.relay, batch),
                Message::News(news) => {
                    let events = self.owners[it.owner].links[it.relay].handle_news(news);
                    self.check_events(it.owner, &events);
                }
                Message::Lost => self.fail(it.owner, it.relay),
            }
        }
    }

    fn deliver_batch(&mut self, owner: usize, relay: usize, batch: Batch) {
        let (session, now) = (batch.session_key(), self.now());
        match self.relays[relay].handle_batch(batch, now) {
            Ok(actions) => {
                for action in actions {
                    match action {
                        Action::Poll(index) => {
                            self.polled[relay].insert((session, index), 0);
                        }
                        Action::Call(call) => self.pending_calls.push((relay, call)),
                    }
                }
                let message = match self.relays[relay].take_news(session, now) {
                    Some(news) => Message::News(news),
                    None => Message::Lost,
                };
                self.transmit(owner, relay, message);
            }
            Err(Refusal::Superseded(token)) => {
                assert!(token > self.owners[owner].fencing_token);
                self.owners[owner].is_replaced = true;
            }
            Err(Refusal::SessionLost) => self.fail(owner, relay),
        }
    }

    fn fail(&mut self, owner: usize, relay: usize) {
        let owner_state = &mut self.owners[owner];
        owner_state.next_session += 1;
        let events = owner_state.links[relay].close();
        let (token, session) = (owner_state.fencing_token, owner_state.next_session);
        owner_state.links[relay] = new_link(relay, token, session);
        self.check_events(owner, &events);
    }

    /// An answer never says less than what happened: a task that may have started is not withheld.
    fn check_events(&self, owner: usize, events: &[Event]) {
        let token = self.owners[owner].fencing_token;
        for event in events {
            if let Event::Started(task, _, Answer::Withheld) = event {
                let key = (token, task.index);
                assert!(
                    self.ordered_ms.contains_key(&key),
                    "{task} was started and is said to be withheld"
                );
            }
        }
    }

    fn make_calls(&mut self, relay: usize) {
        let (due, rest) = std::mem::take(&mut self.pending_calls)
            .into_iter()
            .partition(|(at, _)| *at == relay);
        self.pending_calls = rest;
        let due: Vec<(usize, OrderCall)> = due;
        for (_, call) in due {
            let OrderKind::Start {
                expires_at,
                deadline_ms,
                ..
            } = &call.kind
            else {
                continue;
            };
            let answer = if self.now() >= *expires_at {
                Answer::Withheld
            } else {
                let key = (call.session.fencing_token, call.task.index);
                let ordered_ms = self.ordered_ms.remove(&key).expect("ordered, and once");
                let age_ms = self.now_ms - ordered_ms;
                assert!(age_ms <= START_AGE_MAX_MS, "{age_ms} ms old");
                assert!(*deadline_ms <= ordered_ms + LEASE_MS);
                assert_eq!(call.task.job, JobId::new(7));
                self.starts += 1;
                Answer::Started
            };
            self.relays[relay].finish_order(&call, Outcome::Start(answer));
        }
    }

    fn poll(&mut self, relay: usize) {
        let now = self.now();
        let polled: Vec<_> = self.polled[relay].keys().copied().collect();
        for (session, index) in polled {
            if self.rng.random_range(0..8) > 0 {
                continue;
            }
            let Some(poll) = self.relays[relay].begin_poll(session, index, now) else {
                self.polled[relay].remove(&(session, index));
                continue;
            };
            let last_token = self.polled[relay].get_mut(&(session, index));
            let last_token = last_token.expect("polled");
            assert!(
                poll.session.fencing_token >= *last_token,
                "the token went back"
            );
            *last_token = poll.session.fencing_token;
            if let Some(deadline_ms) = poll.deadline_ms {
                assert!(deadline_ms <= self.now_ms + LEASE_MS, "not granted");
                self.renewals += 1;
            }
            let answer = (self.rng.random_range(0..10) > 0).then(|| report(vec![], vec![]));
            self.relays[relay].finish_poll(index, &poll, answer);
        }
    }
}

#[test]
fn relays_act_on_grants_that_have_run_out() {
    let (mut starts, mut renewals) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        starts += simulation.starts;
        renewals += simulation.renewals;
    }
    assert!(starts > 1_000 * SEEDS as u32 / 10, "{starts} starts in all");
    assert!(renewals > 1_000, "{renewals} renewals in all");
}
