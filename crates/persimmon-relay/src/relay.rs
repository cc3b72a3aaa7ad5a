//! A relay: makes the calls to a part of a group's runners on behalf of the owner.

use crate::{
    message::{AnswerWire, EndWire, OrderKindWire, OrderWire, ReportWire, RowWire, Rows},
    Batch, News, RunnerAddress, RunnerIndex, SessionKey,
};
use persimmon_sched::{Answer, Report, RunStatus, TaskId};
use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

/// Oldest order that a start is sent for. Together with the age of the owner's instance list and
/// the time limit of the call it must stay below the time for which a leaving runner may be used.
pub const START_AGE_MAX: Duration = Duration::from_millis(700);
/// A session without a batch for this long is dropped; an owner sends several a second.
const SESSION_SILENCE_MAX: Duration = Duration::from_secs(3);
/// Longest time between two polls of a runner, with what a poll may take. After a longer one this
/// process was suspended, and the runner may have restarted meanwhile.
const POLL_INTERVAL_MAX: Duration = Duration::from_millis(2_600);
/// Messages of which the relay remembers when they were sent.
const SENT_NEWS_MAX: usize = 64;
/// Rows of reports in a message from which on the reports of other runners wait for the next one, so
/// that it stays well below the size limit of messages.
const NEWS_ROWS_MAX: usize = 20_000;
/// A measurement that changed by less than this fraction is not sent again.
const MEASUREMENT_CHANGE_FRACTION: u64 = 20;

/// The relay of an instance, for any number of groups.
#[derive(Debug, Default)]
pub struct Relay {
    sessions: BTreeMap<u16, Session>,
    /// The latest session of each group, also if it was dropped.
    latest: BTreeMap<u16, SessionKey>,
}

/// Why a batch is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The group is known to have an owner with this higher fencing token.
    Superseded(u64),
    /// The session was dropped, so the owner must open another.
    SessionLost,
}

/// What a batch asks the instance to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Poll a runner until [`Relay::begin_poll`] returns `None`.
    Poll(RunnerIndex),
    /// Make a call and pass its outcome to [`Relay::finish_order`].
    Call(OrderCall),
}

/// A call to a runner that an owner has ordered.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// The session that the order belongs to.
    pub session: SessionKey,
    /// The runner.
    pub runner: RunnerAddress,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// What to do with the run.
    pub kind: OrderKind,
}

/// What an [`OrderCall`] does with a run.
#[derive(Debug, Clone)]
pub enum OrderKind {
    /// Starts it.
    Start {
        /// The checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Lease deadline, on the runner's clock.
        deadline_ms: u64,
        /// The start must not be sent at this time or later.
        expires_at: Instant,
    },
    /// Stops it.
    Stop,
    /// Limits its processor time to this percentage.
    Throttle(u8),
}

/// The outcome of an [`OrderCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer to a start.
    Start(Answer),
    /// A stop or a limit was acknowledged.
    Acknowledged,
    /// A stop or a limit was not acknowledged; the owner repeats it.
    Failed,
}

/// A poll of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollCall {
    /// The session that the poll belongs to.
    pub session: SessionKey,
    /// The runner.
    pub runner: RunnerAddress,
    /// The highest number of an ended run that the runner may drop from its reports.
    pub acknowledged_end: u64,
    /// Lease deadline, on the runner's clock.
    pub deadline_ms: Option<u64>,
    /// Whether the runner has answered the last poll.
    pub has_report: bool,
    /// Whether the runner has answered a poll of the session. Its lease must be renewed, so it
    /// does not wait for runners that have not.
    pub has_answered: bool,
    /// Whether the runner has runs or is about to.
    pub has_runs: bool,
    /// How long a runner without runs may delay its report.
    pub idle_wait: Duration,
    /// Time of the owner's last batch.
    requested_us: u64,
}

#[derive(Debug)]
struct Session {
    key: SessionKey,
    made_at_us: u64,
    idle_wait: Duration,
    last_batch_at: Instant,
    runners: BTreeMap<RunnerIndex, Runner>,
    /// Stops that have no outcome yet; the owner repeats those without an answer.
    stopping: HashSet<(TaskId, u32)>,
    missed: Vec<RunnerIndex>,
    answers: Vec<AnswerWire>,
    last_news: u64,
    /// When the last messages were sent, by number.
    sent_news: VecDeque<(u64, Instant)>,
    /// The runner whose report is the first in the next message.
    first_to_report: RunnerIndex,
}

#[derive(Debug)]
struct Runner {
    address: RunnerAddress,
    deadline_ms: u64,
    acknowledged_end: u64,
    has_report: bool,
    polled_at: Option<Instant>,
    has_orders: bool,
    /// The last report, unless it was sent: when it was requested, and the report.
    unsent: Option<(u64, Report)>,
    is_urgent: bool,
    sent_rows: Rows,
    sent_end: u64,
    incarnation_ms: u64,
    /// The incarnation that answered the last poll; `None` before the first answer.
    polled_incarnation_ms: Option<u64>,
    /// Number of the message that told the owner of that incarnation.
    told_in_news: Option<u64>,
}

impl Relay {
    /// Handles a batch; returns what is to be done. A refused one has no effect.
    pub fn handle_batch(&mut self, batch: Batch, now: Instant) -> Result<Vec<Action>, Refusal> {
        let known = self.latest.get(&batch.group);
        let known = known.map_or((0, 0), |it| (it.fencing_token, it.number));
        if known.0 > batch.fencing_token {
            return Err(Refusal::Superseded(known.0));
        }
        match known.cmp(&(batch.fencing_token, batch.session)) {
            Ordering::Greater => return Ok(Vec::new()),
            Ordering::Equal => {}
            Ordering::Less if batch.handled_news > 0 => return Err(Refusal::SessionLost),
            Ordering::Less => {
                log::info!(
                    "event=relay.open group={} fence={} session={}",
                    batch.group,
                    batch.fencing_token,
                    batch.session
                );
                let session = Session::new(&batch, now);
                self.latest.insert(batch.group, session.key);
                self.sessions.insert(batch.group, session);
            }
        }
        let session = self.sessions.get_mut(&batch.group);
        let session = session.ok_or(Refusal::SessionLost)?;
        Ok(session.handle(batch, now))
    }

    /// Drops the session of a group if it has this fencing token.
    pub fn close(&mut self, group: u16, fencing_token: u64) {
        let session = self.sessions.get(&group);
        if session.is_some_and(|it| it.key.fencing_token == fencing_token) {
            self.sessions.remove(&group);
        }
    }

    /// Returns the next poll of a runner; `None` if it is no longer to be polled.
    pub fn begin_poll(
        &mut self,
        key: SessionKey,
        runner: RunnerIndex,
        now: Instant,
    ) -> Option<PollCall> {
        let silent = |it: &Session| now >= it.last_batch_at + SESSION_SILENCE_MAX;
        if self.sessions.get(&key.group).is_some_and(silent) {
            log::info!(
                "event=relay.close group={} reason=\"the owner is silent\"",
                key.group
            );
            self.sessions.remove(&key.group);
        }
        let session = self.session_mut(key)?;
        let it = session.runners.get_mut(&runner)?;
        let acknowledged_end = it.begin_poll(now);
        Some(PollCall {
            session: key,
            runner: it.address.clone(),
            acknowledged_end,
            deadline_ms: (it.deadline_ms > 0).then_some(it.deadline_ms),
            has_report: it.has_report,
            has_answered: it.polled_incarnation_ms.is_some(),
            has_runs: it.has_runs(),
            idle_wait: session.idle_wait,
            requested_us: session.made_at_us,
        })
    }

    /// Handles the answer to a poll; `None` if there was none. Returns the number of the last ended
    /// run in it.
    pub fn finish_poll(
        &mut self,
        runner: RunnerIndex,
        poll: &PollCall,
        report: Option<Report>,
    ) -> u64 {
        let Some(session) = self.session_mut(poll.session) else {
            return 0;
        };
        let Some(it) = session.runners.get_mut(&runner) else {
            return 0;
        };
        it.has_report = report.is_some();
        let Some(report) = report else {
            session.missed.push(runner);
            return 0;
        };
        it.note_incarnation(report.incarnation_ms);
        let last_end = report.ended.iter().map(|end| end.number).max();
        let last_end = last_end.unwrap_or(0);
        it.is_urgent |= report.incarnation_ms != it.incarnation_ms || last_end > it.sent_end;
        it.has_orders = false;
        it.unsent = Some((poll.requested_us, report));
        last_end
    }

    /// Returns whether the runner's ended runs up to `end` have been acknowledged by the owner.
    pub fn is_acknowledged(&self, key: SessionKey, runner: RunnerIndex, end: u64) -> bool {
        let runner = self.session(key).and_then(|it| it.runners.get(&runner));
        runner.is_none_or(|it| it.acknowledged_end >= end)
    }

    /// Handles the outcome of a call.
    pub fn finish_order(&mut self, call: &OrderCall, outcome: Outcome) {
        let Some(session) = self.session_mut(call.session) else {
            return;
        };
        if matches!(call.kind, OrderKind::Stop) {
            session.stopping.remove(&(call.task, call.run));
        }
        let answer = match (&call.kind, outcome) {
            (_, Outcome::Start(answer)) => AnswerWire::Start(call.task, call.run, answer.into()),
            (OrderKind::Stop, Outcome::Acknowledged) => AnswerWire::Stopped(call.task, call.run),
            (OrderKind::Throttle(percent), Outcome::Acknowledged) => {
                AnswerWire::Throttled(call.task, call.run, *percent)
            }
            (_, Outcome::Acknowledged | Outcome::Failed) => return,
        };
        session.answers.push(answer);
    }

    /// Returns whether there is news that the owner should not wait for.
    pub fn has_urgent_news(&self, key: SessionKey) -> bool {
        self.session(key).is_some_and(|session| {
            !session.answers.is_empty()
                || !session.missed.is_empty()
                || session.runners.values().any(|it| it.is_urgent)
        })
    }

    /// Returns the news for the owner; `None` if its session is not open.
    pub fn take_news(&mut self, key: SessionKey, now: Instant) -> Option<News> {
        let session = self.session_mut(key)?;
        session.last_news += 1;
        let number = session.last_news;
        session.sent_news.push_back((number, now));
        if session.sent_news.len() > SENT_NEWS_MAX {
            session.sent_news.pop_front();
        }
        Some(News {
            session: key.number,
            number,
            reports: session.take_reports(number),
            missed: std::mem::take(&mut session.missed),
            answers: std::mem::take(&mut session.answers),
        })
    }

    fn session(&self, key: SessionKey) -> Option<&Session> {
        self.sessions.get(&key.group).filter(|it| it.key == key)
    }

    fn session_mut(&mut self, key: SessionKey) -> Option<&mut Session> {
        let session = self.sessions.get_mut(&key.group);
        session.filter(|it| it.key == key)
    }
}

impl Session {
    fn new(batch: &Batch, now: Instant) -> Self {
        Self {
            key: batch.session_key(),
            made_at_us: 0,
            idle_wait: Duration::ZERO,
            last_batch_at: now,
            runners: BTreeMap::new(),
            stopping: HashSet::new(),
            missed: Vec::new(),
            answers: Vec::new(),
            last_news: 0,
            sent_news: VecDeque::new(),
            first_to_report: RunnerIndex(0),
        }
    }

    fn handle(&mut self, batch: Batch, now: Instant) -> Vec<Action> {
        self.last_batch_at = now;
        self.made_at_us = self.made_at_us.max(batch.made_at_us);
        self.idle_wait = Duration::from_millis(u64::from(batch.idle_wait_ms));
        let mut actions = Vec::new();
        for (index, address) in batch.added {
            self.runners.insert(index, Runner::new(address));
            actions.push(Action::Poll(index));
        }
        for index in batch.removed {
            self.runners.remove(&index);
        }
        for grant in batch.grants {
            let runner = self.runners.get_mut(&grant.runner);
            if let Some(it) = runner.filter(|it| it.is_known_to_owner(batch.handled_news)) {
                it.deadline_ms = it.deadline_ms.max(grant.deadline_ms);
                it.acknowledged_end = grant.acknowledged_end;
            }
        }
        let expires_at = self
            .sent_at(batch.handled_news)
            .map(|at| at + START_AGE_MAX);
        for order in batch.orders {
            actions.extend(self.call(order, expires_at).map(Action::Call));
        }
        actions
    }

    /// Returns the reports for the message with this number, first those that did not fit into the last
    /// one.
    fn take_reports(&mut self, number: u64) -> Vec<ReportWire> {
        let from = self.first_to_report;
        let behind: Vec<_> = self.runners.range(from..).map(|it| *it.0).collect();
        let before = self.runners.range(..from).map(|it| *it.0);
        let indexes: Vec<_> = behind.into_iter().chain(before).collect();
        let (mut reports, mut rows) = (Vec::new(), 0);
        for index in indexes {
            if rows >= NEWS_ROWS_MAX {
                self.first_to_report = index;
                break;
            }
            let runner = self.runners.get_mut(&index);
            let report = runner.and_then(|it| it.take_report(index, number));
            rows += report.as_ref().map_or(0, ReportWire::rows);
            reports.extend(report);
        }
        reports
    }

    /// Returns when a message was sent; an owner that had handled it spoke later than that.
    fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut sent = self.sent_news.iter();
        sent.find(|(it, _)| *it == number).map(|&(_, at)| at)
    }

    /// Returns the call for an order; answers it as withheld if it can't be made.
    fn call(&mut self, order: OrderWire, expires_at: Option<Instant>) -> Option<OrderCall> {
        let OrderWire {
            runner: index,
            task,
            run,
            kind,
        } = order;
        let kind = match kind {
            OrderKindWire::Start {
                checkpoint,
                deadline_ms,
            } => {
                let is_known = self.runners.contains_key(&index);
                let Some(expires_at) = expires_at.filter(|_| is_known) else {
                    let withheld = Answer::Withheld.into();
                    self.answers.push(AnswerWire::Start(task, run, withheld));
                    return None;
                };
                OrderKind::Start {
                    checkpoint,
                    deadline_ms,
                    expires_at,
                }
            }
            OrderKindWire::Stop if !self.stopping.insert((task, run)) => return None,
            OrderKindWire::Stop => OrderKind::Stop,
            OrderKindWire::Throttle { percent } => OrderKind::Throttle(percent),
        };
        let Some(runner) = self.runners.get_mut(&index) else {
            self.stopping.remove(&(task, run));
            return None;
        };
        runner.has_orders = true;
        Some(OrderCall {
            session: self.key,
            runner: runner.address.clone(),
            task,
            run,
            kind,
        })
    }
}

impl Runner {
    fn new(address: RunnerAddress) -> Self {
        Self {
            address,
            deadline_ms: 0,
            acknowledged_end: 0,
            has_report: false,
            polled_at: None,
            has_orders: false,
            unsent: None,
            is_urgent: false,
            sent_rows: Rows::new(),
            sent_end: 0,
            incarnation_ms: 0,
            polled_incarnation_ms: None,
            told_in_news: None,
        }
    }

    /// Begins a poll; returns the highest end that the runner may be told to drop: none if it may
    /// have restarted, since its ends then count anew.
    fn begin_poll(&mut self, now: Instant) -> u64 {
        let last_polled_at = self.polled_at.replace(now);
        let is_recent = last_polled_at.is_some_and(|at| now < at + POLL_INTERVAL_MAX);
        if self.has_report && is_recent {
            self.acknowledged_end
        } else {
            0
        }
    }

    /// Forgets what was granted to another incarnation: its clock and the numbers of its ends mean
    /// nothing to this one.
    fn note_incarnation(&mut self, incarnation_ms: u64) {
        if self.polled_incarnation_ms.replace(incarnation_ms) != Some(incarnation_ms) {
            self.told_in_news = None;
            self.deadline_ms = 0;
            self.acknowledged_end = 0;
        }
    }

    /// Returns whether an owner that has handled this message knows the incarnation that is polled.
    fn is_known_to_owner(&self, handled_news: u64) -> bool {
        let is_told = |number| handled_news >= number;
        self.polled_incarnation_ms.is_none() || self.told_in_news.is_some_and(is_told)
    }

    fn has_runs(&self) -> bool {
        let unsent = self.unsent.as_ref();
        self.has_orders
            || !self.sent_rows.is_empty()
            || unsent.is_some_and(|(_, report)| !report.running.is_empty())
    }

    /// Returns the difference of the last report to what was sent, for the message with this number.
    fn take_report(&mut self, runner: RunnerIndex, number: u64) -> Option<ReportWire> {
        let (requested_us, report) = self.unsent.take()?;
        self.is_urgent = false;
        self.told_in_news.get_or_insert(number);
        if report.incarnation_ms != self.incarnation_ms {
            self.incarnation_ms = report.incarnation_ms;
            self.sent_end = 0;
        }
        let rows: Rows = report
            .running
            .into_iter()
            .map(|row| ((row.task, row.run), row))
            .collect();
        let sent = self.sent_rows.keys();
        let gone: Vec<_> = sent.filter(|it| !rows.contains_key(it)).copied().collect();
        gone.iter().for_each(|run| drop(self.sent_rows.remove(run)));
        let mut changed = Vec::new();
        for (run, row) in rows {
            if self.sent_rows.get(&run).is_none_or(|it| differs(it, &row)) {
                changed.push(RowWire::from(&row));
                self.sent_rows.insert(run, row);
            }
        }
        let ended = report.ended.iter();
        let ended: Vec<_> = ended
            .filter(|end| end.number > self.sent_end)
            .map(EndWire::from)
            .collect();
        let last_end = ended.iter().map(|end| end.number).max();
        self.sent_end = self.sent_end.max(last_end.unwrap_or(0));
        Some(ReportWire {
            runner,
            requested_us,
            incarnation_ms: report.incarnation_ms,
            clock_ms: report.clock_ms,
            gone,
            changed,
            ended,
            has_more_ends: report.has_more_ends,
        })
    }
}

/// Returns whether a row is to be sent although an earlier one of the same run was.
fn differs(sent: &RunStatus, row: &RunStatus) -> bool {
    let change = sent.measurement.abs_diff(row.measurement);
    change * MEASUREMENT_CHANGE_FRACTION > sent.measurement
        || sent.percent != row.percent
        || sent.checkpoint != row.checkpoint
}
