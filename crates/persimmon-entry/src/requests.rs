//! Callers' requests: submitting and cancelling jobs, and reading their state.

use crate::{
    handle::{Accepted, Cancelled, Rejection, Request},
    keys,
    namesakes::{self, claim_number, Claimed},
    peers::{self, PeerReply, PeerRequest},
    platform::{CallError, Effect, Platform, Txn, TxnOutcome},
    state::Shared,
    submission::{AcceptedJob, Submission},
};
use persimmon_sched::{JobId, JobSpec, Phase, Queue, Record};
use std::{
    collections::BTreeMap,
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

/// Part of a caller's timeout that is reserved for sending the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// The reserved part is at most this fraction of the timeout.
const ANSWER_MARGIN_DIVISOR: u32 = 4;
/// Timeout of a request that names none.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a transaction that the store refuses is retried before the request is rejected.
const REFUSED_RETRY_LIMIT: Duration = Duration::from_millis(700);
/// How long a transaction without an answer is retried. The caller can repeat the request at a
/// process that reaches the store.
const UNANSWERED_RETRY_LIMIT: Duration = Duration::from_millis(1_000);
/// Delay between attempts of a call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Retry time given to callers during an outage of the store. Outages last seconds.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(2);
/// Retry time given to callers while the process has no policy yet.
const RETRY_AFTER_START: Duration = Duration::from_secs(1);

const STORE_DOES_NOT_ANSWER: Rejection = Rejection::NotRun {
    retry_after: RETRY_AFTER_OUTAGE,
    reason: "the store does not answer",
};

/// Queue and number of the job that a request's path names.
struct JobTarget {
    queue: Queue,
    number: u64,
}

fn find_queue<P>(shared: &Shared<P>, request: &Request) -> Result<Queue, Rejection> {
    let policy = shared.policy.borrow();
    let policy = policy.as_ref().ok_or(Rejection::NotRun {
        retry_after: RETRY_AFTER_START,
        reason: "no policy yet",
    })?;
    let queue = policy.find(&request.host, &request.path);
    queue.cloned().ok_or(Rejection::NoQueue)
}

fn parse_target<P>(shared: &Shared<P>, request: &Request) -> Result<JobTarget, Rejection> {
    let queue = find_queue(shared, request)?;
    let id = &request.path[queue.prefix.len()..];
    let job: Result<JobId, _> = id.parse();
    let job = job.map_err(|err| Rejection::Invalid {
        reason: format!("{err}"),
    })?;
    Ok(JobTarget {
        queue,
        number: job.number,
    })
}

/// When the answer must be ready.
fn deadline<P>(shared: &Shared<P>, request: &Request) -> Instant {
    let timeout = request.timeout.unwrap_or(DEFAULT_REQUEST_TIMEOUT);
    let margin = ANSWER_MARGIN.min(timeout / ANSWER_MARGIN_DIVISOR);
    shared.now() + (timeout - margin)
}

/// Runs a future until the deadline at the latest.
pub(crate) async fn run_until<P, T>(
    shared: &Shared<P>,
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Option<T> {
    let remaining = deadline.saturating_duration_since(shared.now());
    tokio::time::timeout(remaining, future).await.ok()
}

/// Sends a transaction until its outcome is certain or the deadline has passed.
pub(crate) async fn send_until_settled<P: Platform>(
    shared: &Shared<P>,
    txn: &Txn,
    deadline: Instant,
) -> Result<TxnOutcome, Rejection> {
    let started_at = shared.now();
    let mut effect = Effect::None;
    loop {
        match run_until(shared, deadline, shared.platform.txn(txn)).await {
            Some(Ok(outcome)) => {
                shared.record_store_answer();
                return Ok(outcome);
            }
            None => return Err(Rejection::Unknown),
            Some(Err(err)) => {
                log::debug!("event=store.txn fault=\"{err}\"");
                if err.effect == Effect::Unknown {
                    effect = Effect::Unknown;
                }
            }
        }
        let now = shared.now();
        let retried_for = now.saturating_duration_since(started_at);
        let is_late = now + RETRY_DELAY >= deadline;
        if effect == Effect::None && (is_late || retried_for >= REFUSED_RETRY_LIMIT) {
            return Err(Rejection::NotRun {
                retry_after: RETRY_AFTER_OUTAGE,
                reason: "the store refuses",
            });
        }
        if effect == Effect::Unknown && (is_late || retried_for >= UNANSWERED_RETRY_LIMIT) {
            return Err(Rejection::Unknown);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn reject_in_outage<P>(shared: &Shared<P>) -> Result<(), Rejection> {
    if shared.store_is_unreachable() {
        return Err(Rejection::NotRun {
            retry_after: RETRY_AFTER_OUTAGE,
            reason: "the store is silent",
        });
    }
    Ok(())
}

/// Accepts a job. The job is in the store when this succeeds.
pub(crate) async fn submit<P: Platform>(
    shared: &Rc<Shared<P>>,
    request: &Request,
    spec: JobSpec,
) -> Result<Accepted, Rejection> {
    let deadline = deadline(shared, request);
    let JobTarget { queue, number } = parse_target(shared, request)?;
    let spec = JobSpec {
        id: JobId::new(number),
        queue: queue.name.clone(),
        submitted_at_ms: shared.wall_ms(),
        ..spec
    };
    spec.check().map_err(|err| Rejection::Invalid {
        reason: err.to_string(),
    })?;
    reject_in_outage(shared)?;
    let group = shared.home_group(number);
    let accepted = AcceptedJob {
        spec,
        queue: Some(queue.clone()),
    };
    let submission = Submission::Accepted(accepted.clone());
    match claim_number(shared, &queue, number, &submission, deadline).await? {
        Claimed::New(id) => {
            let submitted = PeerRequest::Submitted(id, Box::new(accepted));
            peers::notify_owner(shared, group, submitted);
            Ok(Accepted { is_new: true })
        }
        Claimed::Known(_) => Ok(Accepted { is_new: false }),
    }
}

/// Cancels a job. An unknown job is kept from ever running.
pub(crate) async fn cancel<P: Platform>(
    shared: &Rc<Shared<P>>,
    request: &Request,
) -> Result<Cancelled, Rejection> {
    let deadline = deadline(shared, request);
    let JobTarget { queue, number } = parse_target(shared, request)?;
    reject_in_outage(shared)?;
    let group = shared.home_group(number);
    let tombstone = Submission::Tombstone {
        queue: Some(queue.name.clone()),
    };
    let known = match claim_number(shared, &queue, number, &tombstone, deadline).await? {
        Claimed::New(_) => return Ok(Cancelled::Unknown),
        Claimed::Known(known) => known,
    };
    match known.submission {
        Some(Submission::Tombstone { .. }) => return Ok(Cancelled::Unknown),
        Some(Submission::Ended { .. }) => return Ok(Cancelled::Known),
        Some(Submission::Job(_) | Submission::Accepted(_)) | None => {}
    }
    let id = known.id;
    let txn = Txn::create(keys::cancellation(group, id), Vec::new());
    if send_until_settled(shared, &txn, deadline).await? == TxnOutcome::NoLease {
        return Err(Rejection::Unknown);
    }
    peers::notify_owner(shared, group, PeerRequest::Cancelled(id));
    Ok(Cancelled::Known)
}

/// Returns the phase of a job; `None` if the job is not known.
pub(crate) async fn phase<P: Platform>(
    shared: &Shared<P>,
    request: &Request,
) -> Result<Option<Phase>, Rejection> {
    let deadline = deadline(shared, request);
    let target = parse_target(shared, request)?;
    if let Some(phase) = local_phase(shared, &target) {
        return Ok(Some(phase));
    }
    let phase = run_until(shared, deadline, remote_phase(shared, &target)).await;
    phase.unwrap_or(Err(STORE_DOES_NOT_ANSWER))
}

/// Returns the phase of a job from its group's owner or from the store.
async fn remote_phase<P: Platform>(
    shared: &Shared<P>,
    target: &JobTarget,
) -> Result<Option<Phase>, Rejection> {
    let group = shared.home_group(target.number);
    let request = PeerRequest::Phase(target.queue.name.clone(), target.number);
    if let Some(PeerReply::Phase(phase)) = peers::call_owner(shared, group, &request).await {
        return Ok(Some(phase));
    }
    loop {
        let error = match read_phase(shared, target).await {
            Ok(phase) => return Ok(phase),
            Err(err) => err,
        };
        let job = JobId::new(target.number);
        log::debug!("event=job.phase job={job} fault=\"{error}\"");
        if shared.store_is_unreachable() {
            return Err(STORE_DOES_NOT_ANSWER);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn local_phase<P>(shared: &Shared<P>, target: &JobTarget) -> Option<Phase> {
    let groups = shared.groups.borrow();
    let group = groups.get(&shared.home_group(target.number))?;
    let phase = group
        .engine
        .borrow()
        .phase_of(&target.queue.name, target.number);
    phase
}

async fn read_phase<P: Platform>(
    shared: &Shared<P>,
    target: &JobTarget,
) -> Result<Option<Phase>, CallError> {
    let mut id = JobId::new(target.number);
    loop {
        // Read first: once the job has ended, its record may be removed, or be a delayed write.
        let recorded = read_recorded_phase(shared, id).await?;
        let own = namesakes::find(shared, &target.queue.name, target.number).await?;
        let Some(own) = own else {
            return Ok(None);
        };
        if own.id == id {
            let phase = own.ended_phase().or(recorded);
            return Ok(Some(phase.unwrap_or(Phase::Queued)));
        }
        id = own.id;
    }
}

/// Returns the phase in the record of a job; `None` if there is none that can be decoded.
async fn read_recorded_phase<P: Platform>(
    shared: &Shared<P>,
    id: JobId,
) -> Result<Option<Phase>, CallError> {
    let group = shared.home_group(id.number);
    let record = shared.platform.get(&keys::record(group, id)).await?;
    shared.record_store_answer();
    Ok(record.and_then(|item| match Record::decode(&item.value) {
        Ok(record) => Some(record.phase),
        Err(err) => {
            log::error!("event=record.invalid job={id} fault=\"{err}\"");
            None
        }
    }))
}

/// Returns the number of a queue's jobs that wait for their first start.
pub(crate) async fn waiting<P: Platform>(
    shared: &Shared<P>,
    request: &Request,
) -> Result<u64, Rejection> {
    let deadline = deadline(shared, request);
    let queue = find_queue(shared, request)?;
    let total = run_until(shared, deadline, count_waiting(shared, &queue.name)).await;
    total.unwrap_or(Err(STORE_DOES_NOT_ANSWER))
}

async fn count_waiting<P: Platform>(shared: &Shared<P>, queue: &str) -> Result<u64, Rejection> {
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
            None => match peers::call_owner(shared, group, &PeerRequest::Waiting(number)).await {
                Some(PeerReply::Waiting(counts)) => counts,
                _ => read_summary(shared, group).await?,
            },
        };
        total += counts.get(queue).copied().unwrap_or(0);
    }
    Ok(total)
}

async fn read_summary<P: Platform>(
    shared: &Shared<P>,
    group: keys::GroupId,
) -> Result<BTreeMap<String, u64>, Rejection> {
    let item = shared.platform.get(&keys::summary(group)).await;
    let item = item.map_err(|_| STORE_DOES_NOT_ANSWER)?;
    shared.record_store_answer();
    let Some(item) = item else {
        return Ok(BTreeMap::new());
    };
    postcard::from_bytes(&item.value).map_err(|_| Rejection::NotRun {
        retry_after: RETRY_AFTER_OUTAGE,
        reason: "the summary can't be read",
    })
}
