//! Fixtures: an owner's link and a relay that exchange batches for news.

use persimmon_relay::{
    Action, Batch, Event, Link, News, OrderCall, PollCall, Refusal, Relay, RunnerAddress,
    RunnerIndex, SessionKey,
};
use persimmon_sched::{End, EndKind, JobId, JobSpec, Order, Report, RunStatus, StepSpec, TaskId};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

pub(crate) const GROUP: u16 = 3;
pub(crate) const TOKEN: u64 = 40;
/// Lease deadline of starts.
const DEADLINE_MS: u64 = 9_000;

pub(crate) fn address(id: &str) -> RunnerAddress {
    RunnerAddress {
        id: id.to_owned(),
        address: format!("{id}:80"),
    }
}

pub(crate) fn task(index: u16) -> TaskId {
    TaskId {
        job: JobId::new(7),
        occurrence: 0,
        step: 0,
        index,
    }
}

pub(crate) fn start(runner: &str, index: u16) -> Order {
    Order::Start {
        runner: runner.to_owned(),
        task: task(index),
        run: 1,
        job: Arc::new(JobSpec {
            id: JobId::new(7),
            queue: "quotes".to_owned(),
            payload: "work".to_owned(),
            submitted_at_ms: 0,
            steps: vec![StepSpec::default()],
            schedule: None,
        }),
        checkpoint: String::new(),
    }
}

pub(crate) fn row(index: u16, measurement: u64) -> RunStatus {
    RunStatus {
        task: task(index),
        run: 1,
        checkpoint: String::new(),
        measurement,
        percent: 100,
    }
}

pub(crate) fn end(number: u64, index: u16) -> End {
    End {
        number,
        task: task(index),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    }
}

pub(crate) fn report(running: Vec<RunStatus>, ended: Vec<End>) -> Report {
    Report {
        incarnation_ms: 1,
        clock_ms: 5_000,
        running,
        ended,
        has_more_ends: false,
    }
}

fn new_link(session: u64) -> Link {
    let mut link = Link::new(GROUP, TOKEN, session);
    link.add_runner(address("a"));
    link
}

/// A link and a relay with one runner, `a`.
pub(crate) struct Pair {
    pub(crate) link: Link,
    pub(crate) relay: Relay,
    pub(crate) started_at: Instant,
    pub(crate) now: Instant,
    pub(crate) index: RunnerIndex,
    session: u64,
}

impl Pair {
    /// Connects the two; the first news has been handled.
    pub(crate) fn connected() -> Self {
        let mut pair = Self::unanswered();
        pair.exchange_news();
        pair
    }

    /// The relay has handled the first batch, and the owner has had no news.
    pub(crate) fn unanswered() -> Self {
        let now = Instant::now();
        let mut pair = Self {
            link: new_link(1),
            relay: Relay::default(),
            started_at: now,
            now,
            index: RunnerIndex(0),
            session: 1,
        };
        let actions = pair.deliver_batch(0, None).expect("accepted");
        let mut polls = actions.iter().filter_map(|it| match it {
            Action::Poll(index) => Some(*index),
            Action::Call(_) => None,
        });
        pair.index = polls.next_back().expect("a runner to poll");
        pair
    }

    /// Closes the link and replaces it by one with a new session.
    pub(crate) fn reopen(&mut self) -> Vec<Event> {
        let events = self.link.close();
        self.session += 1;
        self.link = new_link(self.session);
        events
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    pub(crate) fn session_key(&self) -> SessionKey {
        SessionKey {
            group: GROUP,
            fencing_token: TOKEN,
            number: self.session,
        }
    }

    pub(crate) fn batch(&mut self, acknowledged_end: u64, deadline_ms: Option<u64>) -> Batch {
        let made_at_us = (self.now - self.started_at).as_micros() as u64;
        let idle_wait = Duration::from_millis(800);
        let end = |_: &str| acknowledged_end;
        let link = &mut self.link;
        let mut batch = link.take_batch(self.now, made_at_us, idle_wait, end, |_| deadline_ms);
        link.add_orders(&mut batch, usize::MAX, |_, _, _| Ok(DEADLINE_MS));
        batch
    }

    pub(crate) fn deliver_batch(
        &mut self,
        acknowledged_end: u64,
        deadline_ms: Option<u64>,
    ) -> Result<Vec<Action>, Refusal> {
        let batch = self.batch(acknowledged_end, deadline_ms);
        self.relay.handle_batch(batch, self.now)
    }

    pub(crate) fn news(&mut self) -> Option<News> {
        self.relay.take_news(self.session_key(), self.now)
    }

    pub(crate) fn exchange_news(&mut self) -> Vec<Event> {
        let news = self.news().expect("an open session");
        self.link.handle_news(news)
    }

    pub(crate) fn begin_poll(&mut self) -> Option<PollCall> {
        let key = self.session_key();
        self.relay.begin_poll(key, self.index, self.now)
    }

    /// Polls the runner, which answers at once; `None` if it does not.
    pub(crate) fn poll(&mut self, report: Option<Report>) {
        let poll = self.begin_poll().expect("a poll");
        self.relay.finish_poll(self.index, &poll, report);
    }
}

/// Returns the calls among `actions`.
pub(crate) fn calls(actions: Vec<Action>) -> Vec<OrderCall> {
    let call = |action| match action {
        Action::Call(call) => Some(call),
        Action::Poll(_) => None,
    };
    actions.into_iter().filter_map(call).collect()
}
