use super::Group;
use crate::{
    keys,
    platform::{Expected, Item, Platform, Txn, TxnOutcome, Write},
};
use persimmon_sched::{Commit, JobId};
use serde::Serialize;
use std::{collections::HashMap, rc::Rc, time::Duration};

/// Records in one transaction: with the owner's key and two entries each they stay within 32.
const RECORDS_MAX: usize = 15;
/// Keys that one transaction removes.
const REMOVALS_MAX: usize = 30;
/// Transactions on the way at once.
const IN_FLIGHT_MAX: usize = 4;
/// Between two looks for records to write: those of one moment share transactions, which are counted.
const GATHER: Duration = Duration::from_millis(15);
/// Before a write without an answer is sent again, at first and at most.
const RETRY_FIRST: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_millis(320);
/// Between two looks at how many jobs wait; callers may see a figure two seconds old.
const SUMMARY_EVERY: Duration = Duration::from_millis(500);

impl<P: Platform> Group<P> {
    /// Writes records as they change, for good.
    pub(super) async fn commit(self: Rc<Self>) {
        loop {
            self.commit_wake.notified().await;
            while self.commits_in_flight.get() < IN_FLIGHT_MAX {
                let commits = self.engine.borrow_mut().take_commits(RECORDS_MAX);
                if commits.is_empty() {
                    break;
                }
                self.commits_in_flight.set(self.commits_in_flight.get() + 1);
                self.spawn(Rc::clone(&self).write(commits));
            }
            tokio::time::sleep(GATHER).await;
        }
    }

    async fn write(self: Rc<Self>, commits: Vec<Commit>) {
        let Some(txn) = self.txn_of(&commits) else {
            self.lose("a record can't be encoded");
            return;
        };
        if let Some(revisions) = self.insist(&txn).await {
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

    fn txn_of(&self, commits: &[Commit]) -> Option<Txn> {
        let mut txn = self.owned_txn();
        for commit in commits {
            let key = keys::record(self.id, commit.job);
            txn.expected.push(Expected {
                key: key.clone(),
                revision: commit.revision,
            });
            txn.writes
                .push(Write::lasting(key, commit.record.encode().ok()?));
        }
        Some(txn)
    }

    /// Sends a transaction until it is certain that it happened. Returns the written keys' revisions;
    /// `None` once the group is lost.
    async fn insist(&self, txn: &Txn) -> Option<HashMap<String, u64>> {
        let mut wait = RETRY_FIRST;
        loop {
            match self.shared.platform.txn(txn).await {
                Ok(TxnOutcome::Done { revision }) => {
                    self.shared.store_heard();
                    let keys = txn.writes.iter().map(|write| write.key.clone());
                    return Some(keys.map(|key| (key, revision)).collect());
                }
                Ok(TxnOutcome::Conflict { items }) => {
                    let happened = happened(txn, &items);
                    if happened.is_none() {
                        self.lose("a record or the owner's key has changed");
                    }
                    return happened;
                }
                Ok(TxnOutcome::NoLease) => {
                    self.lose("the session has ended");
                    return None;
                }
                Err(fault) => {
                    log::debug!("event=store.txn fault=\"{fault}\"");
                    tokio::time::sleep(wait).await;
                    wait = (wait * 2).min(RETRY_MAX);
                }
            }
        }
    }

    /// Writes how many jobs wait, for good.
    pub(super) async fn summarize(self: Rc<Self>) {
        let mut last = None;
        loop {
            let waiting = self.engine.borrow().waiting_jobs();
            if last.as_ref() != Some(&waiting)
                && self.note("summary", keys::summary(self.id), &waiting).await
            {
                last = Some(waiting);
            }
            tokio::time::sleep(SUMMARY_EVERY).await;
        }
    }

    /// Writes something that the group can do without; `false` if that is not certain to have happened.
    pub(super) async fn note(&self, what: &str, key: String, value: &impl Serialize) -> bool {
        let value = match postcard::to_stdvec(value) {
            Ok(value) => value,
            Err(err) => {
                log::error!("event={what}.encode fault=\"{err}\"");
                return false;
            }
        };
        let txn = Txn {
            writes: vec![Write::lasting(key, value)],
            ..self.owned_txn()
        };
        match self.shared.platform.txn(&txn).await {
            Ok(TxnOutcome::Done { .. }) => return true,
            Ok(outcome) => log::debug!("event={what}.write outcome={outcome:?}"),
            Err(fault) => log::debug!("event={what}.write fault=\"{fault}\""),
        }
        false
    }

    /// Removes what the store holds of jobs that ended long ago.
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
        for remove in keys.chunks(REMOVALS_MAX) {
            let txn = Txn {
                remove: remove.to_vec(),
                ..self.owned_txn()
            };
            if let Err(fault) = self.shared.platform.txn(&txn).await {
                log::warn!("event=job.remove fault=\"{fault}\"");
            }
        }
    }
}

/// Tells whether an earlier sending of `txn` happened, from the conflict that a later one met.
fn happened(txn: &Txn, items: &[Item]) -> Option<HashMap<String, u64>> {
    let items: HashMap<_, _> = items.iter().map(|item| (item.key.as_str(), item)).collect();
    let owner = txn.expected.first()?;
    if items.get(owner.key.as_str())?.revision != owner.revision {
        return None;
    }
    let revision = |write: &Write| {
        let item = items.get(write.key.as_str())?;
        (item.value == write.value).then(|| (write.key.clone(), item.revision))
    };
    txn.writes.iter().map(revision).collect()
}
