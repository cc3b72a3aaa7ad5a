use persimmon_wire::store::{CasRequest, Entry, RangeResponse};
use std::{future::Future, time::Duration};

/// Whether a failed call can have changed the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It changed nothing.
    None,
    /// It may have taken effect; read back to learn.
    Unknown,
}

/// A call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: store {peer}: {reason}")]
pub struct Error {
    /// The call, for example `cas`.
    pub step: &'static str,
    /// The store's address.
    pub peer: String,
    /// What went wrong.
    pub reason: String,
    /// Whether the call can have changed the store.
    pub effect: Effect,
}

/// The answer to a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CasOutcome {
    /// Written, at this revision.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// Refused: the key has another revision.
    Conflict {
        /// The key's revision; 0 means absent.
        revision: u64,
    },
}

/// A lease held in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes since the revision asked for; empty when the wait ended first.
    Changes(RangeResponse),
    /// The revision is too old: read the range anew.
    Compacted,
}

/// What the daemon needs of the platform's store.
pub trait Store: Send + Sync {
    /// Reads a key; `None` when it is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;
    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<RangeResponse, Error>> + Send;
    /// Compares and swaps one key.
    fn cas(&self, cas: &CasRequest) -> impl Future<Output = Result<CasOutcome, Error>> + Send;
    /// Asks for a lease of `ttl`.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;
    /// Renews a lease; `false` when it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, Error>> + Send;
    /// Ends a lease and the keys bound to it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;
    /// Waits up to `wait` for a change under `prefix` after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome, Error>> + Send;
}
