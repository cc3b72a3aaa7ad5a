//! Engines of successive owners that reach the runners through relays, while owners and relays are
//! suspended, runs fail, runners drain and restart, and calls are lost or carried out late: once
//! that ends, every job goes on and every end is acknowledged.

mod worker;

use self::worker::Worker;
use crate::support::address;
use persimmon_relay::{
    assign::{Candidate, Member},
    Action, Batch, Event, Link, OrderCall, OrderKind, Outcome, PollCall, Refusal, Relay,
    RunnerIndex, SessionKey,
};
use persimmon_sched::{
    Answer, Commit, Engine, JobId, JobSpec, Options, Order, Policy, Queue, Record, Report,
    RunnerState, StepSpec, StoredRecord, TaskId,
};
use persimmon_types::Size;
use proptest::prelude::{any, proptest, ProptestConfig};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

const GROUP: u16 = 3;
const QUEUE: &str = "quotes";
const SERVICE: &str = "bookings";
const RELAYS: usize = 3;
const WORKERS: usize = 6;
const STEP_MS: u64 = 20;
const FAULTS_MS: u64 = 30_000;
/// Time without faults in which all jobs end and expire.
const RECOVERY_MS: u64 = 60_000;
/// How long ended jobs are kept. A task that was started again although it was done keeps the end
/// back for this time.
const RETENTION_MS: u64 = 20_000;
/// How long a job may have no run once there are no faults: a lease term, its margins, and the
/// longest backoff.
const IDLE_MAX_MS: u64 = 14_000;
const SUBMIT_INTERVAL_MS: u64 = 1_500;
/// Largest age of the proof of a session with which an owner renews leases.
const PROOF_VALIDITY_MS: u64 = 1_400;
/// Time after which a new owner knows that its predecessors renew no more leases.
const PREDECESSOR_MS: u64 = 3_000;
const NEWS_WAIT_MS: u64 = 150;
const NEWS_PAUSE_MS: u64 = 20;
const EXCHANGE_MARGIN_MS: u64 = 2_500;
const FAILED_RELAY_BACKOFF_MS: u64 = 2_000;
const POLL_PAUSE_MS: u64 = 30;
const POLL_RETRY_MS: u64 = 400;
const POLL_WAIT_MS: u64 = 800;
const CALL_TIMEOUT_MS: u64 = 700;
const ACKNOWLEDGEMENT_WAIT_MS: u64 = 300;
const ASSIGN_INTERVAL_MS: u64 = 200;
/// How long a runner is away when it restarts: longer than the pause between two polls.
const RESTART_MS: u64 = 3_000;
const LIST_DELAY_MAX_MS: u64 = 800;

/// A connection of an owner to a relay.
struct Connection {
    link: Link,
    session: u64,
    awaits_news: bool,
}

struct Owner {
    token: u64,
    engine: Engine,
    taken_at_ms: u64,
    has_no_predecessor: bool,
    connections: BTreeMap<usize, Connection>,
    relay_of: BTreeMap<String, usize>,
    failed_until_ms: BTreeMap<usize, u64>,
    next_session: u64,
    assigned_at_ms: u64,
    proven_at_ms: u64,
    suspended_until_ms: u64,
    is_replaced: bool,
    /// Records being written, and whether the store has applied them.
    writes: Vec<(Commit, bool)>,
}

#[derive(Clone)]
enum Reply {
    Acknowledged,
    News(persimmon_relay::News),
    Superseded,
    SessionLost,
}

/// What happens at a process or a runner at some time.
enum Happening {
    Batch {
        relay: usize,
        exchange: u64,
        batch: Box<Batch>,
        wants_news: bool,
    },
    /// The longest wait for news is over.
    NewsDue {
        relay: usize,
        exchange: u64,
    },
    Reply {
        exchange: u64,
        reply: Reply,
    },
    ExchangeTimeout {
        exchange: u64,
    },
    BeginPoll {
        relay: usize,
        session: SessionKey,
        runner: RunnerIndex,
    },
    /// A poll reaches its runner; unanswered, it has no effect on the relay.
    PollArrives {
        relay: usize,
        runner: RunnerIndex,
        poll: PollCall,
        /// The call was sent to this incarnation; a later one refuses it.
        incarnation_ms: u64,
        is_answered: bool,
    },
    PollAnswered {
        relay: usize,
        runner: RunnerIndex,
        poll: PollCall,
        report: Option<Report>,
    },
    CallArrives {
        relay: usize,
        call: OrderCall,
        incarnation_ms: u64,
        is_answered: bool,
    },
    CallAnswered {
        relay: usize,
        call: OrderCall,
        outcome: Outcome,
    },
}

struct Exchange {
    token: u64,
    relay: usize,
    session: u64,
    wants_news: bool,
}

struct Hold {
    session: SessionKey,
    since_ms: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    started_at: Instant,
    now_ms: u64,
    faults_enabled: bool,
    calm_since_ms: u64,
    workers: Vec<Worker>,
    relays: Vec<Relay>,
    relay_suspended_until_ms: Vec<u64>,
    owners: Vec<Owner>,
    takeover_at_ms: Option<u64>,
    queue: BTreeMap<(u64, u64), Happening>,
    next_happening: u64,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
    /// Answers to batches that wait for news, by relay and exchange.
    holds: BTreeMap<(usize, u64), Hold>,
    /// Changes of the instance list that owners have not seen: when made, when seen, worker, state.
    list_changes: Vec<(u64, u64, usize, Option<RunnerState>)>,
    specs: BTreeMap<JobId, JobSpec>,
    records: BTreeMap<JobId, (u64, Record)>,
    revision: u64,
    last_active_ms: BTreeMap<JobId, u64>,
}

fn options() -> Options {
    Options {
        retention: Duration::from_millis(RETENTION_MS),
        ..Options::default()
    }
}

fn policy() -> Policy {
    Policy {
        version: 1,
        queues: vec![Queue {
            name: QUEUE.to_owned(),
            service: SERVICE.to_owned(),
            attempts_max: 1_000,
            stretch: 2.0,
            target_ms: 1_000,
            ..Queue::default()
        }],
        ..Policy::default()
    }
}

fn job(id: u64, count: u32) -> JobSpec {
    let step = StepSpec {
        count,
        size: Size {
            cpu_millis: 1_000,
            memory_mib: 100,
            accelerators: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    };
    let second = StepSpec {
        count: 1,
        after: vec![0],
        checkpointing: true,
        ..step.clone()
    };
    JobSpec {
        id: JobId::new(id),
        queue: QUEUE.to_owned(),
        payload: "work".to_owned(),
        submitted_at_ms: 0,
        steps: vec![step, second],
        schedule: None,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at: Instant::now(),
            now_ms: 0,
            faults_enabled: true,
            calm_since_ms: 0,
            workers: (0..WORKERS).map(|at| Worker::new(at, 1)).collect(),
            relays: (0..RELAYS).map(|_| Relay::default()).collect(),
            relay_suspended_until_ms: vec![0; RELAYS],
            owners: Vec::new(),
            takeover_at_ms: None,
            queue: BTreeMap::new(),
            next_happening: 0,
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            holds: BTreeMap::new(),
            list_changes: Vec::new(),
            specs: BTreeMap::new(),
            records: BTreeMap::new(),
            revision: 0,
            last_active_ms: BTreeMap::new(),
        };
        simulation.take_over();
        simulation
    }

    fn at(&self, ms: u64) -> Instant {
        self.started_at + Duration::from_millis(ms)
    }

    fn now(&self) -> Instant {
        self.at(self.now_ms)
    }

    /// Draws a fault, in thousandths.
    fn fault(&mut self, permille: u32) -> bool {
        self.faults_enabled && self.rng.random_range(0..1_000) < permille
    }

    fn delay(&mut self) -> u64 {
        let longest = if self.fault(20) { 2_000 } else { 20 };
        self.rng.random_range(1..longest)
    }

    fn schedule(&mut self, after_ms: u64, happening: Happening) {
        self.next_happening += 1;
        let at = (self.now_ms + after_ms, self.next_happening);
        self.queue.insert(at, happening);
    }

    fn take_over(&mut self) {
        self.revision += 1;
        let now = self.now();
        let mut engine = Engine::new(options(), now);
        engine.configure(policy());
        for (id, spec) in &self.specs {
            let stored = self.records.get(id).map(|(revision, record)| StoredRecord {
                revision: *revision,
                record: record.clone(),
            });
            engine.add_job(spec.clone(), stored, 0, now);
        }
        for worker in self.workers.iter().filter(|it| !it.has_left) {
            engine.update_runner(worker.info(), now);
        }
        self.owners.push(Owner {
            token: self.revision,
            engine,
            taken_at_ms: self.now_ms,
            has_no_predecessor: false,
            connections: BTreeMap::new(),
            relay_of: BTreeMap::new(),
            failed_until_ms: BTreeMap::new(),
            next_session: 1,
            assigned_at_ms: 0,
            proven_at_ms: self.now_ms,
            suspended_until_ms: 0,
            is_replaced: false,
            writes: Vec::new(),
        });
        self.takeover_at_ms = None;
    }

    fn current(&mut self) -> &mut Owner {
        self.owners.last_mut().expect("an owner")
    }

    fn submit(&mut self, spec: JobSpec) {
        self.specs.insert(spec.id, spec.clone());
        let now = self.now();
        self.current().engine.add_job(spec, None, 0, now);
    }

    fn end_faults(&mut self) {
        self.faults_enabled = false;
        self.calm_since_ms = self.now_ms;
        self.relay_suspended_until_ms.fill(0);
        for owner in &mut self.owners {
            owner.suspended_until_ms = 0;
        }
        for worker in &mut self.workers {
            // One that restarts right now is away for its time.
            let back_ms = worker.incarnation_ms + RESTART_MS;
            worker.unreachable_until_ms = worker.unreachable_until_ms.min(back_ms);
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_faults();
        if self.takeover_at_ms.is_some_and(|at| self.now_ms >= at) {
            self.take_over();
            self.calm_since_ms = self.calm_since_ms.max(self.now_ms);
        }
        self.deliver_list_changes();
        for at in 0..self.workers.len() {
            self.workers[at].advance(self.now_ms);
        }
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > self.now_ms {
                break;
            }
            let happening = first.remove();
            self.handle(happening);
        }
        for at in 0..self.owners.len() {
            self.run_owner(at);
        }
        self.answer_holds();
        self.owners.retain(|it| !it.is_replaced);
        self.check_progress();
    }

    fn inject_faults(&mut self) {
        if self.fault(2) {
            let suspended_ms = self.rng.random_range(100..8_000);
            let until_ms = self.now_ms + suspended_ms;
            self.current().suspended_until_ms = until_ms;
            if suspended_ms > 1_500 && self.takeover_at_ms.is_none() {
                self.takeover_at_ms = Some(self.now_ms + self.rng.random_range(1_500..2_500));
            }
        }
        if self.fault(3) {
            let relay = self.rng.random_range(0..RELAYS);
            let suspended_ms = self.rng.random_range(100..6_000);
            self.relay_suspended_until_ms[relay] = self.now_ms + suspended_ms;
        }
        if self.fault(2) {
            let relay = self.rng.random_range(0..RELAYS);
            self.relays[relay] = Relay::default();
            self.holds.retain(|(at, _), _| *at != relay);
        }
        if self.fault(8) {
            let at = self.rng.random_range(0..self.workers.len());
            if !self.workers[at].has_left {
                self.disturb_worker(at);
            }
        }
    }

    fn disturb_worker(&mut self, at: usize) {
        match self.rng.random_range(0..8) {
            0 if self.workers[at].state == RunnerState::Ready => {
                self.workers[at].state = RunnerState::Draining;
                let leaves_at_ms = self.now_ms + self.rng.random_range(2_000..6_000);
                self.workers[at].leaves_at_ms = leaves_at_ms;
                self.note_listing(at, Some(RunnerState::Draining));
                let added = self.workers.len();
                self.workers.push(Worker::new(added, self.now_ms));
                self.note_listing(added, Some(RunnerState::Ready));
            }
            1 | 2 => {
                let incarnation_ms = self.now_ms;
                self.workers[at].restart(incarnation_ms);
                self.workers[at].unreachable_until_ms = self.now_ms + RESTART_MS;
            }
            _ => {
                let unreachable_ms = self.rng.random_range(100..9_000);
                self.workers[at].unreachable_until_ms = self.now_ms + unreachable_ms;
            }
        }
    }

    fn note_listing(&mut self, worker: usize, state: Option<RunnerState>) {
        let seen_ms = self.now_ms + self.rng.random_range(0..LIST_DELAY_MAX_MS);
        self.list_changes
            .push((self.now_ms, seen_ms, worker, state));
    }

    fn deliver_list_changes(&mut self) {
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let leaves = worker.state == RunnerState::Draining && !worker.has_left;
            if leaves && self.now_ms >= worker.leaves_at_ms {
                self.workers[at].leave();
                self.note_listing(at, None);
            }
        }
        let (now, now_ms) = (self.now(), self.now_ms);
        let changes = std::mem::take(&mut self.list_changes);
        for (made_ms, seen_ms, worker, state) in changes {
            if seen_ms > now_ms {
                self.list_changes.push((made_ms, seen_ms, worker, state));
                continue;
            }
            for owner in &mut self.owners {
                let info = self.workers[worker].info();
                match state {
                    Some(state) => owner
                        .engine
                        .update_runner(persimmon_sched::RunnerInfo { state, ..info }, now),
                    None => owner.engine.unlist_runner(&info.id, now),
                }
            }
        }
    }

    /// Each job of which a task can run has one running within the bound.
    fn check_progress(&mut self) {
        let now_ms = self.now_ms;
        for (id, spec) in &self.specs {
            let tasks = self.workers.iter().flat_map(|it| it.running.keys());
            let runs = tasks.filter(|task| task.job == *id).count();
            let record = self.records.get(id).map(|(_, record)| record);
            let has_ended = record.is_some_and(|it| it.phase.is_final());
            let last_active_ms = self.last_active_ms.entry(spec.id).or_insert(now_ms);
            if runs > 0 || has_ended || self.faults_enabled {
                *last_active_ms = now_ms;
            }
            let since_ms = self.calm_since_ms.max(*last_active_ms);
            assert!(
                now_ms - since_ms <= IDLE_MAX_MS,
                "{id} has had no run since {since_ms} ms at {now_ms} ms: {:?}",
                self.owners.last_mut().map(|it| it.engine.stalled(
                    Duration::ZERO,
                    self.started_at + Duration::from_millis(now_ms)
                ))
            );
        }
    }

    fn run_owner(&mut self, at: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let is_current = at + 1 == self.owners.len();
        if self.owners[at].is_replaced || now_ms < self.owners[at].suspended_until_ms {
            return;
        }
        let unseen = self.list_changes.iter().map(|it| it.0).min();
        let listed_as_of = self.at(unseen.unwrap_or(now_ms));
        let learns_of_successor = !is_current && self.rng.random_range(0..20) == 0;
        let owner = &mut self.owners[at];
        if is_current && now_ms >= owner.proven_at_ms + 300 {
            owner.proven_at_ms = now_ms;
        }
        if learns_of_successor || owner.engine.is_fenced() {
            owner.is_replaced = !is_current;
        }
        if now_ms >= owner.taken_at_ms + PREDECESSOR_MS && !owner.has_no_predecessor {
            owner.has_no_predecessor = true;
            owner.engine.predecessor_ended(now);
        }
        owner
            .engine
            .set_extra_report_age(Duration::from_millis(NEWS_WAIT_MS));
        owner.engine.confirm_listing(listed_as_of);
        owner.engine.tick(0, now);
        owner.engine.remove_expired_jobs(now);
        self.write_records(at);
        self.assign_runners(at);
        for order in self.owners[at].engine.take_orders() {
            self.send_order(at, order);
        }
        let relays: Vec<_> = self.owners[at].connections.keys().copied().collect();
        for relay in relays {
            self.exchange(at, relay);
        }
    }

    fn write_records(&mut self, at: usize) {
        let is_current = at + 1 == self.owners.len();
        let commits = self.owners[at].engine.take_commits(15);
        let mut writes = std::mem::take(&mut self.owners[at].writes);
        writes.extend(commits.into_iter().map(|commit| (commit, false)));
        for (commit, is_applied) in writes {
            if !is_applied {
                if !is_current || self.fault(200) {
                    self.owners[at].writes.push((commit, false));
                    continue;
                }
                let known = self.records.get(&commit.job).map_or(0, |it| it.0);
                assert_eq!(known, commit.revision, "one owner writes a record");
                self.revision += 1;
                self.records
                    .insert(commit.job, (self.revision, commit.record.clone()));
            }
            if self.fault(200) {
                self.owners[at].writes.push((commit, true));
                continue;
            }
            let revision = self.records[&commit.job].0;
            let engine = &mut self.owners[at].engine;
            engine.handle_commit(commit.job, commit.version, revision);
        }
    }

    fn assign_runners(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let owner = &mut self.owners[at];
        if now_ms < owner.assigned_at_ms + ASSIGN_INTERVAL_MS {
            return;
        }
        owner.assigned_at_ms = now_ms;
        owner
            .failed_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let members: Vec<_> = (0..RELAYS)
            .filter(|relay| !owner.failed_until_ms.contains_key(relay))
            .map(|relay| Member {
                key: relay.to_string(),
                capacity_millis: 1_000,
                data_centre: String::new(),
            })
            .collect();
        let ids = self.workers.iter().map(|it| it.id.clone());
        let ids: Vec<_> = ids.filter(|id| owner.engine.needs_polling(id)).collect();
        let candidates = ids.iter().map(|id| Candidate {
            id,
            data_centre: "",
        });
        let candidates: Vec<_> = candidates.collect();
        let current = owner.relay_of.iter();
        let current = current.map(|(id, relay)| (id.clone(), relay.to_string()));
        let assigned = persimmon_relay::assign(&candidates, &members, &current.collect());
        let assigned: BTreeMap<String, usize> = assigned
            .into_iter()
            .map(|(id, relay)| (id.to_owned(), relay.parse().expect("a relay")))
            .collect();
        let mut events = Vec::new();
        for (id, relay) in std::mem::take(&mut owner.relay_of) {
            if assigned.get(&id) != Some(&relay) {
                if let Some(connection) = owner.connections.get_mut(&relay) {
                    events.extend(connection.link.remove_runner(&id));
                }
            }
        }
        for (id, &relay) in &assigned {
            let connection = owner.connections.entry(relay).or_insert_with(|| {
                let session = owner.next_session;
                owner.next_session += 1;
                Connection {
                    link: Link::new(GROUP, owner.token, session),
                    session,
                    awaits_news: false,
                }
            });
            connection.link.add_runner(address(id));
        }
        owner.relay_of = assigned;
        self.handle_events(at, events);
    }

    fn send_order(&mut self, at: usize, order: Order) {
        let owner = &mut self.owners[at];
        let relay = owner.relay_of.get(order.runner());
        let connection = relay.and_then(|relay| owner.connections.get_mut(relay));
        let event = match (connection, order) {
            (Some(connection), order) => connection.link.push_order(order),
            (None, Order::Start { task, run, .. }) => {
                Some(Event::Started(task, run, Answer::NotSent))
            }
            (None, Order::Stop { .. } | Order::Throttle { .. }) => None,
        };
        self.handle_events(at, event.into_iter().collect());
    }

    /// Sends a batch that waits for news if none does, and one with what is urgent.
    fn exchange(&mut self, at: usize, relay: usize) {
        let Some(connection) = self.owners[at].connections.get_mut(&relay) else {
            return;
        };
        let asks_for_news = !std::mem::replace(&mut connection.awaits_news, true);
        if asks_for_news {
            let batch = self.take_batch(at, relay);
            self.send_batch(at, relay, batch, true);
        }
        let owner = &mut self.owners[at];
        let engine = &owner.engine;
        let is_urgent = owner
            .connections
            .get(&relay)
            .is_some_and(|it| it.link.is_urgent(|runner| engine.acknowledged(runner)));
        if is_urgent {
            let mut batch = self.take_batch(at, relay);
            let events = self.add_orders(at, relay, &mut batch);
            if !batch.is_empty() {
                self.send_batch(at, relay, batch, false);
            }
            self.handle_events(at, events);
        }
    }

    fn may_renew(&self, at: usize) -> bool {
        self.now_ms < self.owners[at].proven_at_ms + PROOF_VALIDITY_MS
    }

    fn take_batch(&mut self, at: usize, relay: usize) -> Batch {
        let (now, now_us) = (self.now(), self.now_ms * 1_000);
        let may_renew = self.may_renew(at);
        let owner = &mut self.owners[at];
        let connection = owner.connections.get_mut(&relay).expect("a connection");
        let engine = std::cell::RefCell::new(&mut owner.engine);
        connection.link.take_batch(
            now,
            now_us,
            Duration::from_millis(POLL_WAIT_MS),
            |runner| engine.borrow().acknowledged(runner),
            |runner| {
                let mut engine = engine.borrow_mut();
                may_renew
                    .then(|| engine.lease_deadline_ms(runner, now))
                    .flatten()
            },
        )
    }

    fn add_orders(&mut self, at: usize, relay: usize, batch: &mut Batch) -> Vec<Event> {
        let (now, may_renew) = (self.now(), self.may_renew(at));
        let owner = &mut self.owners[at];
        let connection = owner.connections.get_mut(&relay).expect("a connection");
        let engine = &mut owner.engine;
        let (_, events) = connection
            .link
            .add_orders(batch, 4_096, |runner, task, run| {
                if may_renew {
                    engine.start_deadline_ms(runner, task, run, now)
                } else {
                    Err(Answer::Withheld)
                }
            });
        events
    }

    fn send_batch(&mut self, at: usize, relay: usize, batch: Batch, wants_news: bool) {
        self.next_exchange += 1;
        let exchange = self.next_exchange;
        self.exchanges.insert(
            exchange,
            Exchange {
                token: self.owners[at].token,
                relay,
                session: batch.session,
                wants_news,
            },
        );
        let wait_ms = if wants_news { NEWS_WAIT_MS } else { 0 };
        self.schedule(
            wait_ms + EXCHANGE_MARGIN_MS,
            Happening::ExchangeTimeout { exchange },
        );
        if self.fault(3) {
            return;
        }
        let delay_ms = self.delay();
        self.schedule(
            delay_ms,
            Happening::Batch {
                relay,
                exchange,
                batch: Box::new(batch),
                wants_news,
            },
        );
    }

    fn reply(&mut self, exchange: u64, reply: Reply) {
        if self.fault(3) {
            return;
        }
        let delay_ms = self.delay();
        self.schedule(delay_ms, Happening::Reply { exchange, reply });
    }

    /// When a suspended process goes on.
    fn resumes_at_ms(&self, happening: &Happening) -> u64 {
        match happening {
            Happening::Batch { relay, .. }
            | Happening::NewsDue { relay, .. }
            | Happening::BeginPoll { relay, .. }
            | Happening::PollAnswered { relay, .. }
            | Happening::CallAnswered { relay, .. } => self.relay_suspended_until_ms[*relay],
            Happening::Reply { exchange, .. } | Happening::ExchangeTimeout { exchange } => {
                let token = self.exchanges.get(exchange).map(|it| it.token);
                let mut owners = self.owners.iter();
                let owner = owners.find(|it| Some(it.token) == token);
                owner.map_or(0, |it| it.suspended_until_ms)
            }
            Happening::PollArrives { .. } | Happening::CallArrives { .. } => 0,
        }
    }

    fn handle(&mut self, happening: Happening) {
        let resumes_at_ms = self.resumes_at_ms(&happening);
        if self.now_ms < resumes_at_ms {
            let wait_ms = resumes_at_ms - self.now_ms;
            return self.schedule(wait_ms, happening);
        }
        match happening {
            Happening::Batch {
                relay,
                exchange,
                batch,
                wants_news,
            } => self.handle_batch(relay, exchange, *batch, wants_news),
            Happening::NewsDue { relay, exchange } => self.send_news(relay, exchange),
            Happening::Reply { exchange, reply } => self.handle_reply(exchange, reply),
            Happening::ExchangeTimeout { exchange } => {
                if let Some(it) = self.exchanges.remove(&exchange) {
                    self.fail_relay(&it);
                }
            }
            Happening::BeginPoll {
                relay,
                session,
                runner,
            } => self.begin_poll(relay, session, runner),
            Happening::PollArrives {
                relay,
                runner,
                poll,
                incarnation_ms,
                is_answered,
            } => {
                let at = self.worker(&poll.runner.id);
                let report = if self.workers[at].incarnation_ms == incarnation_ms {
                    self.workers[at].poll(&poll, self.now_ms)
                } else {
                    None
                };
                if is_answered {
                    self.answer_poll(relay, runner, poll, report);
                }
            }
            Happening::PollAnswered {
                relay,
                runner,
                poll,
                report,
            } => self.finish_poll(relay, runner, &poll, report),
            Happening::CallArrives {
                relay,
                call,
                incarnation_ms,
                is_answered,
            } => self.call_worker(relay, call, incarnation_ms, is_answered),
            Happening::CallAnswered {
                relay,
                call,
                outcome,
            } => self.relays[relay].finish_order(&call, outcome),
        }
    }

    fn handle_batch(&mut self, relay: usize, exchange: u64, batch: Batch, wants_news: bool) {
        let (session, now) = (batch.session_key(), self.now());
        let actions = match self.relays[relay].handle_batch(batch, now) {
            Ok(actions) => actions,
            Err(Refusal::Superseded(_)) => return self.reply(exchange, Reply::Superseded),
            Err(Refusal::SessionLost) => return self.reply(exchange, Reply::SessionLost),
        };
        for action in actions {
            match action {
                Action::Poll(runner) => self.begin_poll(relay, session, runner),
                Action::Call(call) => self.make_call(relay, call),
            }
        }
        if wants_news {
            let hold = Hold {
                session,
                since_ms: self.now_ms,
            };
            self.holds.insert((relay, exchange), hold);
            self.schedule(NEWS_WAIT_MS, Happening::NewsDue { relay, exchange });
        } else {
            self.reply(exchange, Reply::Acknowledged);
        }
    }

    /// Answers the batches for which there is urgent news.
    fn answer_holds(&mut self) {
        let due = self.holds.iter().filter(|((relay, _), hold)| {
            self.now_ms >= hold.since_ms + NEWS_PAUSE_MS
                && self.now_ms >= self.relay_suspended_until_ms[*relay]
                && self.relays[*relay].has_urgent_news(hold.session)
        });
        let due: Vec<_> = due.map(|(&key, _)| key).collect();
        for (relay, exchange) in due {
            self.send_news(relay, exchange);
        }
    }

    fn send_news(&mut self, relay: usize, exchange: u64) {
        let Some(hold) = self.holds.remove(&(relay, exchange)) else {
            return;
        };
        let now = self.now();
        let reply = match self.relays[relay].take_news(hold.session, now) {
            Some(news) => Reply::News(news),
            None => Reply::SessionLost,
        };
        self.reply(exchange, reply);
    }

    fn handle_reply(&mut self, exchange: u64, reply: Reply) {
        let Some(it) = self.exchanges.remove(&exchange) else {
            return;
        };
        let Some(at) = self.owners.iter().position(|owner| owner.token == it.token) else {
            return;
        };
        let connections = &mut self.owners[at].connections;
        let connection = connections.get_mut(&it.relay);
        let connection = connection.filter(|open| open.session == it.session);
        match reply {
            Reply::Acknowledged => {}
            Reply::Superseded => self.owners[at].is_replaced = true,
            Reply::SessionLost => self.fail_relay(&it),
            Reply::News(news) => {
                let Some(connection) = connection else {
                    return;
                };
                connection.awaits_news &= !it.wants_news;
                let events = connection.link.handle_news(news);
                self.handle_events(at, events);
                let connections = &mut self.owners[at].connections;
                if connections[&it.relay].link.is_empty()
                    && !connections[&it.relay].link.is_urgent(|_| 0)
                {
                    connections.remove(&it.relay);
                }
            }
        }
    }

    fn fail_relay(&mut self, exchange: &Exchange) {
        let mut owners = self.owners.iter();
        let Some(at) = owners.position(|owner| owner.token == exchange.token) else {
            return;
        };
        let now_ms = self.now_ms;
        let owner = &mut self.owners[at];
        let open = owner.connections.get(&exchange.relay);
        if open.is_none_or(|open| open.session != exchange.session) {
            return;
        }
        let mut connection = owner
            .connections
            .remove(&exchange.relay)
            .expect("a connection");
        let until_ms = now_ms + FAILED_RELAY_BACKOFF_MS;
        owner.failed_until_ms.insert(exchange.relay, until_ms);
        owner.relay_of.retain(|_, relay| *relay != exchange.relay);
        owner.assigned_at_ms = 0;
        let events = connection.link.close();
        self.handle_events(at, events);
    }

    fn handle_events(&mut self, at: usize, events: Vec<Event>) {
        let (now, started_at) = (self.now(), self.started_at);
        let engine = &mut self.owners[at].engine;
        for event in events {
            match event {
                Event::Report {
                    runner,
                    report,
                    requested_us,
                } => {
                    let requested_at = started_at + Duration::from_micros(requested_us);
                    engine.handle_report(&runner, &report, requested_at, now);
                }
                Event::Missed { runner } => engine.handle_missed_report(&runner, now),
                Event::Started(task, run, answer) => {
                    engine.handle_start_answer(task, run, answer, now);
                }
                Event::Stopped(task, run) => engine.handle_stop_answer(task, run, now),
                Event::Throttled(task, run, percent) => {
                    engine.handle_throttle_answer(task, run, percent, now);
                }
            }
        }
    }

    fn begin_poll(&mut self, relay: usize, session: SessionKey, runner: RunnerIndex) {
        let now = self.now();
        let Some(poll) = self.relays[relay].begin_poll(session, runner, now) else {
            return;
        };
        // A runner that is away when it is called does not carry the call out later.
        let is_away = self.workers[self.worker(&poll.runner.id)].is_unreachable(self.now_ms);
        let is_lost = self.fault(10) || is_away;
        let is_late = self.fault(10) && !is_away;
        if is_lost || is_late {
            let unanswered = poll.clone();
            self.schedule(
                CALL_TIMEOUT_MS,
                Happening::PollAnswered {
                    relay,
                    runner,
                    poll: unanswered,
                    report: None,
                },
            );
        }
        if is_lost {
            return;
        }
        let delay_ms = if is_late {
            self.rng.random_range(CALL_TIMEOUT_MS..6_000)
        } else {
            self.rng.random_range(1..20)
        };
        self.schedule(
            delay_ms,
            Happening::PollArrives {
                relay,
                runner,
                incarnation_ms: self.incarnation_ms(&poll.runner.id),
                poll,
                is_answered: !is_late,
            },
        );
    }

    fn worker(&self, id: &str) -> usize {
        let mut workers = self.workers.iter();
        workers.position(|it| it.id == id).expect("a worker")
    }

    fn answer_poll(
        &mut self,
        relay: usize,
        runner: RunnerIndex,
        poll: PollCall,
        report: Option<Report>,
    ) {
        // A runner answers when a run ends, or after the time it was asked to wait.
        let delay_ms = match &report {
            None => CALL_TIMEOUT_MS,
            Some(report) if report.ended.is_empty() && poll.has_report => {
                self.rng.random_range(1..POLL_WAIT_MS)
            }
            Some(_) => self.rng.random_range(1..20),
        };
        self.schedule(
            delay_ms,
            Happening::PollAnswered {
                relay,
                runner,
                poll,
                report,
            },
        );
    }

    fn finish_poll(
        &mut self,
        relay: usize,
        runner: RunnerIndex,
        poll: &PollCall,
        report: Option<Report>,
    ) {
        let is_answered = report.is_some();
        let last_end = self.relays[relay].finish_poll(runner, poll, report);
        let session = poll.session;
        let wait_ms = if !is_answered {
            POLL_RETRY_MS
        } else if self.relays[relay].is_acknowledged(session, runner, last_end) {
            POLL_PAUSE_MS
        } else {
            ACKNOWLEDGEMENT_WAIT_MS
        };
        self.schedule(
            wait_ms,
            Happening::BeginPoll {
                relay,
                session,
                runner,
            },
        );
    }

    fn make_call(&mut self, relay: usize, call: OrderCall) {
        if let OrderKind::Start { expires_at, .. } = &call.kind {
            if self.now() >= *expires_at {
                let outcome = Outcome::Start(Answer::Withheld);
                self.relays[relay].finish_order(&call, outcome);
                return;
            }
        }
        let (is_lost, is_late) = (self.fault(20), self.fault(30));
        if is_lost || is_late {
            let outcome = unanswered(&call);
            self.schedule(
                CALL_TIMEOUT_MS,
                Happening::CallAnswered {
                    relay,
                    call: call.clone(),
                    outcome,
                },
            );
        }
        if is_lost {
            return;
        }
        let delay_ms = if is_late {
            self.rng.random_range(CALL_TIMEOUT_MS..8_000)
        } else {
            self.rng.random_range(1..20)
        };
        self.schedule(
            delay_ms,
            Happening::CallArrives {
                relay,
                incarnation_ms: self.incarnation_ms(&call.runner.id),
                call,
                is_answered: !is_late,
            },
        );
    }

    fn incarnation_ms(&self, id: &str) -> u64 {
        self.workers[self.worker(id)].incarnation_ms
    }

    fn call_worker(
        &mut self,
        relay: usize,
        call: OrderCall,
        incarnation_ms: u64,
        is_answered: bool,
    ) {
        let at = self.worker(&call.runner.id);
        let until_ms = self.now_ms + self.rng.random_range(20..2_000);
        let fails = self.fault(400);
        let now_ms = self.now_ms;
        let is_meant = self.workers[at].incarnation_ms == incarnation_ms;
        let outcome = if is_meant {
            self.workers[at].call(&call, now_ms, until_ms, fails)
        } else {
            Some(refused(&call))
        };
        let copies = self.workers.iter();
        let copies = copies.filter(|it| it.running.contains_key(&call.task));
        assert!(
            copies.count() <= 1,
            "{} runs twice at {now_ms} ms",
            call.task
        );
        if !is_answered {
            return;
        }
        let (delay_ms, outcome) = match outcome {
            Some(outcome) if !self.fault(20) => (self.rng.random_range(1..20), outcome),
            _ => (CALL_TIMEOUT_MS, unanswered(&call)),
        };
        self.schedule(
            delay_ms,
            Happening::CallAnswered {
                relay,
                call,
                outcome,
            },
        );
    }
}

fn unanswered(call: &OrderCall) -> Outcome {
    match call.kind {
        OrderKind::Start { .. } => Outcome::Start(Answer::Unknown),
        OrderKind::Stop | OrderKind::Throttle(_) => Outcome::Failed,
    }
}

fn refused(call: &OrderCall) -> Outcome {
    match call.kind {
        OrderKind::Start { .. } => Outcome::Start(Answer::Refused),
        OrderKind::Stop | OrderKind::Throttle(_) => Outcome::Failed,
    }
}

fn run_simulation(seed: u64) {
    let mut simulation = Simulation::new(seed);
    let mut next = 0;
    while simulation.now_ms < FAULTS_MS {
        if simulation.now_ms >= next * SUBMIT_INTERVAL_MS {
            next += 1;
            let count = simulation.rng.random_range(1..4);
            simulation.submit(job(next, count));
        }
        simulation.step();
    }
    simulation.end_faults();
    while simulation.now_ms < FAULTS_MS + RECOVERY_MS {
        simulation.step();
    }
    let records = &simulation.records;
    let is_open = |id: &&JobId| !records.get(id).is_some_and(|it| it.1.phase.is_final());
    let open: Vec<_> = simulation.specs.keys().filter(is_open).collect();
    assert!(open.is_empty(), "{open:?} have not ended");
    let present = simulation.workers.iter().filter(|it| !it.has_left);
    let unacknowledged: BTreeMap<_, Vec<TaskId>> = present
        .map(|it| (&it.id, it.ended.iter().map(|end| end.task).collect()))
        .filter(|(_, tasks): &(_, Vec<_>)| !tasks.is_empty())
        .collect();
    assert_eq!(unacknowledged, BTreeMap::new(), "ends are kept for ever");
    let dropped: BTreeSet<_> = simulation
        .workers
        .iter()
        .map(|it| it.dropped_unseen)
        .collect();
    assert_eq!(dropped, BTreeSet::from([0]), "ends that nobody has seen");
}

proptest! {
    #![proptest_config(ProptestConfig {
        // A smaller seed is no simpler case.
        max_shrink_iters: 0,
        failure_persistence: None,
        ..ProptestConfig::with_cases(24)
    })]

    #[test]
    fn job_waits_for_ever_after_owners_and_relays_were_suspended(seed in any::<u64>()) {
        run_simulation(seed);
    }
}
