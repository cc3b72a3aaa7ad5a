use persimmon_wire::store::{CasRequest, Entry, RangeResponse};
use std::{future::Future, time::Duration};

/// Whether a failed call may have changed the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The call changed nothing.
    None,
    /// The call may have taken effect; only a read can tell.
    Unknown,
}

/// The error of a failed call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: store {peer}: {reason}")]
pub struct Error {
    /// The operation that failed, for example `cas`.
    pub step: &'static str,
    /// The address of the store.
    pub peer: String,
    /// The cause of the failure.
    pub reason: String,
    /// Whether the call may have changed the store.
    pub effect: Effect,
}

/// The outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value was written.
    Written {
        /// The key's new revision.
        revision: u64,
    },
    /// Nothing was written because the key's revision is not the expected one.
    Conflict {
        /// The key's current revision; 0 means absent.
        revision: u64,
    },
}

/// The number of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// The outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes after the requested revision; empty if none came within the wait.
    Changes(RangeResponse),
    /// The store no longer keeps the changes after the requested revision; the caller must read the
    /// whole range again.
    Compacted,
}

/// The operations of the platform's key-value store that the daemon uses.
pub trait Store: Send + Sync {
    /// Reads a key; `None` when it is absent.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;
    /// Reads all entries whose keys start with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<RangeResponse, Error>> + Send;
    /// Performs a compare-and-swap on one key.
    fn cas(&self, cas: &CasRequest) -> impl Future<Output = Result<CasOutcome, Error>> + Send;
    /// Creates a lease that expires after `ttl` without renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;
    /// Renews a lease; `false` if it has expired or was revoked.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, Error>> + Send;
    /// Revokes a lease and removes the keys attached to it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;
    /// Waits up to `wait` for changes to keys that start with `prefix` after `revision`.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchOutcome, Error>> + Send;
}
