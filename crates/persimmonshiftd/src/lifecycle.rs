//! The lifecycle of the process as a typestate, so that no transition can be made twice or out of
//! order.
//!
//! `charts/member.toml` describes the same state machine; [`check_chart()`] compares the two at
//! every start.

use crate::{context::Context, member};
use persimmon_chart::{parse, ParseError};
use std::{
    marker::PhantomData,
    sync::{atomic::Ordering, Arc},
    time::{Duration, Instant},
};

/// How often a closing daemon checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for handing the shards over at shutdown.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(10);

const CHART_FILE: &str = "member.toml";
const CHART: &str = include_str!("../charts/member.toml");

/// A state of the lifecycle.
pub(crate) trait State {
    const NAME: &'static str;
}

/// The daemon does not listen yet.
pub(crate) struct Starting;
/// The daemon accepts new work.
pub(crate) struct Serving;
/// Readiness fails, so that new work goes to other daemons; requests are still served.
pub(crate) struct Draining;
/// New requests are refused; those in progress finish.
pub(crate) struct Closing;
/// The member's record is removed from the store.
pub(crate) struct Gone;

impl State for Starting {
    const NAME: &'static str = "starting";
}
impl State for Serving {
    const NAME: &'static str = "serving";
}
impl State for Draining {
    const NAME: &'static str = "draining";
}
impl State for Closing {
    const NAME: &'static str = "closing";
}
impl State for Gone {
    const NAME: &'static str = "gone";
}

/// The transitions, which are the methods below: source state, event, target state.
const TRANSITIONS: [[&str; 3]; 4] = [
    [Starting::NAME, "serve", Serving::NAME],
    [Serving::NAME, "drain", Draining::NAME],
    [Draining::NAME, "close", Closing::NAME],
    [Closing::NAME, "leave", Gone::NAME],
];

/// Fails if the chart describes a different state machine than the types do.
pub(crate) fn check_chart() -> Result<(), ParseError> {
    let chart = parse(CHART_FILE, CHART)?;
    let charted = chart
        .transitions
        .iter()
        .map(|transition| [&*transition.from, &*transition.on, &*transition.to]);
    let unknown = charted
        .zip(&chart.transitions)
        .find(|(transition, _)| !TRANSITIONS.contains(transition));
    let error = |line: usize, reason: &str| ParseError {
        file: CHART_FILE.to_owned(),
        line,
        reason: reason.to_owned(),
    };
    if let Some((_, transition)) = unknown {
        return Err(error(transition.line, "the code has no such transition"));
    }
    if chart.transitions.len() != TRANSITIONS.len() || chart.initial != Starting::NAME {
        return Err(error(
            1,
            "the code has other transitions or another initial state",
        ));
    }
    Ok(())
}

/// The process in the lifecycle state `S`.
pub(crate) struct Lifecycle<S> {
    context: Arc<Context>,
    state: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    fn transition<T>(self) -> Lifecycle<T> {
        Lifecycle {
            context: self.context,
            state: PhantomData,
        }
    }
}

impl Lifecycle<Starting> {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            state: PhantomData,
        }
    }

    pub(crate) fn serve(self) -> Lifecycle<Serving> {
        self.transition()
    }
}

impl Lifecycle<Serving> {
    /// Fails readiness, hands the shards over, and gives load balancers time to notice.
    pub(crate) async fn drain(self) -> Lifecycle<Draining> {
        let context = &self.context;
        log::info!("step=drain.begin object={}", context.settings.member_id);
        context.draining.store(true, Ordering::SeqCst);
        context.gossip_now.notify_one();
        let hand_over = tokio::time::timeout(HAND_OVER_TIMEOUT, context.shards.hand_over());
        if hand_over.await.is_err() {
            log::warn!(
                "step=drain.hand-over reason=\"timed out; other daemons will take them over\""
            );
        }
        context.gossip_now.notify_one();
        tokio::time::sleep(context.settings.drain_notice).await;
        self.transition()
    }
}

impl Lifecycle<Draining> {
    /// Refuses new requests and waits for those in progress, for at most the drain timeout.
    pub(crate) async fn close(self) -> Lifecycle<Closing> {
        let context = &self.context;
        context.closing.store(true, Ordering::SeqCst);
        let deadline = Instant::now() + context.settings.drain_timeout;
        while context.services.in_progress() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.transition()
    }
}

impl Lifecycle<Closing> {
    /// Removes this member's record from the store.
    pub(crate) async fn leave(self) -> Lifecycle<Gone> {
        member::leave(&self.context).await;
        log::info!(
            "step=drain.end object={} attempt={}",
            self.context.settings.member_id,
            self.context.services.in_progress()
        );
        self.transition()
    }
}
