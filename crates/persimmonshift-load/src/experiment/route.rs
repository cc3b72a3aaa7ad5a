//! Routing to endpoints with slots: measured selection compared with round robin and random.
//!
//! A discrete-event simulation in virtual time: arrivals, service times and faults are seeded, and
//! the router receives the outcomes of its own decisions.

use crate::Error;
use hdrhistogram::Histogram;
use persimmon_route::{
    selection::SelectionPolicy, Decision, EndpointKey, EndpointSpec, EndpointState, Options,
    Outcome, Request, RequestId, Router, Verdict,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

const RUNNERS: usize = 65;
const SLOTS: u32 = 8;
const DATA_CENTRES: usize = 4;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
const CASE_DURATION: Duration = Duration::from_secs(12);
/// Start of the fault, as an offset from the start of the case.
const FAULT_START_OFFSET: Duration = Duration::from_secs(3);
/// Time for which the instance list still contains lost runners.
const INSTANCE_LIST_DELAY: Duration = Duration::from_secs(5);
const REMOTE_HOP_LATENCY: Duration = Duration::from_micros(1_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    SlowRunner,
    DataCentreLost,
    Flapping,
}

struct Case {
    name: &'static str,
    load_percent: u32,
    fault: Fault,
}

const CASES: [Case; 6] = [
    Case {
        name: "even load, 70 %",
        load_percent: 70,
        fault: Fault::None,
    },
    Case {
        name: "one runner 5x slower, 25 %",
        load_percent: 25,
        fault: Fault::SlowRunner,
    },
    Case {
        name: "one runner 5x slower, 70 %",
        load_percent: 70,
        fault: Fault::SlowRunner,
    },
    Case {
        name: "a data centre's runners gone, 60 %",
        load_percent: 60,
        fault: Fault::DataCentreLost,
    },
    Case {
        name: "overload, 200 %",
        load_percent: 200,
        fault: Fault::None,
    },
    Case {
        name: "40 % of runners flapping, 40 %",
        load_percent: 40,
        fault: Fault::Flapping,
    },
];

pub(super) fn run(seed: u64) -> Result<String, Error> {
    let mut text = format!(
        "seed {seed}, {RUNNERS} runners of {SLOTS} slots, service {} ms give or take a fifth, \
         deadline {} ms, {} s a case\n",
        MEAN_SERVICE_TIME.as_millis(),
        REQUEST_TIMEOUT.as_millis(),
        CASE_DURATION.as_secs()
    );
    for case in &CASES {
        text += &format!("\n{}\n", case.name);
        text += "choice       p50 ms  p99 ms  p99.9 ms  in time %  of capacity %  not run %  unknown %  \
                 retries %  refused after ms  least usable\n";
        for policy in [
            SelectionPolicy::RoundRobin,
            SelectionPolicy::Random,
            SelectionPolicy::Measured,
        ] {
            let simulation = Simulation::new(case, policy, seed)?;
            text += &simulation.run().table_row(policy);
        }
    }
    Ok(text)
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish {
        id: u64,
        key: EndpointKey,
        /// Index into `OUTCOMES`.
        outcome: u8,
        sent_at: Instant,
    },
    Poll,
    /// The instance list no longer contains the lost runners.
    ListUpdate,
}

const OUTCOMES: [Outcome; 3] = [
    Outcome::Answered,
    Outcome::NotConnected,
    Outcome::Incomplete,
];

struct Tally {
    latency_us: Histogram<u64>,
    refused_us: Histogram<u64>,
    sent: u64,
    in_time: u64,
    not_run: u64,
    unknown: u64,
    retries: u64,
    capacity: f64,
    least_usable: usize,
}

struct Simulation<'a> {
    case: &'a Case,
    router: Router,
    rng: ChaCha8Rng,
    started_at: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    next_id: u64,
    in_flight: HashMap<u64, (Request, Instant)>,
    runner_by_key: HashMap<EndpointKey, usize>,
    tally: Tally,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, policy: SelectionPolicy, seed: u64) -> Result<Self, Error> {
        let options = Options {
            selection: policy,
            seed,
            ..Options::default()
        };
        let mut router = Router::new(options).map_err(|err| Error::new("chart", err))?;
        router.set_endpoints((0..RUNNERS).map(endpoint_spec).collect());
        let started_at = Instant::now();
        let histogram = || {
            const MINUTE_US: u64 = 60_000_000;
            let histogram = Histogram::new_with_bounds(1, MINUTE_US, 3);
            histogram.map_err(|err| Error::new("histogram", err))
        };
        let capacity = RUNNERS as f64 * f64::from(SLOTS) / MEAN_SERVICE_TIME.as_secs_f64();
        let mut simulation = Self {
            case,
            router,
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            events: BinaryHeap::new(),
            sequence: 0,
            next_id: 0,
            in_flight: HashMap::new(),
            runner_by_key: HashMap::new(),
            tally: Tally {
                latency_us: histogram()?,
                refused_us: histogram()?,
                sent: 0,
                in_time: 0,
                not_run: 0,
                unknown: 0,
                retries: 0,
                capacity: capacity * CASE_DURATION.as_secs_f64(),
                least_usable: RUNNERS,
            },
        };
        simulation.push(started_at, Event::Arrive);
        simulation.push(started_at, Event::Poll);
        if case.fault == Fault::DataCentreLost {
            simulation.push(
                started_at + FAULT_START_OFFSET + INSTANCE_LIST_DELAY,
                Event::ListUpdate,
            );
        }
        Ok(simulation)
    }

    fn run(mut self) -> Tally {
        let end = self.started_at + CASE_DURATION;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive if now < end => self.arrive(now),
                Event::Arrive => {}
                Event::Finish {
                    id,
                    key,
                    outcome,
                    sent_at,
                } => {
                    self.finish(id, key, OUTCOMES[usize::from(outcome)], sent_at, now);
                }
                Event::Poll => {
                    self.poll(now);
                    let usable = self.router.endpoints().filter(|endpoint| {
                        matches!(
                            endpoint.state,
                            EndpointState::Serving | EndpointState::Listed
                        )
                    });
                    self.tally.least_usable = self.tally.least_usable.min(usable.count());
                    if now < end + REQUEST_TIMEOUT {
                        self.push(now + Duration::from_millis(5), Event::Poll);
                    }
                }
                Event::ListUpdate => {
                    let kept = (0..RUNNERS).filter(|runner| !in_lost_data_centre(*runner));
                    self.router.set_endpoints(kept.map(endpoint_spec).collect());
                }
            }
        }
        self.tally
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn sample_exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// Returns the service time of a request, uniform within 20 % of the mean.
    fn service_time(&mut self) -> Duration {
        MEAN_SERVICE_TIME.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn arrive(&mut self, now: Instant) {
        let capacity_per_s = RUNNERS as f64 * f64::from(SLOTS) / MEAN_SERVICE_TIME.as_secs_f64();
        let rate = capacity_per_s * f64::from(self.case.load_percent) / 100.0;
        let interarrival = self.sample_exponential(Duration::from_secs_f64(1.0 / rate));
        self.push(now + interarrival, Event::Arrive);
        self.next_id += 1;
        let idempotent = self.rng.random_bool(0.5);
        let request = Request {
            id: RequestId(self.next_id),
            deadline: now + REQUEST_TIMEOUT,
            idempotent,
        };
        self.tally.sent += 1;
        self.in_flight.insert(self.next_id, (request, now));
        let decision = self.router.route(request, now);
        self.apply_decision(self.next_id, decision, now);
    }

    fn poll(&mut self, now: Instant) {
        for (id, decision) in self.router.poll(now) {
            self.apply_decision(id.0, decision, now);
        }
    }

    fn apply_decision(&mut self, id: u64, decision: Decision, now: Instant) {
        match decision {
            Decision::Wait => {}
            Decision::Send(key) => self.send(id, key, now),
            Decision::Refuse(_) => {
                if let Some((_, arrived_at)) = self.in_flight.remove(&id) {
                    self.tally.not_run += 1;
                    self.tally
                        .refused_us
                        .saturating_record((now - arrived_at).as_micros() as u64);
                }
            }
            Decision::FailUnknown(_) => {
                self.in_flight.remove(&id);
                self.tally.unknown += 1;
            }
        }
    }

    fn send(&mut self, id: u64, key: EndpointKey, now: Instant) {
        let runner = self.runner_index(key);
        let hop = if runner % DATA_CENTRES == 0 {
            Duration::ZERO
        } else {
            REMOTE_HOP_LATENCY
        };
        let elapsed = now - self.started_at;
        let mut duration = self.service_time() + hop;
        let mut outcome = 0;
        match self.case.fault {
            Fault::SlowRunner if runner == 7 => duration = self.service_time() * 5 + hop,
            Fault::DataCentreLost
                if in_lost_data_centre(runner) && elapsed >= FAULT_START_OFFSET =>
            {
                (duration, outcome) = (Duration::from_millis(1), 1);
            }
            Fault::Flapping if is_down(runner, elapsed) => {
                (duration, outcome) = (Duration::from_millis(5), 2);
            }
            _ => {}
        }
        self.push(
            now + duration,
            Event::Finish {
                id,
                key,
                outcome,
                sent_at: now,
            },
        );
    }

    fn runner_index(&mut self, key: EndpointKey) -> usize {
        if let Some(runner) = self.runner_by_key.get(&key) {
            return *runner;
        }
        let id = self.router.endpoint_id(key).unwrap_or_default();
        let runner = id.trim_start_matches('r').parse().unwrap_or(0);
        self.runner_by_key.insert(key, runner);
        runner
    }

    fn finish(
        &mut self,
        id: u64,
        key: EndpointKey,
        outcome: Outcome,
        sent_at: Instant,
        now: Instant,
    ) {
        let Some((request, arrived_at)) = self.in_flight.get(&id).copied() else {
            return;
        };
        let verdict = self
            .router
            .finish(&request, key, outcome, now - sent_at, now);
        if outcome == Outcome::Answered {
            self.in_flight.remove(&id);
            self.tally
                .latency_us
                .saturating_record((now - arrived_at).as_micros() as u64);
            self.tally.in_time += u64::from(now <= request.deadline);
        } else {
            match verdict {
                Verdict::Retry => {
                    self.tally.retries += 1;
                    let decision = self.router.route(request, now);
                    self.apply_decision(id, decision, now);
                }
                Verdict::NotRun => {
                    self.in_flight.remove(&id);
                    self.tally.not_run += 1;
                }
                Verdict::Unknown => {
                    self.in_flight.remove(&id);
                    self.tally.unknown += 1;
                }
            }
        }
        self.poll(now);
    }
}

fn endpoint_spec(runner: usize) -> EndpointSpec {
    EndpointSpec {
        id: format!("r{runner}"),
        address: format!("r{runner}"),
        same_data_centre: runner % DATA_CENTRES == 0,
        share: SLOTS,
        leaving: false,
    }
}

fn in_lost_data_centre(runner: usize) -> bool {
    runner % DATA_CENTRES == 3
}

/// Two of every five runners are down every other second, each with its own phase.
fn is_down(runner: usize, elapsed: Duration) -> bool {
    let phase = elapsed.as_millis() as usize + runner * 137;
    runner % 5 < 2 && phase % 2_000 < 1_000
}

impl Tally {
    fn table_row(&self, policy: SelectionPolicy) -> String {
        let ms = |percent: f64| self.latency_us.value_at_percentile(percent) as f64 / 1000.0;
        let of_sent = |count: u64| count as f64 / self.sent as f64 * 100.0;
        format!(
            "{:<11} {:>7.1} {:>7.1} {:>9.1} {:>10.2} {:>14.2} {:>10.2} {:>10.3} {:>10.2} {:>17.1} {:>13}\n",
            format!("{policy:?}"),
            ms(50.0),
            ms(99.0),
            ms(99.9),
            of_sent(self.in_time),
            self.in_time as f64 / self.capacity * 100.0,
            of_sent(self.not_run),
            of_sent(self.unknown),
            of_sent(self.retries),
            self.refused_us.value_at_percentile(50.0) as f64 / 1000.0,
            self.least_usable,
        )
    }
}
