//! The relay of this instance: makes calls to runners on behalf of the owners of groups.

use crate::{
    job_cache,
    keys::GroupId,
    platform::{Platform, PollRequest, RunRef},
    state::Shared,
};
use persimmon_relay::{
    Action, Batch, News, OrderCall, OrderKind, Outcome, PollCall, Refusal, Relay, RunnerIndex,
    SessionKey,
};
use persimmon_sched::Answer;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};

/// How long a runner with runs may delay its report while no run ends. A tail latency in a report
/// covers half a second.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(800);
/// Calls in flight for each thousandth of a core of capacity, which counts 10 for each Mbit/s of the
/// link: a start takes about 4 KB, and what waits for the link delays the calls that keep leases.
const CALLS_PER_CAPACITY_MILLI: f64 = 0.25;
/// Fewest and most starts, stops and CPU limits in flight, and polls of runners that have not
/// reported yet; these take a new connection each. Reads of specifications are as many.
const CALLS_MIN: usize = 4;
const CALLS_MAX: usize = 128;
/// Pause between polls of a runner, so that runs that end together are handled together.
const POLL_PAUSE: Duration = Duration::from_millis(30);
/// The pause for each run that a runner lists, and the longest one: what a report takes here and at the
/// owner grows with its length.
const POLL_PAUSE_PER_RUN: Duration = Duration::from_micros(50);
const POLL_PAUSE_MAX: Duration = Duration::from_millis(500);
/// First and longest delay before a runner that did not answer is polled again.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// Ended runs are reported again until acknowledged, so the next poll waits up to this long for it.
const ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(300);
/// Shortest time after which news is sent, so that news that comes together is sent together.
const NEWS_PAUSE: Duration = Duration::from_millis(20);

/// The relay of an instance and what wakes those who wait for it.
pub(crate) struct RelayService {
    state: RefCell<Relay>,
    has_news: Notify,
    acknowledged: Notify,
    first_polls: Semaphore,
    orders: Semaphore,
    /// Reads of specifications. A start holds none of [`Self::orders`] while it waits for its own,
    /// so that stops do not wait for the store.
    specification_reads: Semaphore,
}

impl RelayService {
    /// Creates the relay of an instance with this capacity, in thousandths of a core.
    pub(crate) fn new(capacity_millis: u32) -> Self {
        let calls = f64::from(capacity_millis) * CALLS_PER_CAPACITY_MILLI;
        let calls = (calls as usize).clamp(CALLS_MIN, CALLS_MAX);
        Self {
            state: RefCell::default(),
            has_news: Notify::new(),
            acknowledged: Notify::new(),
            first_polls: Semaphore::new(calls),
            orders: Semaphore::new(calls),
            specification_reads: Semaphore::new(calls),
        }
    }

    /// Waits until another specification may be read from the store.
    pub(crate) async fn specification_read(&self) -> Option<SemaphorePermit<'_>> {
        self.specification_reads.acquire().await.ok()
    }
}

/// The answer to a batch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayReply {
    /// The batch was handled.
    Acknowledged,
    /// The batch was handled, and this is the news since the last answer of this kind.
    News(News),
    /// As [`Self::News`]; the instance is about to stop.
    Leaving(News),
    /// The relay knows an owner with this higher fencing token.
    Superseded(u64),
    /// The relay does not know the session any more.
    SessionLost,
}

impl RelayService {
    /// Ends what is done for the owner of a group with this fencing token.
    pub(crate) fn close(&self, group: u16, fencing_token: u64) {
        self.state.borrow_mut().close(group, fencing_token);
    }
}

/// Handles a batch. With `hold`, waits for news up to this long.
pub(crate) async fn exchange<P: Platform>(
    shared: &Rc<Shared<P>>,
    batch: Batch,
    hold: Option<Duration>,
) -> RelayReply {
    let session = batch.session_key();
    let handled = {
        let mut relay = shared.relay.state.borrow_mut();
        relay.handle_batch(batch, shared.now())
    };
    match handled {
        Ok(actions) => {
            for action in actions {
                perform(shared, session, action);
            }
        }
        Err(Refusal::Superseded(fencing_token)) => return RelayReply::Superseded(fencing_token),
        Err(Refusal::SessionLost) => return RelayReply::SessionLost,
    }
    shared.relay.acknowledged.notify_waiters();
    let Some(hold) = hold else {
        return RelayReply::Acknowledged;
    };
    wait_for_news(shared, session, hold).await;
    let is_leaving = shared.draining.get();
    let mut relay = shared.relay.state.borrow_mut();
    match relay.take_news(session, shared.now()) {
        Some(news) if is_leaving => RelayReply::Leaving(news),
        Some(news) => RelayReply::News(news),
        None => RelayReply::SessionLost,
    }
}

async fn wait_for_news<P: Platform>(shared: &Shared<P>, session: SessionKey, hold: Duration) {
    tokio::time::sleep(NEWS_PAUSE.min(hold)).await;
    let urgent = async {
        loop {
            let has_news = shared.relay.has_news.notified();
            if shared.relay.state.borrow().has_urgent_news(session) {
                return;
            }
            has_news.await;
        }
    };
    let _ = tokio::time::timeout(hold.saturating_sub(NEWS_PAUSE), urgent).await;
}

fn perform<P: Platform>(shared: &Rc<Shared<P>>, session: SessionKey, action: Action) {
    let shared = Rc::clone(shared);
    match action {
        Action::Poll(runner) => {
            tokio::task::spawn_local(poll_runner(shared, session, runner));
        }
        Action::Call(call) => {
            tokio::task::spawn_local(async move {
                let outcome = make_call(&shared, &call).await;
                shared.relay.state.borrow_mut().finish_order(&call, outcome);
                shared.relay.has_news.notify_waiters();
            });
        }
    }
}

/// Renews a runner's lease and passes its reports on until the owner wants no more of them.
async fn poll_runner<P: Platform>(shared: Rc<Shared<P>>, session: SessionKey, runner: RunnerIndex) {
    let relay = &shared.relay;
    let begin = || {
        let mut state = relay.state.borrow_mut();
        state.begin_poll(session, runner, shared.now())
    };
    let mut retry_delay = RETRY_DELAY_MIN;
    while let Some(poll) = begin() {
        let permit = if poll.has_answered {
            None
        } else {
            relay.first_polls.acquire().await.ok()
        };
        let answer = shared
            .platform
            .poll(&poll.runner, poll_request(&poll))
            .await;
        drop(permit);
        let id = &poll.runner.id;
        let report = answer
            .inspect_err(|err| log::debug!("event=runner.poll_failed runner={id} fault=\"{err}\""))
            .ok();
        let is_answered = report.is_some();
        let runs = report.as_ref().map_or(0, |it| it.running.len() as u32);
        let last_end = {
            let mut state = relay.state.borrow_mut();
            state.finish_poll(runner, &poll, report)
        };
        relay.has_news.notify_waiters();
        if is_answered {
            retry_delay = RETRY_DELAY_MIN;
            wait_for_acknowledgement(&shared, session, runner, last_end).await;
            let pause = POLL_PAUSE_PER_RUN * runs;
            tokio::time::sleep(pause.clamp(POLL_PAUSE, POLL_PAUSE_MAX)).await;
        } else {
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
        }
    }
}

fn poll_request(poll: &PollCall) -> PollRequest {
    PollRequest {
        fencing_token: poll.session.fencing_token,
        acknowledged_end: poll.acknowledged_end,
        deadline_ms: poll.deadline_ms,
        wait: if !poll.has_report {
            Duration::ZERO
        } else if poll.has_runs {
            POLL_WAIT
        } else {
            poll.idle_wait
        },
    }
}

async fn wait_for_acknowledgement<P: Platform>(
    shared: &Shared<P>,
    session: SessionKey,
    runner: RunnerIndex,
    end: u64,
) {
    let is_acknowledged = || {
        let state = shared.relay.state.borrow();
        state.is_acknowledged(session, runner, end)
    };
    let acknowledged = async {
        loop {
            let acknowledged = shared.relay.acknowledged.notified();
            if is_acknowledged() {
                return;
            }
            acknowledged.await;
        }
    };
    // On a timeout polling continues, because the lease must be renewed.
    let _ = tokio::time::timeout(ACKNOWLEDGEMENT_WAIT, acknowledged).await;
}

async fn make_call<P: Platform>(shared: &Rc<Shared<P>>, call: &OrderCall) -> Outcome {
    let run = RunRef {
        task: call.task,
        number: call.run,
        fencing_token: call.session.fencing_token,
    };
    let acknowledged = match &call.kind {
        OrderKind::Start {
            checkpoint,
            deadline_ms,
            expires_at,
        } => {
            let group = GroupId(call.session.group);
            let job = job_cache::specification(shared, group, call.task.job, *expires_at).await;
            let _permit = shared.relay.orders.acquire().await.ok();
            let Some(job) = job.filter(|_| shared.now() < *expires_at) else {
                log::info!(
                    "event=start.withheld task={} run={} runner={} reason=\"the order is old\"",
                    call.task,
                    call.run,
                    call.runner.id
                );
                return Outcome::Start(Answer::Withheld);
            };
            let platform = &shared.platform;
            let started = platform.start(&call.runner, run, &job, checkpoint, *deadline_ms);
            return Outcome::Start(started.await);
        }
        OrderKind::Stop => {
            let _permit = shared.relay.orders.acquire().await.ok();
            shared.platform.stop(&call.runner, run).await
        }
        OrderKind::Throttle(percent) => {
            let _permit = shared.relay.orders.acquire().await.ok();
            let throttled = shared.platform.throttle(&call.runner, run, *percent);
            throttled.await
        }
    };
    match acknowledged {
        Ok(()) => Outcome::Acknowledged,
        Err(err) => {
            log::debug!("event=run.order task={} fault=\"{err}\"", call.task);
            Outcome::Failed
        }
    }
}
