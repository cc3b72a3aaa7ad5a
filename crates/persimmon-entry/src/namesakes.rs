//! Jobs of several queues with the same number.
//!
//! The first of them is stored under the number alone, as long as any of them is. One of another queue
//! is stored under the number and a hash of its queue. Runners know tasks by the number alone, so a job
//! is refused if the queue of another one with its number has the same runners.

use crate::{
    handle::Rejection,
    keys::{self, GroupId, JobKey},
    platform::{CallError, Item, Platform, Precondition, Txn, TxnOutcome, Write},
    requests::{run_until, send_until_settled},
    state::Shared,
    submission::Submission,
};
use persimmon_sched::{JobId, Phase, Queue};
use std::time::{Duration, Instant};

/// Most attempts to store a job while jobs with its number come and end.
const ATTEMPTS_MAX: u32 = 8;

const NUMBER_NOT_READ: Rejection = Rejection::NotRun {
    retry_after: Duration::from_secs(2),
    reason: "the jobs with this number can't be read, or change all the time",
};

/// The outcome of [`claim_number`].
pub(crate) enum Claimed {
    /// The submission was written, for the job with this id.
    New(JobId),
    /// The queue has this job with the number already.
    Known(Box<Namesake>),
}

/// A job in the store, one of those with its number.
pub(crate) struct Namesake {
    pub(crate) id: JobId,
    /// `None` if it can't be decoded.
    pub(crate) submission: Option<Submission>,
    item: Item,
}

impl Namesake {
    fn new(id: JobId, item: Item) -> Self {
        Self {
            id,
            submission: Submission::of_item(&item),
            item,
        }
    }

    /// The phase that a job ended in that is known by its submission alone.
    pub(crate) fn ended_phase(&self) -> Option<Phase> {
        match self.submission {
            Some(Submission::Tombstone { .. }) => Some(Phase::Cancelled),
            Some(Submission::Ended { phase, .. }) => Some(phase),
            Some(Submission::Job(_) | Submission::Accepted(_)) | None => None,
        }
    }

    /// Returns whether it is the job of this queue. One whose queue is not known, as an earlier version
    /// wrote it, had the number for all queues.
    pub(crate) fn is_of(&self, queue: &str) -> bool {
        let own = self.submission.as_ref().and_then(Submission::queue);
        own.is_none_or(|it| it == queue)
    }

    /// Returns whether its tasks may have been on the runners of a queue's service.
    fn shares_runners<P>(&self, shared: &Shared<P>, queue: &Queue) -> bool {
        let accepted = match &self.submission {
            // It has no tasks.
            Some(Submission::Tombstone { .. }) => return false,
            Some(Submission::Accepted(job)) => job.queue.as_ref(),
            Some(Submission::Job(_) | Submission::Ended { .. }) | None => None,
        };
        let policy = shared.policy.borrow();
        let name = self.submission.as_ref().and_then(Submission::queue);
        let current = policy.as_ref().zip(name);
        let current = current.and_then(|(policy, name)| policy.queue(name));
        let mut services = accepted.into_iter().chain(current).peekable();
        services.peek().is_none() || services.any(|it| it.service == queue.service)
    }
}

/// Reads the job of a queue with this number.
pub(crate) async fn find<P: Platform>(
    shared: &Shared<P>,
    queue: &str,
    number: u64,
) -> Result<Option<Namesake>, CallError> {
    let jobs = read(shared, number).await?;
    Ok(jobs.into_iter().find(|it| it.is_of(queue)))
}

/// Reads all jobs with this number, the first one first.
async fn read<P: Platform>(shared: &Shared<P>, number: u64) -> Result<Vec<Namesake>, CallError> {
    let group = shared.home_group(number);
    let prefix = keys::submissions(group, number);
    // As many as fit in a page: each has a service of its own.
    let page = shared.platform.range(&prefix, "").await?;
    shared.record_store_answer();
    Ok(stored_jobs(group, page.items).collect())
}

fn stored_jobs(group: GroupId, items: Vec<Item>) -> impl Iterator<Item = Namesake> {
    let items = items.into_iter();
    items.filter_map(move |item| match keys::parse(group, &item.key) {
        Some(JobKey::Submission(id)) => Some(Namesake::new(id, item)),
        _ => None,
    })
}

/// Writes the submission of a job, unless its queue has a job with the number already. Fails if the
/// number is taken by a job of another queue with the same runners.
pub(crate) async fn claim_number<P: Platform>(
    shared: &Shared<P>,
    queue: &Queue,
    number: u64,
    submission: &Submission,
    deadline: Instant,
) -> Result<Claimed, Rejection> {
    let group = shared.home_group(number);
    let first = JobId::new(number);
    let later = JobId::of_queue(number, &queue.name);
    let value = submission.encode()?;
    for _ in 0..ATTEMPTS_MAX {
        let mut txn = Txn::create(keys::submission(group, first), value.clone());
        let no_later = Precondition::absent(keys::submission(group, later));
        txn.preconditions.push(no_later);
        let items = match send_until_settled(shared, &txn, deadline).await? {
            TxnOutcome::Done { .. } => return Ok(Claimed::New(first)),
            TxnOutcome::NoLease => return Err(Rejection::Unknown),
            TxnOutcome::Conflict { items } => items,
        };
        if let Some(own) = stored_jobs(group, items).find(|it| it.is_of(&queue.name)) {
            return Ok(Claimed::Known(Box::new(own)));
        }
        let jobs = run_until(shared, deadline, read(shared, number)).await;
        let Some(Ok(jobs)) = jobs else {
            return Err(NUMBER_NOT_READ);
        };
        let (own, others): (Vec<_>, Vec<_>) =
            jobs.into_iter().partition(|it| it.is_of(&queue.name));
        if let Some(own) = own.into_iter().next() {
            return Ok(Claimed::Known(Box::new(own)));
        }
        check_runners(shared, queue, later, &others, submission)?;
        // It may have been removed since.
        let Some(first_job) = others.iter().find(|it| it.id == first) else {
            continue;
        };
        let create = Txn::create(keys::submission(group, later), value.clone());
        let txn = after_first_job(create, &first_job.item);
        match send_until_settled(shared, &txn, deadline).await? {
            TxnOutcome::Done { .. } => return Ok(Claimed::New(later)),
            TxnOutcome::NoLease => return Err(Rejection::Unknown),
            TxnOutcome::Conflict { .. } => {}
        }
    }
    Err(NUMBER_NOT_READ)
}

/// Fails if a job with this id can't be stored beside others with its number: runners would take its
/// tasks for theirs, or the hashes of two queues are the same.
fn check_runners<P>(
    shared: &Shared<P>,
    queue: &Queue,
    id: JobId,
    others: &[Namesake],
    submission: &Submission,
) -> Result<(), Rejection> {
    let has_tasks = !matches!(submission, Submission::Tombstone { .. });
    let mut others = others.iter();
    let is_taken = others.any(|it| it.id == id || (has_tasks && it.shares_runners(shared, queue)));
    if !is_taken {
        return Ok(());
    }
    Err(Rejection::NotRun {
        retry_after: shared.options.engine.retention,
        reason: "a job of another queue with the same runners has this number",
    })
}

/// Makes the transaction that writes a later job depend on the first one, which it writes again as it
/// is, so that of two such transactions the second finds that it has changed.
fn after_first_job(mut txn: Txn, first: &Item) -> Txn {
    txn.preconditions.push(Precondition {
        key: first.key.clone(),
        revision: first.revision,
    });
    txn.writes
        .push(Write::unleased(first.key.clone(), first.value.clone()));
    txn
}
