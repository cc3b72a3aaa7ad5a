use super::{activity::Part, OwnedGroup};
use crate::{
    handle::Rejection,
    keys,
    platform::{CallError, Item, Platform, Precondition, Txn, TxnOutcome, Write},
    submission::Submission,
};
use persimmon_sched::{Commit, JobId, Phase};
use serde::Serialize;
use std::{collections::HashMap, rc::Rc, slice, time::Duration};

/// Records per transaction. Each takes two entries, which with the owner's key stays within the
/// limit of 32 entries.
const RECORDS_PER_TXN_MAX: usize = 15;
/// Settled jobs per transaction. Each takes three entries.
const SETTLED_JOBS_PER_TXN_MAX: usize = 10;
/// Interval between checks for settled jobs. The longer it is, the more of them share a
/// transaction.
const SETTLED_INTERVAL: Duration = Duration::from_millis(400);
/// Keys removed per transaction.
const REMOVALS_PER_TXN_MAX: usize = 30;
/// Transactions that may be in flight at once.
const TXNS_IN_FLIGHT_MAX: usize = 4;
/// Interval between batches of changed records. Records that change together share a transaction,
/// which keeps the number of transactions low.
const COMMIT_INTERVAL: Duration = Duration::from_millis(15);
/// Share of the link of this process that records may use. Records that wait are written with what
/// has changed meanwhile, so a slow link makes fewer of them.
const RECORDS_LINK_SHARE: f64 = 0.4;
/// Estimated size of a record and of a task in it.
const RECORD_BYTES: usize = 300;
const RECORD_TASK_BYTES: usize = 24;
/// Estimated size of the entries of a settled job in a transaction.
const SETTLED_JOB_BYTES: usize = 200;
/// First and longest delay before an unanswered write is retried.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(320);
/// Delay before a record that the store rejected is written again: the store's limits may change.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Interval at which the number of waiting jobs is checked. Callers may see a count two seconds
/// old.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

/// The result of writing records.
enum Written {
    /// They are written, with these revisions of their keys.
    Applied(HashMap<String, u64>),
    /// The store rejects this transaction for its contents.
    Rejected(CallError),
    /// This process stops serving the group.
    Stopped,
}

impl<P: Platform> OwnedGroup<P> {
    /// Writes records as they change. Never returns.
    pub(super) async fn commit(self: Rc<Self>) {
        loop {
            self.commit_wake.notified().await;
            let mut bytes = 0;
            while self.commits_in_flight.get() < TXNS_IN_FLIGHT_MAX {
                let commits = self.timed(Part::Record, || {
                    self.engine.borrow_mut().take_commits(RECORDS_PER_TXN_MAX)
                });
                if commits.is_empty() {
                    break;
                }
                bytes += commits.iter().map(estimated_bytes).sum::<usize>();
                self.commits_in_flight.set(self.commits_in_flight.get() + 1);
                self.spawn(Rc::clone(&self).write(commits));
            }
            let sending_time = self.shared.sending_time(bytes, RECORDS_LINK_SHARE);
            tokio::time::sleep(COMMIT_INTERVAL.max(sending_time)).await;
        }
    }

    async fn write(self: Rc<Self>, commits: Vec<Commit>) {
        if let Err(err) = self.write_records(&commits).await {
            log::warn!(
                "event=record.rejected group={} records={} fault=\"{err}\"",
                self.id.0,
                commits.len()
            );
            self.write_separately(commits).await;
        }
        self.commits_in_flight.set(self.commits_in_flight.get() - 1);
        self.commit_wake.notify_one();
    }

    /// Writes each record in a transaction of its own, so that a record that the store rejects
    /// holds up its own job only.
    async fn write_separately(self: &Rc<Self>, commits: Vec<Commit>) {
        for commit in commits {
            if let Err(err) = self.write_records(slice::from_ref(&commit)).await {
                self.spawn(Rc::clone(self).write_rejected(commit, err));
            }
        }
    }

    /// Writes the record of a job whose record the store rejected, as it is by then, until it is
    /// written.
    async fn write_rejected(self: Rc<Self>, mut commit: Commit, mut err: CallError) {
        loop {
            log::error!(
                "event=record.rejected group={} job={} fault=\"{err}\"",
                self.id.0,
                commit.job
            );
            tokio::time::sleep(REJECTED_RETRY_DELAY).await;
            commit = self.engine.borrow_mut().renew_commit(commit);
            match self.write_records(slice::from_ref(&commit)).await {
                Ok(()) => return,
                Err(again) => err = again,
            }
        }
    }

    /// Writes records in one transaction and tells the engine. Fails if the store rejects the
    /// transaction for its contents.
    async fn write_records(&self, commits: &[Commit]) -> Result<(), CallError> {
        let Some(txn) = self.timed(Part::Record, || self.commit_txn(commits)) else {
            self.stop_serving("a record can't be encoded");
            return Ok(());
        };
        let sent_at = self.shared.now();
        match self.send_until_answered(&txn).await {
            Written::Applied(revisions) => {
                let duration = self.shared.now().saturating_duration_since(sent_at);
                let bytes = txn.writes.iter().map(|write| write.value.len()).sum();
                self.record(|it| it.add_write(commits.len(), bytes, duration));
                self.timed(Part::Written, || self.handle_written(commits, &revisions));
            }
            Written::Rejected(err) => return Err(err),
            Written::Stopped => {}
        }
        Ok(())
    }

    fn handle_written(&self, commits: &[Commit], revisions: &HashMap<String, u64>) {
        let mut engine = self.engine.borrow_mut();
        for commit in commits {
            let key = keys::record(self.id, commit.job);
            let revision = revisions.get(&key).copied().unwrap_or(commit.revision);
            engine.handle_commit(commit.job, commit.version, revision);
        }
        drop(engine);
        self.wake.notify_one();
        self.commit_wake.notify_one();
        self.flush_relays();
    }

    fn commit_txn(&self, commits: &[Commit]) -> Option<Txn> {
        let mut txn = self.owned_txn();
        for commit in commits {
            let key = keys::record(self.id, commit.job);
            txn.preconditions.push(Precondition {
                key: key.clone(),
                revision: commit.revision,
            });
            txn.writes
                .push(Write::unleased(key, commit.record.encode().ok()?));
        }
        Some(txn)
    }

    /// Sends a transaction until it is certain that it was applied, or the store rejects it for its
    /// contents.
    async fn send_until_answered(&self, txn: &Txn) -> Written {
        let mut wait = RETRY_DELAY_MIN;
        loop {
            match self.shared.platform.txn(txn).await {
                Ok(TxnOutcome::Done { revision }) => {
                    self.shared.record_store_answer();
                    let keys = txn.writes.iter().map(|write| write.key.clone());
                    return Written::Applied(keys.map(|key| (key, revision)).collect());
                }
                Ok(TxnOutcome::Conflict { items }) => {
                    if let Some(revisions) = revisions_if_applied(txn, &items) {
                        return Written::Applied(revisions);
                    }
                    self.stop_serving("a record or the owner's key has changed");
                    return Written::Stopped;
                }
                Ok(TxnOutcome::NoLease) => {
                    self.stop_serving("the session has ended");
                    return Written::Stopped;
                }
                Err(err) if err.is_invalid => return Written::Rejected(err),
                Err(err) => {
                    log::debug!("event=store.txn fault=\"{err}\"");
                    tokio::time::sleep(wait).await;
                    wait = (wait * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
    }

    /// Replaces the specifications and records of jobs that are settled by the phases that they
    /// ended in, so that the next owner has less to read. Never returns.
    pub(super) async fn shorten_settled_jobs(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SETTLED_INTERVAL).await;
            loop {
                let jobs = self.take_settled_jobs();
                if jobs.is_empty() {
                    break;
                }
                self.shorten(&jobs).await;
                let bytes = jobs.len() * SETTLED_JOB_BYTES;
                let sending_time = self.shared.sending_time(bytes, RECORDS_LINK_SHARE);
                tokio::time::sleep(sending_time).await;
            }
        }
    }

    fn take_settled_jobs(&self) -> Vec<(JobId, Phase)> {
        let mut engine = self.engine.borrow_mut();
        engine.take_settled_jobs(SETTLED_JOBS_PER_TXN_MAX)
    }

    async fn shorten(&self, jobs: &[(JobId, Phase)]) {
        let is_stored = match self.shortening_txn(jobs) {
            Ok(txn) => match self.send_until_answered(&txn).await {
                Written::Applied(_) => true,
                Written::Rejected(err) => {
                    log::error!("event=job.shorten group={} fault=\"{err}\"", self.id.0);
                    false
                }
                Written::Stopped => return,
            },
            Err(err) => {
                log::error!("event=job.shorten group={} fault=\"{err}\"", self.id.0);
                false
            }
        };
        let mut engine = self.engine.borrow_mut();
        for &(job, _) in jobs {
            engine.handle_settled(job, is_stored);
        }
    }

    fn shortening_txn(&self, jobs: &[(JobId, Phase)]) -> Result<Txn, Rejection> {
        let mut txn = self.owned_txn();
        for &(job, phase) in jobs {
            let queue = self.engine.borrow().queue_of(job).map(str::to_owned);
            let value = Submission::Ended { phase, queue }.encode()?;
            let key = keys::submission(self.id, job);
            txn.writes.push(Write::unleased(key, value));
            txn.remove.push(keys::record(self.id, job));
            txn.remove.push(keys::cancellation(self.id, job));
        }
        Ok(txn)
    }

    /// Writes the number of waiting jobs whenever it has changed. Never returns.
    pub(super) async fn write_summaries(self: Rc<Self>) {
        let mut last = None;
        loop {
            let waiting = self.engine.borrow().waiting_jobs();
            if last.as_ref() != Some(&waiting)
                && self
                    .write_best_effort("summary", keys::summary(self.id), &waiting)
                    .await
            {
                last = Some(waiting);
            }
            tokio::time::sleep(SUMMARY_INTERVAL).await;
        }
    }

    /// Writes a value that the group can do without. Returns `false` if the write is not certain to
    /// have been applied.
    pub(super) async fn write_best_effort(
        &self,
        what: &str,
        key: String,
        value: &impl Serialize,
    ) -> bool {
        let value = match postcard::to_stdvec(value) {
            Ok(value) => value,
            Err(err) => {
                log::error!("event={what}.encode fault=\"{err}\"");
                return false;
            }
        };
        let txn = Txn {
            writes: vec![Write::unleased(key, value)],
            ..self.owned_txn()
        };
        match self.shared.platform.txn(&txn).await {
            Ok(TxnOutcome::Done { .. }) => return true,
            Ok(outcome) => log::debug!("event={what}.write outcome={outcome:?}"),
            Err(err) => log::debug!("event={what}.write fault=\"{err}\""),
        }
        false
    }

    /// Removes the keys of jobs that ended long ago.
    pub(super) async fn remove(&self, jobs: &[JobId]) {
        let keys: Vec<_> = jobs
            .iter()
            .flat_map(|&job| {
                [
                    keys::submission(self.id, job),
                    keys::cancellation(self.id, job),
                    keys::record(self.id, job),
                ]
            })
            .collect();
        for remove in keys.chunks(REMOVALS_PER_TXN_MAX) {
            let txn = Txn {
                remove: remove.to_vec(),
                ..self.owned_txn()
            };
            match self.send_until_answered(&txn).await {
                Written::Applied(_) => {}
                Written::Rejected(err) => {
                    log::error!("event=job.remove group={} fault=\"{err}\"", self.id.0);
                }
                Written::Stopped => return,
            }
        }
    }
}

/// Estimates what a record takes on the link: its text form is a third larger than its bytes.
fn estimated_bytes(commit: &Commit) -> usize {
    let tasks: usize = commit.record.tasks.iter().flatten().map(Vec::len).sum();
    RECORD_BYTES + tasks * RECORD_TASK_BYTES
}

/// Returns the revisions of the written keys if an earlier attempt of `txn` was applied, judged by
/// the items in the conflict of a later attempt; `None` if it was not.
fn revisions_if_applied(txn: &Txn, items: &[Item]) -> Option<HashMap<String, u64>> {
    let items: HashMap<_, _> = items.iter().map(|item| (item.key.as_str(), item)).collect();
    let owner = txn.preconditions.first()?;
    if items.get(owner.key.as_str())?.revision != owner.revision {
        return None;
    }
    let revision = |write: &Write| {
        let item = items.get(write.key.as_str())?;
        (item.value == write.value).then(|| (write.key.clone(), item.revision))
    };
    txn.writes.iter().map(revision).collect()
}
