//! The owner's relays: which members call which runners, and the exchanges with them.

use super::{activity::Part, OwnedGroup};
use crate::{
    keys,
    peers::{PeerReply, PeerRequest},
    platform::Platform,
    relay::{self, RelayReply, POLL_WAIT},
};
use persimmon_relay::{
    assign::{Candidate, Member},
    Batch, Event, Link, RunnerAddress, START_AGE_MAX,
};
use persimmon_sched::{Answer, Order, TaskId};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::{Mutex, Notify};

/// Longest time for which a relay may hold back news. A start is sent only if its order was made
/// within 0.7 s of the relay's last news.
const NEWS_WAIT_MAX: Duration = Duration::from_millis(150);
/// Time allowed for an exchange beyond that. A relay whose process has ended is known earlier from
/// the members; a full link delays exchanges by seconds, and leases last longer than that.
const EXCHANGE_MARGIN: Duration = Duration::from_millis(2_500);
/// If no relay has answered for this long, this process calls the runners itself.
const RELAY_SILENCE_MAX: Duration = Duration::from_secs(4);
/// Shortest interval between batches that do not wait for news.
const BATCH_INTERVAL: Duration = Duration::from_millis(8);
/// Share of the link of this process that batches with orders may use. The rest is for records,
/// watches, renewals and callers.
const ORDERS_LINK_SHARE: f64 = 0.5;
/// Largest batch of orders, in bytes.
const ORDER_BYTES_MAX: usize = 4_096;
/// How long a member that did not answer carries no runners.
const FAILED_RELAY_BACKOFF: Duration = Duration::from_secs(2);
/// Exchanges in a row that take too long for starts, after which another member carries the runners.
const SLOW_EXCHANGES_MAX: u32 = 3;
/// How long a member that answered slowly carries no runners.
const SLOW_RELAY_BACKOFF: Duration = Duration::from_secs(10);
/// Interval at which the runners are assigned again without a change that is known of.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest delay of the report of a runner without runs in a large group.
const IDLE_POLL_WAIT_MAX: Duration = Duration::from_millis(1_600);
/// Polls of runners without runs that are made per second, as long as [`IDLE_POLL_WAIT_MAX`] allows
/// it.
const IDLE_POLLS_PER_S_MAX: u32 = 1_250;

/// The relays of a group.
#[derive(Default)]
pub(super) struct Relays {
    connections: RefCell<BTreeMap<String, Rc<Connection>>>,
    /// Key of the member that calls a runner.
    relay_of: RefCell<HashMap<String, String>>,
    /// Until when members that did not answer carry no runners.
    failed_until: RefCell<HashMap<String, Instant>>,
    last_session: Cell<u64>,
    /// Held by the batch that is being sent, so that batches do not fill the link together.
    orders_turn: Mutex<()>,
    assigned_at: Cell<Option<Instant>>,
    /// When a relay other than this process answered last.
    answered_at: Cell<Option<Instant>>,
}

/// The exchanges with one relay.
struct Connection {
    key: String,
    /// Address of the member; `None` for this process.
    address: Option<SocketAddr>,
    link: RefCell<Link>,
    has_orders: Notify,
    is_closed: Cell<bool>,
    /// Exchanges in a row that took too long for starts.
    slow_exchanges: Cell<u32>,
}

/// An exchange with a relay failed.
struct Failed(String);

impl Relays {
    fn next_session(&self) -> u64 {
        self.last_session.set(self.last_session.get() + 1);
        self.last_session.get()
    }

    /// Number of runners that are called.
    pub(super) fn runner_count(&self) -> usize {
        self.relay_of.borrow().len()
    }

    /// Number of members that call runners.
    pub(super) fn relay_count(&self) -> usize {
        self.connections.borrow().len()
    }

    fn connection_of(&self, runner: &str) -> Option<Rc<Connection>> {
        let relay_of = self.relay_of.borrow();
        let connections = self.connections.borrow();
        connections.get(relay_of.get(runner)?).map(Rc::clone)
    }
}

impl<P: Platform> OwnedGroup<P> {
    /// Assigns the runners to the members if that is due.
    pub(super) fn assign_runners(self: &Rc<Self>) {
        let now = self.shared.now();
        let assigned_at = self.relays.assigned_at.get();
        if assigned_at.is_some_and(|at| now < at + ASSIGN_INTERVAL) {
            return;
        }
        self.relays.assigned_at.set(Some(now));
        let addresses = self.runners_to_call();
        let runners: Vec<_> = addresses
            .iter()
            .map(|(address, data_centre)| Candidate {
                id: &address.id,
                data_centre,
            })
            .collect();
        let members = self.relay_candidates(now);
        let assigned = {
            let relay_of = self.relays.relay_of.borrow();
            persimmon_relay::assign(&runners, &members, &relay_of)
        };
        let mut events = Vec::new();
        let former = self.relays.relay_of.take();
        for (id, key) in &former {
            if assigned.get(id.as_str()) != Some(key) {
                if let Some(connection) = self.relays.connections.borrow().get(key) {
                    events.extend(connection.link.borrow_mut().remove_runner(id));
                }
            }
        }
        for (address, _) in &addresses {
            let Some(key) = assigned.get(address.id.as_str()) else {
                continue;
            };
            let connection = self.connect(key);
            connection.link.borrow_mut().add_runner(address.clone());
            let mut relay_of = self.relays.relay_of.borrow_mut();
            relay_of.insert(address.id.clone(), key.clone());
        }
        self.flush_relays();
        self.handle_events(events);
    }

    /// Lists the runners to call, with their data centres.
    fn runners_to_call(&self) -> Vec<(RunnerAddress, String)> {
        let engine = self.engine.borrow();
        let runners = self.runners.borrow();
        let to_call = runners.values().filter(|it| engine.needs_polling(&it.id));
        to_call
            .map(|it| {
                let address = RunnerAddress {
                    id: it.id.clone(),
                    address: it.address.clone(),
                };
                (address, it.data_centre.clone())
            })
            .collect()
    }

    /// Lists the members that may carry runners: this process only if there is no other, since an
    /// owner has its decisions to make.
    fn relay_candidates(&self, now: Instant) -> Vec<Member> {
        let own_key = keys::member(&self.shared.options.name);
        let mut failed_until = self.relays.failed_until.borrow_mut();
        failed_until.retain(|_, until| now < *until);
        let is_open = self.shared.peers.borrow().is_some();
        let members = self.shared.members.borrow();
        let others = members.iter().filter(|(key, it)| {
            let is_other = **key != own_key && it.address != Some(self.shared.options.peer_address);
            is_open && is_other && it.address.is_some()
        });
        let others = others.map(|(key, it)| Member {
            key: key.clone(),
            capacity_millis: it.capacity_millis,
            data_centre: it.data_centre.clone(),
        });
        let (failed, candidates): (Vec<_>, Vec<_>) =
            others.partition(|it| failed_until.contains_key(&it.key));
        if !candidates.is_empty() {
            return candidates;
        }
        // All of them fail together if the link of this process is full or cut.
        let answered_at = self.relays.answered_at.get();
        if !failed.is_empty() && answered_at.is_some_and(|at| now < at + RELAY_SILENCE_MAX) {
            return failed;
        }
        vec![Member {
            key: own_key,
            capacity_millis: self.shared.options.capacity_millis,
            data_centre: self.shared.options.data_centre.clone(),
        }]
    }

    /// Returns the connection to a member, which is opened if there is none.
    fn connect(self: &Rc<Self>, key: &str) -> Rc<Connection> {
        if let Some(connection) = self.relays.connections.borrow().get(key) {
            return Rc::clone(connection);
        }
        let is_own = key == keys::member(&self.shared.options.name);
        let members = self.shared.members.borrow();
        let address = members.get(key).and_then(|it| it.address);
        let link = Link::new(self.id.0, self.fencing_token, self.relays.next_session());
        let connection = Rc::new(Connection {
            key: key.to_owned(),
            address: address.filter(|_| !is_own),
            link: RefCell::new(link),
            has_orders: Notify::new(),
            is_closed: Cell::new(false),
            slow_exchanges: Cell::new(0),
        });
        let mut connections = self.relays.connections.borrow_mut();
        connections.insert(key.to_owned(), Rc::clone(&connection));
        self.spawn(Rc::clone(self).follow_news(Rc::clone(&connection)));
        self.spawn(Rc::clone(self).send_orders(Rc::clone(&connection)));
        connection
    }

    /// Passes an order on to the relay of its runner.
    pub(super) fn send_order(&self, order: Order) {
        let event = match (self.relays.connection_of(order.runner()), order) {
            (Some(connection), order) => {
                let event = connection.link.borrow_mut().push_order(order);
                connection.has_orders.notify_one();
                event
            }
            (None, Order::Start { task, run, .. }) => {
                Some(Event::Started(task, run, Answer::NotSent))
            }
            // The engine repeats an order that is not acknowledged.
            (None, Order::Stop { .. } | Order::Throttle { .. }) => None,
        };
        event.into_iter().for_each(|event| self.handle_event(event));
    }

    /// Lease deadline to send with a start; the answer to handle instead if it must not be sent.
    fn start_deadline_ms(&self, runner: &str, task: TaskId, run: u32) -> Result<u64, Answer> {
        let now = self.shared.now();
        let mut engine = self.engine.borrow_mut();
        let deadline_ms = if self.may_renew() {
            engine.start_deadline_ms(runner, task, run, now)
        } else {
            Err(Answer::Withheld)
        };
        if let Err(answer) = deadline_ms {
            log::info!(
                "event=start.withheld task={task} run={run} runner={runner} answer={answer:?}"
            );
        }
        deadline_ms
    }

    /// Sends what is urgent to the relays.
    pub(super) fn flush_relays(&self) {
        let engine = self.engine.borrow();
        for connection in self.relays.connections.borrow().values() {
            let link = connection.link.borrow();
            if link.is_urgent(|runner| engine.acknowledged(runner)) {
                connection.has_orders.notify_one();
            }
        }
    }

    /// Exchanges batches for news until the relay has no runners or fails.
    async fn follow_news(self: Rc<Self>, connection: Rc<Connection>) {
        while !connection.is_closed.get() {
            let batch = self.take_batch(&connection);
            let sent_at = self.shared.now();
            let reply = self.exchange(&connection, batch, Some(NEWS_WAIT_MAX)).await;
            let duration = self.shared.now().saturating_duration_since(sent_at);
            let is_leaving = matches!(reply, Ok(RelayReply::Leaving(_)));
            match reply {
                Ok(RelayReply::News(news) | RelayReply::Leaving(news)) => {
                    self.timed(Part::News, || {
                        let events = connection.link.borrow_mut().handle_news(news);
                        self.handle_events(events);
                    });
                    // Starts that were answered let others be sent.
                    if connection.link.borrow().has_orders() {
                        connection.has_orders.notify_one();
                    }
                }
                Ok(RelayReply::Superseded(token)) => self.handle_superseded(token),
                Ok(RelayReply::Acknowledged | RelayReply::SessionLost) => {
                    self.fail_relay(&connection, "it has lost the session");
                }
                Err(Failed(reason)) => self.fail_relay(&connection, &reason),
            }
            if is_leaving {
                self.fail_relay(&connection, "it is about to stop");
            }
            self.check_duration(&connection, duration);
            self.close_if_idle(&connection);
        }
    }

    /// Sends batches with the orders as they come, without waiting for news.
    async fn send_orders(self: Rc<Self>, connection: Rc<Connection>) {
        while !connection.is_closed.get() {
            if !connection.link.borrow().has_orders() {
                connection.has_orders.notified().await;
            }
            // All relays share the link of this process.
            let turn = self.relays.orders_turn.lock().await;
            let mut batch = self.take_batch(&connection);
            let (bytes, events) = connection.link.borrow_mut().add_orders(
                &mut batch,
                ORDER_BYTES_MAX,
                |runner, task, run| self.start_deadline_ms(runner, task, run),
            );
            self.handle_events(events);
            if !batch.is_empty() {
                self.spawn(Rc::clone(&self).send_batch(Rc::clone(&connection), batch));
            }
            if connection.address.is_some() {
                let sending_time = self.shared.sending_time(bytes, ORDERS_LINK_SHARE);
                tokio::time::sleep(sending_time).await;
            }
            drop(turn);
            tokio::time::sleep(BATCH_INTERVAL).await;
        }
    }

    async fn send_batch(self: Rc<Self>, connection: Rc<Connection>, batch: Batch) {
        match self.exchange(&connection, batch, None).await {
            Ok(RelayReply::Superseded(token)) => self.handle_superseded(token),
            Ok(RelayReply::SessionLost) => {
                self.fail_relay(&connection, "it has lost the session");
            }
            Ok(_) => {}
            Err(Failed(reason)) => self.fail_relay(&connection, &reason),
        }
    }

    fn take_batch(&self, connection: &Connection) -> Batch {
        let now = self.shared.now();
        let may_renew = self.may_renew();
        let idle_wait = self.idle_poll_wait();
        let engine = &self.engine;
        connection.link.borrow_mut().take_batch(
            now,
            self.micros_at(now),
            idle_wait,
            |runner| engine.borrow().acknowledged(runner),
            |runner| {
                let mut engine = engine.borrow_mut();
                may_renew
                    .then(|| engine.lease_deadline_ms(runner, now))
                    .flatten()
            },
        )
    }

    async fn exchange(
        &self,
        connection: &Connection,
        batch: Batch,
        hold: Option<Duration>,
    ) -> Result<RelayReply, Failed> {
        let Some(address) = connection.address else {
            return Ok(relay::exchange(&self.shared, batch, hold).await);
        };
        let Some(mesh) = self.shared.peers.borrow().as_ref().map(Arc::clone) else {
            return Err(Failed("the mesh is not open".to_owned()));
        };
        let hold_ms = hold.map(|it| it.as_millis() as u32);
        let request = PeerRequest::Relay(Box::new(batch), hold_ms);
        let timeout = hold.unwrap_or_default() + EXCHANGE_MARGIN;
        match mesh.call(address, &request, timeout).await {
            Ok(PeerReply::Relay(reply)) => {
                self.relays.answered_at.set(Some(self.shared.now()));
                Ok(reply)
            }
            Ok(_) => Err(Failed("it does not carry runners".to_owned())),
            Err(err) => Err(Failed(err.to_string())),
        }
    }

    fn handle_superseded(&self, fencing_token: u64) {
        log::info!(
            "event=relay.superseded group={} fence={fencing_token}",
            self.id.0
        );
        self.stop_serving("a relay knows a newer owner");
    }

    /// Gives up a relay if its exchanges take so long that each start comes too late, others could
    /// carry its runners, and the link of this process is not the cause.
    fn check_duration(self: &Rc<Self>, connection: &Connection, duration: Duration) {
        if duration < NEWS_WAIT_MAX + START_AGE_MAX {
            connection.slow_exchanges.set(0);
            return;
        }
        let slow_exchanges = connection.slow_exchanges.get() + 1;
        connection.slow_exchanges.set(slow_exchanges);
        let now = self.shared.now();
        // Renewals of the session use the same link.
        let proven_at = self.shared.session_proven_at.get();
        let is_store_near = proven_at.is_some_and(|at| now < at + START_AGE_MAX);
        if slow_exchanges >= SLOW_EXCHANGES_MAX && is_store_near && self.has_other_relay(connection)
        {
            self.give_up_relay(connection, "it answers slowly", SLOW_RELAY_BACKOFF);
        }
    }

    fn has_other_relay(&self, connection: &Connection) -> bool {
        let own_key = keys::member(&self.shared.options.name);
        let candidates = self.relay_candidates(self.shared.now());
        candidates
            .iter()
            .any(|it| it.key != connection.key && it.key != own_key)
    }

    fn fail_relay(self: &Rc<Self>, connection: &Connection, reason: &str) {
        self.give_up_relay(connection, reason, FAILED_RELAY_BACKOFF);
    }

    /// Gives the runners of a relay to others for at least `backoff`. Later calls for the same
    /// connection have no effect.
    fn give_up_relay(self: &Rc<Self>, connection: &Connection, reason: &str, backoff: Duration) {
        if connection.is_closed.replace(true) {
            return;
        }
        let runners = connection.link.borrow().len();
        log::warn!(
            "event=relay.fail group={} relay={} runners={runners} reason=\"{reason}\"",
            self.id.0,
            connection.key
        );
        let events = connection.link.borrow_mut().close();
        connection.has_orders.notify_one();
        let until = self.shared.now() + backoff;
        let mut failed_until = self.relays.failed_until.borrow_mut();
        failed_until.insert(connection.key.clone(), until);
        drop(failed_until);
        self.relays.connections.borrow_mut().remove(&connection.key);
        let mut relay_of = self.relays.relay_of.borrow_mut();
        relay_of.retain(|_, key| *key != connection.key);
        drop(relay_of);
        self.relays.assigned_at.set(None);
        self.handle_events(events);
        self.assign_runners();
    }

    fn close_if_idle(&self, connection: &Connection) {
        let link = connection.link.borrow();
        if link.is_empty() && !link.is_urgent(|_| 0) && !connection.is_closed.replace(true) {
            connection.has_orders.notify_one();
            self.relays.connections.borrow_mut().remove(&connection.key);
        }
    }

    fn handle_events(&self, events: Vec<Event>) {
        if events.is_empty() {
            return;
        }
        for event in events {
            self.handle_event(event);
        }
        self.wake.notify_one();
    }

    fn handle_event(&self, event: Event) {
        let now = self.shared.now();
        let mut engine = self.engine.borrow_mut();
        match event {
            Event::Report {
                runner,
                report,
                requested_us,
            } => {
                self.record(|it| it.polls_answered += 1);
                let requested_at = self.started_at + Duration::from_micros(requested_us);
                engine.handle_report(&runner, &report, requested_at, now);
            }
            Event::Missed { runner } => {
                self.record(|it| it.polls_failed += 1);
                engine.handle_missed_report(&runner, now);
            }
            Event::Started(task, run, answer) => {
                engine.handle_start_answer(task, run, answer, now);
            }
            Event::Stopped(task, run) => engine.handle_stop_answer(task, run, now),
            Event::Throttled(task, run, percent) => {
                engine.handle_throttle_answer(task, run, percent, now);
            }
        }
    }

    /// Ends the calls of this process for the group.
    pub(super) fn close_own_relay(&self) {
        self.shared.relay.close(self.id.0, self.fencing_token);
    }

    fn micros_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_micros() as u64
    }

    /// Returns how long a runner without runs may delay its report.
    fn idle_poll_wait(&self) -> Duration {
        let runners = self.relays.runner_count() as u32;
        let wait = Duration::from_secs(1) * runners / IDLE_POLLS_PER_S_MAX;
        wait.clamp(POLL_WAIT, IDLE_POLL_WAIT_MAX)
    }

    /// Returns by how much reports are delayed beyond the usual: those of runners without runs, and
    /// the time that relays hold back news.
    pub(super) fn extra_report_age(&self) -> Duration {
        self.idle_poll_wait() - POLL_WAIT + NEWS_WAIT_MAX
    }
}
