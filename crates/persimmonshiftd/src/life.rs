//! The life of the process as types, so that no step can be taken twice or out of turn.
//!
//! `charts/member.toml` draws the same life; [`check()`] holds the two together at every start.

use crate::{context::Context, member};
use persimmon_chart::{parse, ParseError};
use std::{
    marker::PhantomData,
    sync::{atomic::Ordering, Arc},
    time::{Duration, Instant},
};

/// How often a stopping daemon looks whether requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// The longest wait for shards to be handed over at a stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(10);

const CHART_FILE: &str = "member.toml";
const CHART: &str = include_str!("../charts/member.toml");

/// A state of the life.
pub(crate) trait State {
    const NAME: &'static str;
}

/// It does not listen yet.
pub(crate) struct Starting;
/// It takes new work.
pub(crate) struct Serving;
/// New work goes elsewhere.
pub(crate) struct Draining;
/// New requests are refused.
pub(crate) struct Closing;
/// Its record is removed.
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

/// The steps between the states, as methods below: from, name, to.
const STEPS: [[&str; 3]; 4] = [
    [Starting::NAME, "serve", Serving::NAME],
    [Serving::NAME, "drain", Draining::NAME],
    [Draining::NAME, "close", Closing::NAME],
    [Closing::NAME, "leave", Gone::NAME],
];

/// Refuses a chart that draws another life than the types do.
pub(crate) fn check() -> Result<(), ParseError> {
    let chart = parse(CHART_FILE, CHART)?;
    let drawn = chart
        .transitions
        .iter()
        .map(|arrow| [&*arrow.from, &*arrow.on, &*arrow.to]);
    let other = drawn
        .zip(&chart.transitions)
        .find(|(arrow, _)| !STEPS.contains(arrow));
    let error = |line: usize, reason: &str| ParseError {
        chart: CHART_FILE.to_owned(),
        line,
        reason: reason.to_owned(),
    };
    if let Some((_, arrow)) = other {
        return Err(error(arrow.line, "the code has no such step"));
    }
    if chart.transitions.len() != STEPS.len() || chart.initial != Starting::NAME {
        return Err(error(1, "the code has other steps"));
    }
    Ok(())
}

/// The process in state `S`.
pub(crate) struct Life<S> {
    context: Arc<Context>,
    state: PhantomData<S>,
}

impl<S> Life<S> {
    fn step<T>(self) -> Life<T> {
        Life {
            context: self.context,
            state: PhantomData,
        }
    }
}

impl Life<Starting> {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            state: PhantomData,
        }
    }

    pub(crate) fn serve(self) -> Life<Serving> {
        self.step()
    }
}

impl Life<Serving> {
    /// Fails readiness, hands the shards over, and gives balancers time to notice.
    pub(crate) async fn drain(self) -> Life<Draining> {
        let context = &self.context;
        log::info!("step=drain.begin object={}", context.settings.member_id);
        context.draining.store(true, Ordering::SeqCst);
        context.gossip_now.notify_one();
        let handing_over = tokio::time::timeout(HAND_OVER_TIMEOUT, context.shards.hand_over());
        if handing_over.await.is_err() {
            log::warn!("step=drain.hand-over reason=\"not done in time; they will be taken\"");
        }
        context.gossip_now.notify_one();
        tokio::time::sleep(context.settings.drain_notice).await;
        self.step()
    }
}

impl Life<Draining> {
    /// Refuses new requests and waits for those in progress.
    pub(crate) async fn close(self) -> Life<Closing> {
        let context = &self.context;
        context.closing.store(true, Ordering::SeqCst);
        let until = Instant::now() + context.settings.drain_timeout;
        while context.services.in_progress() > 0 && Instant::now() < until {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.step()
    }
}

impl Life<Closing> {
    /// Removes this member's record.
    pub(crate) async fn leave(self) -> Life<Gone> {
        member::leave(&self.context).await;
        log::info!(
            "step=drain.end object={} attempt={}",
            self.context.settings.member_id,
            self.context.services.in_progress()
        );
        self.step()
    }
}
