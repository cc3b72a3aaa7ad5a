//! What entries write and read of jobs.

use crate::{
    front::{Accepted, Cancelled, Rejection, Request},
    keys,
    peers::{self, Question, Reply},
    platform::{Effect, Fault, Item, Platform, Txn, TxnOutcome},
    state::Shared,
};
use persimmon_sched::{JobId, JobSpec, Phase, Queue, Record};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// Kept of a caller's time for the answer's way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// A call's time where the caller names none.
const DEFAULT_PATIENCE: Duration = Duration::from_millis(2_500);
/// A store that refuses is tried again for this long before the caller is refused.
const REFUSED_PATIENCE: Duration = Duration::from_millis(700);
/// A store that does not answer is tried again for this long: the same request can be settled by a
/// process that reaches it.
const UNKNOWN_PATIENCE: Duration = Duration::from_millis(1_000);
/// Between two tries at the store.
const RETRY_AFTER: Duration = Duration::from_millis(40);
/// When a caller should come back: outages of the store last seconds.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(2);
/// When a caller should come back that met a process without a policy.
const RETRY_AFTER_START: Duration = Duration::from_secs(1);

/// What lies under a job's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Submission {
    /// The job.
    Job(JobSpec),
    /// It was cancelled before it was seen, and never runs.
    Never,
}

impl Submission {
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    fn encode(&self) -> Result<Vec<u8>, Rejection> {
        postcard::to_stdvec(self).map_err(|err| Rejection::Invalid {
            reason: err.to_string(),
        })
    }
}

/// A job's name and queue, as a path tells them.
struct Target {
    queue: Queue,
    job: JobId,
}

fn queue_of<P>(shared: &Shared<P>, request: &Request) -> Result<Queue, Rejection> {
    let policy = shared.policy.borrow();
    let policy = policy.as_ref().ok_or(Rejection::NotRun {
        retry_after: RETRY_AFTER_START,
        reason: "no policy yet",
    })?;
    let queue = policy.find(&request.host, &request.path);
    queue.cloned().ok_or(Rejection::NoQueue)
}

fn target<P>(shared: &Shared<P>, request: &Request) -> Result<Target, Rejection> {
    let queue = queue_of(shared, request)?;
    let id = &request.path[queue.prefix.len()..];
    let job = id.parse().map_err(|err| Rejection::Invalid {
        reason: format!("{err}"),
    })?;
    Ok(Target { queue, job })
}

fn give_up_at<P>(shared: &Shared<P>, request: &Request) -> Instant {
    let patience = request.patience.unwrap_or(DEFAULT_PATIENCE);
    shared.now() + patience.saturating_sub(ANSWER_MARGIN)
}

/// Sends a transaction until it is certain what became of it.
async fn settle<P: Platform>(
    shared: &Shared<P>,
    txn: &Txn,
    give_up_at: Instant,
) -> Result<TxnOutcome, Rejection> {
    let began_at = shared.now();
    let mut effect = Effect::None;
    loop {
        match shared.platform.txn(txn).await {
            Ok(outcome) => {
                shared.store_heard();
                return Ok(outcome);
            }
            Err(fault) => {
                log::debug!("event=store.txn fault=\"{fault}\"");
                if fault.effect == Effect::Unknown {
                    effect = Effect::Unknown;
                }
            }
        }
        let now = shared.now();
        let refused_for = now.saturating_duration_since(began_at);
        if effect == Effect::None && (now >= give_up_at || refused_for >= REFUSED_PATIENCE) {
            return Err(Rejection::NotRun {
                retry_after: RETRY_AFTER_OUTAGE,
                reason: "the store refuses",
            });
        }
        if effect == Effect::Unknown && (now >= give_up_at || refused_for >= UNKNOWN_PATIENCE) {
            return Err(Rejection::Unknown);
        }
        tokio::time::sleep(RETRY_AFTER).await;
    }
}

fn refuse_in_outage<P>(shared: &Shared<P>) -> Result<(), Rejection> {
    if shared.store_is_silent() {
        return Err(Rejection::NotRun {
            retry_after: RETRY_AFTER_OUTAGE,
            reason: "the store is silent",
        });
    }
    Ok(())
}

/// Accepts a job: it is in the store when this returns.
pub(crate) async fn submit<P: Platform>(
    shared: &Rc<Shared<P>>,
    request: &Request,
    spec: JobSpec,
) -> Result<Accepted, Rejection> {
    let give_up_at = give_up_at(shared, request);
    let Target { queue, job } = target(shared, request)?;
    let spec = JobSpec {
        id: job,
        queue: queue.name,
        submitted_at_ms: shared.wall_ms(),
        ..spec
    };
    spec.check().map_err(|err| Rejection::Invalid {
        reason: err.to_string(),
    })?;
    refuse_in_outage(shared)?;
    let group = shared.home(job);
    let key = keys::submission(group, job);
    let txn = Txn::create(key, Submission::Job(spec.clone()).encode()?);
    match settle(shared, &txn, give_up_at).await? {
        TxnOutcome::Done { .. } => {
            peers::tell(shared, group, Question::Submitted(spec));
            Ok(Accepted { is_new: true })
        }
        TxnOutcome::Conflict { .. } | TxnOutcome::NoLease => Ok(Accepted { is_new: false }),
    }
}

/// Cancels a job. One that is not known is kept from ever running.
pub(crate) async fn cancel<P: Platform>(
    shared: &Rc<Shared<P>>,
    request: &Request,
) -> Result<Cancelled, Rejection> {
    let give_up_at = give_up_at(shared, request);
    let Target { job, .. } = target(shared, request)?;
    refuse_in_outage(shared)?;
    let group = shared.home(job);
    let txn = Txn::create(keys::submission(group, job), Submission::Never.encode()?);
    let items = match settle(shared, &txn, give_up_at).await? {
        TxnOutcome::Done { .. } | TxnOutcome::NoLease => return Ok(Cancelled::Unknown),
        TxnOutcome::Conflict { items } => items,
    };
    if is_never(&items) {
        return Ok(Cancelled::Unknown);
    }
    let txn = Txn::create(keys::cancellation(group, job), Vec::new());
    settle(shared, &txn, give_up_at).await?;
    peers::tell(shared, group, Question::Cancelled(job));
    Ok(Cancelled::Known)
}

fn is_never(items: &[Item]) -> bool {
    let first = items.first();
    first.is_some_and(|item| Submission::decode(&item.value) == Ok(Submission::Never))
}

/// A job's phase; `None` for a job that is not known.
pub(crate) async fn phase<P: Platform>(
    shared: &Shared<P>,
    request: &Request,
) -> Result<Option<Phase>, Rejection> {
    let Target { job, .. } = target(shared, request)?;
    if let Some(phase) = local_phase(shared, job) {
        return Ok(Some(phase));
    }
    let group = shared.home(job);
    if let Some(Reply::Phase(phase)) = peers::ask(shared, group, &Question::Phase(job)).await {
        return Ok(Some(phase));
    }
    let give_up_at = give_up_at(shared, request);
    loop {
        let unsure = match read_phase(shared, job).await {
            Ok(phase) => return Ok(phase),
            Err(fault) => fault,
        };
        log::debug!("event=job.phase job={job} fault=\"{unsure}\"");
        if shared.now() >= give_up_at || shared.store_is_silent() {
            return Err(Rejection::NotRun {
                retry_after: RETRY_AFTER_OUTAGE,
                reason: "the store does not answer",
            });
        }
        tokio::time::sleep(RETRY_AFTER).await;
    }
}

fn local_phase<P>(shared: &Shared<P>, job: JobId) -> Option<Phase> {
    let groups = shared.groups.borrow();
    let phase = groups.get(&shared.home(job))?.engine.borrow().phase(job);
    phase
}

async fn read_phase<P: Platform>(shared: &Shared<P>, job: JobId) -> Result<Option<Phase>, Fault> {
    let group = shared.home(job);
    let record = shared.platform.get(&keys::record(group, job)).await?;
    shared.store_heard();
    if let Some(item) = record {
        match Record::decode(&item.value) {
            Ok(record) => return Ok(Some(record.phase)),
            Err(err) => log::error!("event=record.broken job={job} fault=\"{err}\""),
        }
    }
    let submission = shared.platform.get(&keys::submission(group, job)).await?;
    let Some(item) = submission else {
        return Ok(None);
    };
    let is_never = is_never(std::slice::from_ref(&item));
    Ok(Some(if is_never {
        Phase::Cancelled
    } else {
        Phase::Queued
    }))
}

/// The jobs of a queue that wait for their first start.
pub(crate) async fn waiting<P: Platform>(
    shared: &Shared<P>,
    request: &Request,
) -> Result<u64, Rejection> {
    let queue = queue_of(shared, request)?;
    let mut total = 0;
    for number in 0..shared.options.group_count {
        let group = keys::GroupId(number);
        let local = {
            let groups = shared.groups.borrow();
            let loaded = groups.get(&group).filter(|it| it.is_loaded.get());
            loaded.map(|it| it.engine.borrow().waiting_jobs())
        };
        let counts = match local {
            Some(counts) => counts,
            None => match peers::ask(shared, group, &Question::Waiting(number)).await {
                Some(Reply::Waiting(counts)) => counts,
                _ => read_summary(shared, group).await?,
            },
        };
        total += counts.get(&queue.name).copied().unwrap_or(0);
    }
    Ok(total)
}

async fn read_summary<P: Platform>(
    shared: &Shared<P>,
    group: keys::GroupId,
) -> Result<BTreeMap<String, u64>, Rejection> {
    let unsure = |reason| Rejection::NotRun {
        retry_after: RETRY_AFTER_OUTAGE,
        reason,
    };
    let item = shared.platform.get(&keys::summary(group)).await;
    let item = item.map_err(|_| unsure("the store does not answer"))?;
    shared.store_heard();
    let Some(item) = item else {
        return Ok(BTreeMap::new());
    };
    postcard::from_bytes(&item.value).map_err(|_| unsure("the summary can't be read"))
}
