use persimmon_sched::{Answer, JobSpec, Policy, Report, RunnerInfo, TaskId};
use std::time::Duration;

/// Whether a failed call can have changed its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It changed nothing.
    None,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// A call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: {peer}: {reason}")]
pub struct Fault {
    /// The call.
    pub step: &'static str,
    /// The peer's address.
    pub peer: String,
    /// What went wrong.
    pub reason: String,
    /// Whether the peer can have been changed.
    pub effect: Effect,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: u64,
}

/// A part of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items, by key.
    pub items: Vec<Item>,
    /// More items follow the last one.
    pub has_more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It was removed.
    Gone {
        /// The key.
        key: String,
        /// The revision of the removal, or a later one.
        revision: u64,
    },
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// What changed up to a revision.
    Changes {
        /// The changes in order.
        changes: Vec<Change>,
        /// Where the next watch goes on.
        revision: u64,
    },
    /// The history that was asked for is gone.
    Compacted,
}

/// A lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease(pub u64);

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// The key.
    pub key: String,
    /// The revision that it must have; 0 if it must not exist.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key ends with.
    pub lease: Option<Lease>,
}

impl Write {
    /// A write that no lease ends.
    pub fn lasting(key: String, value: Vec<u8>) -> Self {
        Self {
            key,
            value,
            lease: None,
        }
    }
}

/// Writes and removals that happen together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub expected: Vec<Expected>,
    /// The writes.
    pub writes: Vec<Write>,
    /// The keys to remove.
    pub remove: Vec<String>,
}

impl Txn {
    /// Writes a key that must not exist.
    pub fn create(key: String, value: Vec<u8>) -> Self {
        Self {
            expected: vec![Expected {
                key: key.clone(),
                revision: 0,
            }],
            writes: vec![Write::lasting(key, value)],
            remove: Vec::new(),
        }
    }
}

/// The answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// It happened, at this revision.
    Done {
        /// The store's revision.
        revision: u64,
    },
    /// A condition does not hold: the keys of the conditions that exist, as they are.
    Conflict {
        /// The items.
        items: Vec<Item>,
    },
    /// A lease that it names has ended.
    NoLease,
}

/// The platform's key-value store.
pub trait Store {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Item>, Fault>;
    /// Reads the keys that start with `prefix` and come after `after`.
    async fn range(&self, prefix: &str, after: &str) -> Result<Page, Fault>;
    /// Waits up to `wait` for a change under `prefix` after `revision`.
    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<Watched, Fault>;
    /// Carries out a transaction.
    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, Fault>;
    /// Asks for a lease.
    async fn grant(&self, ttl: Duration) -> Result<Lease, Fault>;
    /// Renews a lease; `false` when it has ended.
    async fn keep(&self, lease: Lease) -> Result<bool, Fault>;
    /// Ends a lease and the keys bound to it.
    async fn end(&self, lease: Lease) -> Result<(), Fault>;
}

/// What a look at a runner carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The owner's fence.
    pub fence: u64,
    /// The highest end to forget.
    pub acknowledged: u64,
    /// The lease's new deadline on the runner's clock.
    pub deadline_ms: Option<u64>,
    /// How long to wait for an end.
    pub wait: Duration,
}

/// A run that a call is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub number: u32,
    /// The owner's fence.
    pub fence: u64,
}

/// The runners.
pub trait Runners {
    /// Renews a runner's lease and lists its runs.
    async fn hold(&self, runner: &RunnerInfo, hold: Hold) -> Result<Report, Fault>;
    /// Starts a run.
    async fn start(
        &self,
        runner: &RunnerInfo,
        run: Run,
        job: &JobSpec,
        saved: &str,
        deadline_ms: u64,
    ) -> Answer;
    /// Stops a run, or keeps it from starting.
    async fn stop(&self, runner: &RunnerInfo, run: Run) -> Result<(), Fault>;
    /// Lets a run work at a share.
    async fn pace(&self, runner: &RunnerInfo, run: Run, percent: u8) -> Result<(), Fault>;
}

/// How the platform writes what others than this system put into the store.
pub trait Catalog {
    /// The key of the operators' policy.
    fn policy_key(&self) -> &str;
    /// The prefix of the instance list.
    fn runners_prefix(&self) -> &str;
    /// Reads the policy.
    fn policy(&self, value: &[u8]) -> Result<Policy, Fault>;
    /// Reads an entry of the instance list.
    fn runner(&self, id: &str, value: &[u8]) -> Result<RunnerInfo, Fault>;
}

/// Everything that the process needs of its platform.
pub trait Platform: Store + Runners + Catalog + 'static {}

impl<T: Store + Runners + Catalog + 'static> Platform for T {}
