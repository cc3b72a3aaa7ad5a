use super::OwnedGroup;
use crate::{
    keys,
    platform::{Item, Platform, Precondition, Txn, TxnOutcome, Write},
};
use persimmon_sched::{Commit, JobId};
use serde::Serialize;
use std::{collections::HashMap, rc::Rc, time::Duration};

/// Records per transaction. Each takes two entries, which with the owner's key stays within the
/// limit of 32 entries.
const RECORDS_PER_TXN_MAX: usize = 15;
/// Keys removed per transaction.
const REMOVALS_PER_TXN_MAX: usize = 30;
/// Transactions that may be in flight at once.
const TXNS_IN_FLIGHT_MAX: usize = 4;
/// Interval between batches of changed records. Records that change together share a transaction,
/// which keeps the number of transactions low.
const COMMIT_INTERVAL: Duration = Duration::from_millis(15);
/// First and longest delay before an unanswered write is retried.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(320);
/// Interval at which the number of waiting jobs is checked. Callers may see a count two seconds
/// old.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);

impl<P: Platform> OwnedGroup<P> {
    /// Writes records as they change. Never returns.
    pub(super) async fn commit(self: Rc<Self>) {
        loop {
            self.commit_wake.notified().await;
            while self.commits_in_flight.get() < TXNS_IN_FLIGHT_MAX {
                let commits = self.engine.borrow_mut().take_commits(RECORDS_PER_TXN_MAX);
                if commits.is_empty() {
                    break;
                }
                self.commits_in_flight.set(self.commits_in_flight.get() + 1);
                self.spawn(Rc::clone(&self).write(commits));
            }
            tokio::time::sleep(COMMIT_INTERVAL).await;
        }
    }

    async fn write(self: Rc<Self>, commits: Vec<Commit>) {
        let Some(txn) = self.commit_txn(&commits) else {
            self.stop_serving("a record can't be encoded");
            return;
        };
        if let Some(revisions) = self.send_until_applied(&txn).await {
            let mut engine = self.engine.borrow_mut();
            for commit in &commits {
                let key = keys::record(self.id, commit.job);
                let revision = revisions.get(&key).copied().unwrap_or(commit.revision);
                engine.handle_commit(commit.job, commit.version, revision);
            }
        }
        self.commits_in_flight.set(self.commits_in_flight.get() - 1);
        self.wake.notify_one();
        self.commit_wake.notify_one();
        self.written.notify_waiters();
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

    /// Sends a transaction until it is certain that it was applied. Returns the revisions of the
    /// written keys, or `None` if this process stops serving the group.
    async fn send_until_applied(&self, txn: &Txn) -> Option<HashMap<String, u64>> {
        let mut wait = RETRY_DELAY_MIN;
        loop {
            match self.shared.platform.txn(txn).await {
                Ok(TxnOutcome::Done { revision }) => {
                    self.shared.record_store_answer();
                    let keys = txn.writes.iter().map(|write| write.key.clone());
                    return Some(keys.map(|key| (key, revision)).collect());
                }
                Ok(TxnOutcome::Conflict { items }) => {
                    let revisions = revisions_if_applied(txn, &items);
                    if revisions.is_none() {
                        self.stop_serving("a record or the owner's key has changed");
                    }
                    return revisions;
                }
                Ok(TxnOutcome::NoLease) => {
                    self.stop_serving("the session has ended");
                    return None;
                }
                Err(err) => {
                    log::debug!("event=store.txn fault=\"{err}\"");
                    tokio::time::sleep(wait).await;
                    wait = (wait * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
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
            if let Err(err) = self.shared.platform.txn(&txn).await {
                log::warn!("event=job.remove fault=\"{err}\"");
            }
        }
    }
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
