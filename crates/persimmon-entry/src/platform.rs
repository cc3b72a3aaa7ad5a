use persimmon_relay::RunnerAddress;
use persimmon_sched::{Answer, JobSpec, Policy, Report, RunnerInfo, TaskId};
use std::time::Duration;

/// Whether a failed call may have changed the state of its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It changed nothing.
    None,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// Error of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{operation}: {peer}: {reason}")]
pub struct CallError {
    /// The call that failed.
    pub operation: &'static str,
    /// The address of the peer.
    pub peer: String,
    /// Why the call failed.
    pub reason: String,
    /// Whether the call may have changed the state of the peer.
    pub effect: Effect,
    /// The call was rejected because a rate limit was exceeded.
    pub is_throttled: bool,
    /// The call was rejected for its contents, and would be again if it were repeated unchanged.
    pub is_invalid: bool,
    /// The answer began to arrive, but not all of it arrived in time. A smaller one might.
    pub is_incomplete: bool,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the last change.
    pub revision: u64,
}

/// A page of a range read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether more items follow the last one.
    pub has_more: bool,
    /// The revision of the store.
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal, or a later one.
        revision: u64,
    },
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes up to a revision.
    Changes {
        /// The changes, in order.
        changes: Vec<Change>,
        /// The revision to continue from.
        revision: u64,
    },
    /// The requested history has been compacted.
    Compacted,
}

/// A lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease(pub u64);

/// A precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 if the key must not exist.
    pub revision: u64,
}

impl Precondition {
    /// Creates the precondition that a key does not exist.
    pub fn absent(key: String) -> Self {
        Self { key, revision: 0 }
    }
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key is bound to.
    pub lease: Option<Lease>,
}

impl Write {
    /// Creates a write that is not bound to a lease.
    pub fn unleased(key: String, value: Vec<u8>) -> Self {
        Self {
            key,
            value,
            lease: None,
        }
    }
}

/// Writes and removals that are applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The preconditions.
    pub preconditions: Vec<Precondition>,
    /// The writes.
    pub writes: Vec<Write>,
    /// The keys to remove.
    pub remove: Vec<String>,
}

impl Txn {
    /// Creates a transaction that writes a key if it does not exist.
    pub fn create(key: String, value: Vec<u8>) -> Self {
        Self {
            preconditions: vec![Precondition::absent(key.clone())],
            writes: vec![Write::unleased(key, value)],
            remove: Vec::new(),
        }
    }
}

/// The answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// The transaction was applied.
    Done {
        /// The revision of the store after it.
        revision: u64,
    },
    /// A precondition does not hold.
    Conflict {
        /// The current items of those keys in the preconditions that exist.
        items: Vec<Item>,
    },
    /// A lease named in the transaction has ended.
    NoLease,
}

/// The platform's key-value store.
pub trait Store {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Item>, CallError>;
    /// Reads a key as it may have been seconds ago, at a fraction of the price.
    async fn get_stale(&self, key: &str) -> Result<Option<Item>, CallError>;
    /// Reads a page of the keys that start with `prefix` and sort after `after`.
    async fn range(&self, prefix: &str, after: &str) -> Result<Page, CallError>;
    /// Waits up to `wait` for changes under `prefix` after `revision`.
    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, CallError>;
    /// Applies a transaction.
    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, CallError>;
    /// Requests a lease.
    async fn grant(&self, ttl: Duration) -> Result<Lease, CallError>;
    /// Renews a lease. Returns `false` if it has ended.
    async fn renew(&self, lease: Lease) -> Result<bool, CallError>;
    /// Revokes a lease and removes the keys bound to it.
    async fn revoke(&self, lease: Lease) -> Result<(), CallError>;
}

/// The contents of a poll of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollRequest {
    /// The owner's fencing token.
    pub fencing_token: u64,
    /// The highest number of an ended run that the runner may drop from its reports.
    pub acknowledged_end: u64,
    /// The new deadline of the lease, on the runner's clock.
    pub deadline_ms: Option<u64>,
    /// How long to wait for a run to end.
    pub wait: Duration,
}

/// Identifies a run in a call to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunRef {
    /// The task.
    pub task: TaskId,
    /// The number of the run.
    pub number: u32,
    /// The owner's fencing token.
    pub fencing_token: u64,
}

/// Calls to the runners.
pub trait Runners {
    /// Renews a runner's lease and returns its report.
    async fn poll(&self, runner: &RunnerAddress, request: PollRequest)
        -> Result<Report, CallError>;
    /// Starts a run.
    async fn start(
        &self,
        runner: &RunnerAddress,
        run: RunRef,
        job: &JobSpec,
        checkpoint: &str,
        deadline_ms: u64,
    ) -> Answer;
    /// Stops a run, or prevents it from starting.
    async fn stop(&self, runner: &RunnerAddress, run: RunRef) -> Result<(), CallError>;
    /// Limits the CPU share of a run to `percent`.
    async fn throttle(
        &self,
        runner: &RunnerAddress,
        run: RunRef,
        percent: u8,
    ) -> Result<(), CallError>;
}

/// Keys and decoding of what the platform and its operators write to the store.
pub trait Catalog {
    /// Returns the key of the operators' policy.
    fn policy_key(&self) -> &str;
    /// Returns the prefix of the instance list.
    fn runners_prefix(&self) -> &str;
    /// Returns the prefix of the operators' requests to evacuate data centres; the rest of a key names
    /// the data centre.
    fn evacuations_prefix(&self) -> &str;
    /// Decodes the policy.
    fn decode_policy(&self, value: &[u8]) -> Result<Policy, CallError>;
    /// Decodes an entry of the instance list.
    fn decode_runner(&self, id: &str, value: &[u8]) -> Result<RunnerInfo, CallError>;
}

/// Everything that the process needs from its platform.
pub trait Platform: Store + Runners + Catalog + 'static {}

impl<T: Store + Runners + Catalog + 'static> Platform for T {}
