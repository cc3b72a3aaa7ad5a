//! The owner's end of a connection to a relay.

use crate::{
    message::{AnswerWire, Grant, OrderKindWire, OrderWire, Rows},
    order_queue::OrderQueue,
    Batch, News, RunnerAddress, RunnerIndex,
};
use persimmon_sched::{Answer, Order, Report, TaskId};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Interval at which a runner's lease is renewed; several fit into the lease term.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Most starts that a relay has not answered; as many calls to runners as one may have in flight.
const STARTS_UNANSWERED_MAX: usize = 128;

/// Size of an order in a batch, estimated.
const ORDER_BYTES: usize = 48;

/// What happened at a relay's runners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A runner has reported.
    Report {
        /// Id of the runner.
        runner: String,
        /// The report.
        report: Report,
        /// The report was requested after this time on the owner's clock, in microseconds.
        requested_us: u64,
    },
    /// A runner did not answer a poll.
    Missed {
        /// Id of the runner.
        runner: String,
    },
    /// A start was answered.
    Started(TaskId, u32, Answer),
    /// A stop was acknowledged.
    Stopped(TaskId, u32),
    /// A CPU limit, in percent, was acknowledged.
    Throttled(TaskId, u32, u8),
}

/// The owner's end of a connection to a relay, for one session.
#[derive(Debug)]
pub struct Link {
    group: u16,
    fencing_token: u64,
    session: u64,
    handled_news: u64,
    next_index: u32,
    runners: BTreeMap<RunnerIndex, Runner>,
    indexes: HashMap<String, RunnerIndex>,
    removed: Vec<RunnerIndex>,
    orders: OrderQueue,
    /// Starts that were sent and not answered.
    unanswered: BTreeSet<(TaskId, u32)>,
}

#[derive(Debug)]
struct Runner {
    address: RunnerAddress,
    is_added: bool,
    granted_end: u64,
    renewed_at: Option<Instant>,
    /// The incarnation of the last report.
    incarnation_ms: Option<u64>,
    rows: Rows,
}

impl Runner {
    fn new(address: RunnerAddress) -> Self {
        Self {
            address,
            is_added: false,
            granted_end: 0,
            renewed_at: None,
            incarnation_ms: None,
            rows: Rows::new(),
        }
    }

    /// Makes the next batch repeat what the relay forgets with an earlier incarnation.
    fn note_incarnation(&mut self, incarnation_ms: u64) {
        if self.incarnation_ms.replace(incarnation_ms) != Some(incarnation_ms) {
            self.granted_end = 0;
            self.renewed_at = None;
        }
    }
}

impl Link {
    /// Creates a link without runners for the owner of `group`. The number of the session must be
    /// higher than those of earlier links to the same relay.
    pub fn new(group: u16, fencing_token: u64, session: u64) -> Self {
        Self {
            group,
            fencing_token,
            session,
            handled_news: 0,
            next_index: 0,
            runners: BTreeMap::new(),
            indexes: HashMap::new(),
            removed: Vec::new(),
            orders: OrderQueue::default(),
            unanswered: BTreeSet::new(),
        }
    }

    /// Number of runners.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Returns whether the relay has no runners.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Returns whether the runner called `id` is one of the relay's.
    pub fn has_runner(&self, id: &str) -> bool {
        self.indexes.contains_key(id)
    }

    /// Gives the relay a runner. One whose address has changed is taken for a new one.
    pub fn add_runner(&mut self, address: RunnerAddress) {
        if let Some(index) = self.indexes.get(&address.id) {
            if self.runners[index].address == address {
                return;
            }
            self.remove_runner(&address.id);
        }
        let index = RunnerIndex(self.next_index);
        self.next_index += 1;
        self.indexes.insert(address.id.clone(), index);
        self.runners.insert(index, Runner::new(address));
    }

    /// Takes a runner from the relay. Orders for it that were not sent yet are dropped; returns the
    /// starts among them.
    pub fn remove_runner(&mut self, id: &str) -> Vec<Event> {
        let Some(index) = self.indexes.remove(id) else {
            return Vec::new();
        };
        if let Some(runner) = self.runners.remove(&index) {
            if runner.is_added {
                self.removed.push(index);
            }
        }
        withheld(&self.orders.remove_runner(index))
    }

    /// Queues an order; returns the event to handle instead if the runner is not one of the
    /// relay's.
    pub fn push_order(&mut self, order: Order) -> Option<Event> {
        if let Some(&index) = self.indexes.get(order.runner()) {
            self.orders.push(index, order);
            return None;
        }
        match order {
            Order::Start { task, run, .. } => Some(Event::Started(task, run, Answer::Withheld)),
            // The engine repeats an order that is not acknowledged.
            Order::Stop { .. } | Order::Throttle { .. } => None,
        }
    }

    /// Returns whether an order can be sent.
    pub fn has_orders(&self) -> bool {
        self.orders.has_next(self.may_start())
    }

    /// Returns whether a start can be sent.
    fn may_start(&self) -> bool {
        self.unanswered.len() < STARTS_UNANSWERED_MAX
    }

    /// Moves orders of up to about `bytes_max` into a batch, at least one, as far as they can be sent:
    /// a start that waits at the relay gets too old, and keeps those of other jobs waiting.
    /// `start_deadline_ms` returns the lease deadline of a start, or the answer to handle if it must
    /// not be sent.
    /// Returns the size, and what is to be handled.
    pub fn add_orders(
        &mut self,
        batch: &mut Batch,
        bytes_max: usize,
        mut start_deadline_ms: impl FnMut(&str, TaskId, u32) -> Result<u64, Answer>,
    ) -> (usize, Vec<Event>) {
        let (mut bytes, mut events) = (0, Vec::new());
        while bytes < bytes_max {
            let Some((index, order)) = self.orders.pop(self.may_start()) else {
                break;
            };
            bytes += ORDER_BYTES;
            let (task, run, kind) = match order {
                Order::Start {
                    runner,
                    task,
                    run,
                    checkpoint,
                    ..
                } => {
                    let deadline_ms = match start_deadline_ms(&runner, task, run) {
                        Ok(deadline_ms) => deadline_ms,
                        Err(answer) => {
                            events.push(Event::Started(task, run, answer));
                            continue;
                        }
                    };
                    self.unanswered.insert((task, run));
                    let kind = OrderKindWire::Start {
                        checkpoint,
                        deadline_ms,
                    };
                    (task, run, kind)
                }
                Order::Stop { task, run, .. } => (task, run, OrderKindWire::Stop),
                Order::Throttle {
                    task, run, percent, ..
                } => (task, run, OrderKindWire::Throttle { percent }),
            };
            batch.orders.push(OrderWire {
                runner: index,
                task,
                run,
                kind,
            });
        }
        (bytes, events)
    }

    /// Returns whether an order waits, a runner is to be added or removed, or an ended run was
    /// acknowledged.
    pub fn is_urgent(&self, acknowledged_end: impl Fn(&str) -> u64) -> bool {
        let mut runners = self.runners.values();
        self.has_orders()
            || !self.removed.is_empty()
            || runners.any(|it| !it.is_added || acknowledged_end(&it.address.id) > it.granted_end)
    }

    /// Returns what is to be sent at `now` besides orders, which is `made_at_us` microseconds on the
    /// owner's clock. `deadline_ms` returns the lease deadline of a runner whose lease is due.
    pub fn take_batch(
        &mut self,
        now: Instant,
        made_at_us: u64,
        idle_wait: Duration,
        acknowledged_end: impl Fn(&str) -> u64,
        mut deadline_ms: impl FnMut(&str) -> Option<u64>,
    ) -> Batch {
        let mut added = Vec::new();
        let mut grants = Vec::new();
        for (&index, it) in &mut self.runners {
            if !it.is_added {
                it.is_added = true;
                added.push((index, it.address.clone()));
            }
            let end = acknowledged_end(&it.address.id);
            let is_due = it.renewed_at.is_none_or(|at| now >= at + RENEW_INTERVAL);
            let deadline_ms = is_due.then(|| deadline_ms(&it.address.id)).flatten();
            if deadline_ms.is_some() {
                it.renewed_at = Some(now);
            }
            if deadline_ms.is_some() || end != it.granted_end {
                it.granted_end = end;
                grants.push(Grant {
                    runner: index,
                    deadline_ms: deadline_ms.unwrap_or(0),
                    acknowledged_end: end,
                });
            }
        }
        Batch {
            group: self.group,
            fencing_token: self.fencing_token,
            session: self.session,
            made_at_us,
            handled_news: self.handled_news,
            idle_wait_ms: u32::try_from(idle_wait.as_millis()).unwrap_or(u32::MAX),
            added,
            removed: std::mem::take(&mut self.removed),
            grants,
            orders: Vec::new(),
        }
    }

    /// Handles news from the relay, unless it is of an earlier session or was handled before.
    pub fn handle_news(&mut self, news: News) -> Vec<Event> {
        if news.session != self.session || news.number <= self.handled_news {
            return Vec::new();
        }
        self.handled_news = news.number;
        let mut events = Vec::with_capacity(news.reports.len() + news.answers.len());
        for report in news.reports {
            if let Some(it) = self.runners.get_mut(&report.runner) {
                it.note_incarnation(report.incarnation_ms);
                events.push(Event::Report {
                    runner: it.address.id.clone(),
                    requested_us: report.requested_us,
                    report: report.into_report(&mut it.rows),
                });
            }
        }
        for index in news.missed {
            let runner = self.runners.get(&index);
            events.extend(runner.map(|it| Event::Missed {
                runner: it.address.id.clone(),
            }));
        }
        for answer in news.answers {
            events.push(match answer {
                AnswerWire::Start(task, run, answer) => {
                    self.unanswered.remove(&(task, run));
                    Event::Started(task, run, answer.into())
                }
                AnswerWire::Stopped(task, run) => Event::Stopped(task, run),
                AnswerWire::Throttled(task, run, percent) => Event::Throttled(task, run, percent),
            });
        }
        events
    }

    /// Ends the session after a call to the relay that failed: what it knows is no longer certain.
    /// Starts that were sent may have been carried out.
    pub fn close(&mut self) -> Vec<Event> {
        let unanswered = std::mem::take(&mut self.unanswered).into_iter();
        let unknown = unanswered.map(|(task, run)| Event::Started(task, run, Answer::Unknown));
        let mut events: Vec<_> = unknown.collect();
        events.extend(withheld(&self.orders.clear()));
        events
    }
}

/// Answers the starts among orders that were not sent; other orders are repeated by the engine.
fn withheld(orders: &[Order]) -> Vec<Event> {
    let starts = orders.iter().filter_map(|order| match order {
        Order::Start { task, run, .. } => Some(Event::Started(*task, *run, Answer::Withheld)),
        Order::Stop { .. } | Order::Throttle { .. } => None,
    });
    starts.collect()
}
