//! In-memory platform: a store with leases and watches, and runners that honour leases and fencing.

use persimmon_entry::{
    call_channel, run, CallError, Catalog, Change, Effect, Handle, Item, Lease, Options, Page,
    PollRequest, Precondition, Request, RunRef, RunnerAddress, Runners, Store, Txn, TxnOutcome,
    WatchOutcome, Write,
};
use persimmon_sched::{
    Answer, End, EndKind, JobId, JobSpec, Phase, Policy, Queue, Report, RunStatus, RunnerInfo,
    RunnerState, StepSpec, TaskId,
};
use persimmon_types::{Clock, Size};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    future::{poll_fn, Future},
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant, SystemTime},
};
use tokio::{
    sync::{oneshot, Notify},
    task::LocalSet,
};

pub(crate) const PREFIX: &str = "/quotes/";
const HOST: &str = "bookings.example";
const SERVICE: &str = "bookings";
const POLICY: &str = "policy";
const RUNNERS: &str = "runners/";
/// Prefix of the requests for evacuations.
pub(crate) const EVACUATIONS: &str = "evacuations/";
/// Value of the key of a runner that drains.
pub(crate) const DRAINING: &[u8] = b"draining";
/// Prefix of the value of the key of a runner that names its rack.
pub(crate) const RACK: &str = "rack=";
/// Value of a runner's key that begins so names its service.
pub(crate) const OF_SERVICE: &str = "service=";
/// Prefix of the value of the key of a runner that names its data centre.
pub(crate) const DATA_CENTRE: &str = "dc=";

/// Limits of a page.
const PAGE_ITEMS_MAX: usize = 500;
const PAGE_BYTES_MAX: usize = 1_000_000;
/// How long a page, and an answer to a watch beyond its wait time, may take to arrive.
const PAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
const CHANGES_TIMEOUT: Duration = Duration::from_millis(600);
/// Time allowed for a poll beyond its wait time.
const POLL_MARGIN: Duration = Duration::from_millis(700);

/// Bytes of an item in an answer, with its value in text form.
fn wire_bytes(item: &Item) -> usize {
    60 + item.key.len() + item.value.len() * 4 / 3
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Clock that follows tokio's paused time.
struct VirtualClock {
    started_at: Instant,
}

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + (now() - self.started_at)
    }
}

#[derive(Default)]
pub(crate) struct PlatformState {
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, (Item, Option<u64>)>>,
    history: RefCell<Vec<(u64, Change)>>,
    changed: Notify,
    /// When each lease ends, and its TTL.
    leases: RefCell<HashMap<u64, (Instant, Duration)>>,
    /// Watches from a revision below this one fail as compacted.
    pub(crate) compacted: Cell<u64>,
    /// While set, the store answers transactions as if a lease had ended.
    pub(crate) denies_leases: Cell<bool>,
    /// While set, calls to the store time out.
    pub(crate) store_is_down: Cell<bool>,
    /// While set, reads of single keys time out.
    pub(crate) key_reads_time_out: Cell<bool>,
    /// Added to the latency of each read of a single key.
    pub(crate) extra_key_read_latency: Cell<Duration>,
    /// Watches on this prefix are rejected as too many.
    pub(crate) throttled_watch: RefCell<Option<String>>,
    /// While set, transactions that only remove keys are rejected as the store is busy.
    pub(crate) rejects_removals: Cell<bool>,
    /// Limits on the calls per second; more are rejected.
    pub(crate) call_limits: Cell<Option<CallLimits>>,
    calls_in_second: Cell<CallsInSecond>,
    /// Items in a page of a list; 0 for as many as the store's limits allow.
    pub(crate) page_size: Cell<usize>,
    /// Every n-th read of a page is rejected; 0 for none.
    pub(crate) reject_every_nth_page: Cell<u64>,
    page_reads: Cell<u64>,
    /// Reads of pages, by prefix.
    pub(crate) reads_of: RefCell<BTreeMap<String, u32>>,
    /// Changes in an answer to a watch; 0 for all.
    pub(crate) changes_per_answer: Cell<usize>,
    /// Processor time of a call, of which a process makes one at a time.
    pub(crate) call_costs: Cell<CallCosts>,
    processor_free_at: Cell<Option<Instant>>,
    /// Number of leases granted.
    pub(crate) grants: Cell<u64>,
    /// Bandwidth of the link of processes that are started, in bytes per second; 0 for 1 Gbit/s.
    pub(crate) link_bytes_per_s: Cell<u64>,
    /// Bytes of all records that were written, in their text form.
    pub(crate) record_bytes: Cell<usize>,
    /// Bandwidth at which pages and changes arrive from the store, in bytes per second; 0 for no
    /// limit.
    pub(crate) store_bytes_per_s: Cell<u64>,
    /// How long pages and changes may take to arrive, if not as long as usual.
    pub(crate) arrival_timeout: Cell<Option<Duration>>,
    /// Added to the latency of each call to the store.
    pub(crate) extra_store_latency: Cell<Duration>,
    /// Whether processes that are started follow the requests for evacuations.
    pub(crate) follows_evacuations: Cell<bool>,
    /// While set, reads that may be stale are older than all keys.
    pub(crate) stale_reads_find_nothing: Cell<bool>,
    /// While set, watches get no answer.
    pub(crate) watches_are_silent: Cell<bool>,
    /// Transactions that write a longer value are rejected; 0 for no limit.
    pub(crate) value_bytes_max: Cell<usize>,
    /// The answer to every n-th write is lost; 0 for never.
    pub(crate) lose_every_nth_write: Cell<u64>,
    writes: Cell<u64>,
    runners: RefCell<BTreeMap<String, FakeRunner>>,
    /// Runners that accept polls and never answer them.
    pub(crate) hanging_runners: RefCell<BTreeSet<String>>,
    /// All stops that were acknowledged.
    pub(crate) stops: RefCell<Vec<(TaskId, u32)>>,
    /// All starts that were carried out.
    pub(crate) starts: RefCell<Vec<(TaskId, u32, String)>>,
    /// Measurement that the runs of a job report; 0 if not set.
    pub(crate) measurements: RefCell<HashMap<JobId, u64>>,
    /// While set, calls that set CPU limits fail.
    pub(crate) throttles_fail: Cell<bool>,
    /// All calls that set CPU limits.
    pub(crate) throttles: RefCell<Vec<(TaskId, u32, u8)>>,
    /// Number of runs killed because their lease lapsed.
    pub(crate) lapsed_runs: Cell<u32>,
}

/// Limits on the calls that all processes make to the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallLimits {
    pub(crate) reads_per_s: u32,
    pub(crate) writes_per_s: u32,
}

/// Processor time of calls.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallCosts {
    /// A poll that does not wait, which opens a connection.
    pub(crate) first_poll: Duration,
    /// Any other call.
    pub(crate) other: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct CallsInSecond {
    second: u64,
    reads: u32,
    writes: u32,
}

#[derive(Default)]
struct FakeRunner {
    fencing_token: u64,
    deadline_ms: u64,
    running: BTreeMap<TaskId, (u32, Instant)>,
    closed_runs: HashMap<TaskId, u32>,
    ended: Vec<End>,
    next_end: u64,
}

impl FakeRunner {
    fn end(&mut self, task: TaskId, run: u32, kind: EndKind) {
        self.running.remove(&task);
        self.closed_runs.insert(task, run);
        self.next_end += 1;
        self.ended.push(End {
            number: self.next_end,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }
}

/// The platform as seen by one process.
#[derive(Clone)]
pub(crate) struct PlatformClient {
    state: Rc<PlatformState>,
    started_at: Instant,
}

impl PlatformState {
    fn count_read(&self, prefix: &str) {
        let mut reads_of = self.reads_of.borrow_mut();
        *reads_of.entry(prefix.to_owned()).or_default() += 1;
    }
}

/// Rack of a runner whose key has this value.
fn rack(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    text.strip_prefix(RACK).unwrap_or("r1").to_owned()
}

fn service(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    text.strip_prefix(OF_SERVICE).unwrap_or(SERVICE).to_owned()
}

fn data_centre(value: &[u8]) -> String {
    let text = String::from_utf8_lossy(value);
    text.strip_prefix(DATA_CENTRE)
        .unwrap_or_default()
        .to_owned()
}

/// A queue called `NAME`, or `NAME@SERVICE`.
fn queue(name: &str) -> Queue {
    let (name, service) = name.split_once('@').unwrap_or((name, SERVICE));
    Queue {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        service: service.to_owned(),
        attempts_max: 2,
        stretch: 2.0,
        ..Queue::default()
    }
}

fn call_error(operation: &'static str, effect: Effect) -> CallError {
    CallError {
        operation,
        peer: "memory".to_owned(),
        reason: "no answer".to_owned(),
        effect,
        is_throttled: false,
        is_invalid: false,
        is_incomplete: false,
    }
}

impl PlatformClient {
    /// Simulates the latency of a call to the store. Fails with a timeout while the store is down.
    async fn simulate_call(&self, operation: &'static str) -> Result<(), CallError> {
        if self.state.store_is_down.get() {
            tokio::time::sleep(Duration::from_millis(700)).await;
            return Err(call_error(operation, Effect::Unknown));
        }
        self.use_processor(self.state.call_costs.get().other).await;
        let latency = Duration::from_millis(4) + self.state.extra_store_latency.get();
        tokio::time::sleep(latency).await;
        self.expire();
        self.throttle_call(operation)
    }

    /// Waits until the calls made before are processed and this one is.
    async fn use_processor(&self, cost: Duration) {
        if cost.is_zero() {
            return;
        }
        let free_at = self.state.processor_free_at.get();
        let done_at = free_at.map_or(now(), |at| at.max(now())) + cost;
        self.state.processor_free_at.set(Some(done_at));
        tokio::time::sleep_until(done_at.into()).await;
    }

    /// Waits until an answer has arrived. Fails if that takes longer than `timeout`.
    async fn simulate_arrival(
        &self,
        operation: &'static str,
        bytes: usize,
        timeout: Duration,
    ) -> Result<(), CallError> {
        let bytes_per_s = match self.state.store_bytes_per_s.get() {
            0 => return Ok(()),
            bytes_per_s => bytes_per_s,
        };
        let timeout = self.state.arrival_timeout.get().unwrap_or(timeout);
        let duration = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        tokio::time::sleep(duration.min(timeout)).await;
        if duration > timeout {
            return Err(CallError {
                is_incomplete: true,
                ..call_error(operation, Effect::Unknown)
            });
        }
        Ok(())
    }

    /// Counts a call. Fails if the limit of the current second is reached.
    fn throttle_call(&self, operation: &'static str) -> Result<(), CallError> {
        let Some(limits) = self.state.call_limits.get() else {
            return Ok(());
        };
        let second = (now() - self.started_at).as_secs();
        let mut calls = self.state.calls_in_second.get();
        if calls.second != second {
            calls = CallsInSecond {
                second,
                ..CallsInSecond::default()
            };
        }
        let (count, limit) = match operation {
            "txn" | "grant" | "revoke" => (&mut calls.writes, limits.writes_per_s),
            _ => (&mut calls.reads, limits.reads_per_s),
        };
        if *count >= limit {
            return Err(CallError {
                is_throttled: true,
                ..call_error(operation, Effect::None)
            });
        }
        *count += 1;
        self.state.calls_in_second.set(calls);
        Ok(())
    }

    /// Removes the keys of expired leases. Runs on calls to the store only, so not while it is
    /// down.
    fn expire(&self) {
        let lapsed = |(until, _): &(Instant, Duration)| now() >= *until;
        let mut leases = self.state.leases.borrow_mut();
        let ended: Vec<_> = leases.iter().filter(|(_, it)| lapsed(it)).collect();
        let ended: Vec<_> = ended.into_iter().map(|(&lease, _)| lease).collect();
        for lease in ended {
            leases.remove(&lease);
            let items = self.state.items.borrow();
            let bound = items.values().filter(|(_, it)| *it == Some(lease));
            let keys: Vec<_> = bound.map(|(item, _)| item.key.clone()).collect();
            drop(items);
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn next_revision(&self) -> u64 {
        self.state.revision.set(self.state.revision.get() + 1);
        self.state.revision.get()
    }

    fn remove(&self, key: &str) {
        if self.state.items.borrow_mut().remove(key).is_some() {
            let revision = self.next_revision();
            let key = key.to_owned();
            self.record(revision, Change::Removed { key, revision });
        }
    }

    fn record(&self, revision: u64, change: Change) {
        self.state.history.borrow_mut().push((revision, change));
        self.state.changed.notify_waiters();
    }

    fn put(&self, write: &Write, revision: u64) {
        if write.key.contains("/st/") {
            let bytes = self.state.record_bytes.get() + write.value.len() * 4 / 3;
            self.state.record_bytes.set(bytes);
        }
        let item = Item {
            key: write.key.clone(),
            value: write.value.clone(),
            revision,
        };
        let lease = write.lease.map(|it| it.0);
        let mut items = self.state.items.borrow_mut();
        items.insert(write.key.clone(), (item.clone(), lease));
        drop(items);
        self.record(revision, Change::Put(item));
    }

    fn holds(&self, precondition: &Precondition) -> bool {
        let items = self.state.items.borrow();
        let known = items
            .get(&precondition.key)
            .map_or(0, |(it, _)| it.revision);
        known == precondition.revision
    }

    /// Returns the changes under `prefix` after `revision`.
    fn changes(&self, prefix: &str, revision: u64) -> Vec<Change> {
        let history = self.state.history.borrow();
        let first = history.partition_point(|(changed_at, _)| *changed_at <= revision);
        let changes = history[first..].iter().filter(|(_, change)| {
            let key = match change {
                Change::Put(item) => &item.key,
                Change::Removed { key, .. } => key,
            };
            key.starts_with(prefix)
        });
        changes.map(|(_, change)| change.clone()).collect()
    }

    /// Returns the items of a page, and whether more follow.
    fn page(&self, prefix: &str, after: &str) -> (Vec<Item>, bool) {
        let items = self.state.items.borrow();
        let mut matching = items
            .values()
            .map(|(item, _)| item)
            .filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after)
            .peekable();
        let page_size = match self.state.page_size.get() {
            0 => PAGE_ITEMS_MAX,
            size => size,
        };
        let mut bytes = 0;
        let mut page = Vec::new();
        while let Some(item) = matching.next_if(|_| page.len() < page_size) {
            bytes += wire_bytes(item);
            page.push(item.clone());
            if bytes > PAGE_BYTES_MAX {
                break;
            }
        }
        (page, matching.peek().is_some())
    }

    fn check_value_sizes(&self, txn: &Txn) -> Result<(), CallError> {
        let max = self.state.value_bytes_max.get();
        if max > 0 && txn.writes.iter().any(|write| write.value.len() > max) {
            return Err(CallError {
                is_invalid: true,
                ..call_error("txn", Effect::None)
            });
        }
        Ok(())
    }

    fn clock_ms(&self) -> u64 {
        (now() - self.started_at).as_millis() as u64 + 1
    }

    /// Ends the runs of a runner that are finished or whose lease has lapsed.
    fn update_runs(&self, fake_runner: &mut FakeRunner) {
        let lapsed = self.clock_ms() > fake_runner.deadline_ms;
        let finished = |until: &Instant| now() >= *until;
        let running = fake_runner.running.iter();
        let due: Vec<_> = running
            .filter(|(_, (_, until))| lapsed || finished(until))
            .map(|(&task, &(run, until))| (task, run, finished(&until)))
            .collect();
        for (task, run, is_done) in due {
            if lapsed && !is_done {
                self.state.lapsed_runs.set(self.state.lapsed_runs.get() + 1);
            }
            let kind = if is_done { EndKind::Done } else { EndKind::Cut };
            fake_runner.end(task, run, kind);
        }
    }
}

impl Store for PlatformClient {
    async fn get(&self, key: &str) -> Result<Option<Item>, CallError> {
        if self.state.key_reads_time_out.get() {
            tokio::time::sleep(Duration::from_millis(700)).await;
            return Err(call_error("get", Effect::Unknown));
        }
        self.simulate_call("get").await?;
        tokio::time::sleep(self.state.extra_key_read_latency.get()).await;
        let items = self.state.items.borrow();
        Ok(items.get(key).map(|(item, _)| item.clone()))
    }

    async fn get_stale(&self, key: &str) -> Result<Option<Item>, CallError> {
        if self.state.stale_reads_find_nothing.get() {
            return Ok(None);
        }
        self.get(key).await
    }

    async fn range(&self, prefix: &str, after: &str) -> Result<Page, CallError> {
        self.simulate_call("range").await?;
        self.state.page_reads.set(self.state.page_reads.get() + 1);
        self.state.count_read(prefix);
        let reject_every_nth = self.state.reject_every_nth_page.get();
        if reject_every_nth > 0 && self.state.page_reads.get() % reject_every_nth == 0 {
            return Err(call_error("range", Effect::None));
        }
        let (items, has_more) = self.page(prefix, after);
        let bytes = items.iter().map(wire_bytes).sum();
        let page = Page {
            items,
            has_more,
            revision: self.state.revision.get(),
        };
        self.simulate_arrival("range", bytes, PAGE_TIMEOUT).await?;
        Ok(page)
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, CallError> {
        self.simulate_call("watch").await?;
        if self.state.throttled_watch.borrow().as_deref() == Some(prefix) {
            return Err(CallError {
                is_throttled: true,
                ..call_error("watch", Effect::None)
            });
        }
        if self.state.watches_are_silent.get() {
            tokio::time::sleep(wait).await;
            return Err(call_error("watch", Effect::None));
        }
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.state.changed.notified();
            self.expire();
            if revision < self.state.compacted.get() {
                return Ok(WatchOutcome::Compacted);
            }
            let mut changes = self.changes(prefix, revision);
            let is_over = tokio::time::Instant::now() >= until;
            if !changes.is_empty() || is_over || self.state.store_is_down.get() {
                let mut revision = self.state.revision.get();
                let limit = self.state.changes_per_answer.get();
                if limit > 0 && changes.len() > limit {
                    changes.truncate(limit);
                    revision = match &changes[limit - 1] {
                        Change::Put(item) => item.revision,
                        Change::Removed { revision, .. } => *revision,
                    };
                }
                let puts = changes.iter().filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed { .. } => None,
                });
                let bytes = puts.map(wire_bytes).sum();
                let timeout = CHANGES_TIMEOUT;
                self.simulate_arrival("watch", bytes, timeout).await?;
                return Ok(WatchOutcome::Changes { changes, revision });
            }
            // Leases expire without a change that wakes a watch.
            let interval = Duration::from_millis(100);
            let _ = tokio::time::timeout(interval, changed).await;
        }
    }

    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, CallError> {
        self.simulate_call("txn").await?;
        if self.state.denies_leases.get() {
            return Ok(TxnOutcome::NoLease);
        }
        self.check_value_sizes(txn)?;
        let only_removes = txn.writes.is_empty() && !txn.remove.is_empty();
        if only_removes && self.state.rejects_removals.get() {
            return Err(call_error("txn", Effect::None));
        }
        if !txn.preconditions.iter().all(|it| self.holds(it)) {
            let items = self.state.items.borrow();
            let conflicting = txn.preconditions.iter().filter_map(|it| items.get(&it.key));
            let items = conflicting.map(|(item, _)| item.clone()).collect();
            return Ok(TxnOutcome::Conflict { items });
        }
        let leases = txn.writes.iter().filter_map(|write| write.lease);
        for lease in leases {
            if !self.state.leases.borrow().contains_key(&lease.0) {
                return Ok(TxnOutcome::NoLease);
            }
        }
        let revision = self.next_revision();
        txn.writes
            .iter()
            .for_each(|write| self.put(write, revision));
        txn.remove.iter().for_each(|key| self.remove(key));
        self.state.writes.set(self.state.writes.get() + 1);
        let lose_every_nth_write = self.state.lose_every_nth_write.get();
        if lose_every_nth_write > 0 && self.state.writes.get() % lose_every_nth_write == 0 {
            return Err(call_error("txn", Effect::Unknown));
        }
        Ok(TxnOutcome::Done { revision })
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, CallError> {
        self.simulate_call("grant").await?;
        let lease = self.next_revision();
        self.state.grants.set(self.state.grants.get() + 1);
        let mut leases = self.state.leases.borrow_mut();
        leases.insert(lease, (now() + ttl, ttl));
        Ok(Lease(lease))
    }

    async fn renew(&self, lease: Lease) -> Result<bool, CallError> {
        self.simulate_call("renew").await?;
        let mut leases = self.state.leases.borrow_mut();
        let Some((until, ttl)) = leases.get_mut(&lease.0) else {
            return Ok(false);
        };
        *until = now() + *ttl;
        Ok(true)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), CallError> {
        self.simulate_call("revoke").await?;
        if let Some((until, _)) = self.state.leases.borrow_mut().get_mut(&lease.0) {
            *until = now();
        }
        self.expire();
        Ok(())
    }
}

impl Runners for PlatformClient {
    async fn poll(
        &self,
        runner: &RunnerAddress,
        request: PollRequest,
    ) -> Result<Report, CallError> {
        let costs = self.state.call_costs.get();
        let cost = if request.wait.is_zero() {
            costs.first_poll
        } else {
            costs.other
        };
        self.use_processor(cost).await;
        if self.state.hanging_runners.borrow().contains(&runner.id) {
            tokio::time::sleep(request.wait + POLL_MARGIN).await;
            return Err(call_error("poll", Effect::Unknown));
        }
        let until = now() + request.wait;
        let mut step = Duration::from_millis(2);
        loop {
            tokio::time::sleep(step).await;
            let mut runners = self.state.runners.borrow_mut();
            let fake_runner = runners.get_mut(&runner.id);
            let fake_runner = fake_runner.ok_or_else(|| call_error("poll", Effect::None))?;
            self.update_runs(fake_runner);
            if request.fencing_token < fake_runner.fencing_token {
                return Err(call_error("poll", Effect::None));
            }
            fake_runner.fencing_token = request.fencing_token;
            fake_runner.deadline_ms = fake_runner
                .deadline_ms
                .max(request.deadline_ms.unwrap_or(0));
            fake_runner
                .ended
                .retain(|end| end.number > request.acknowledged_end);
            if fake_runner.ended.is_empty() && now() < until {
                if fake_runner.running.is_empty() {
                    step = Duration::from_millis(100).min(until - now());
                } else {
                    step = Duration::from_millis(2);
                }
                continue;
            }
            let measurements = self.state.measurements.borrow();
            let running = fake_runner
                .running
                .iter()
                .map(|(&task, &(run, _))| RunStatus {
                    task,
                    run,
                    checkpoint: String::new(),
                    measurement: measurements.get(&task.job).copied().unwrap_or(0),
                    percent: 50,
                });
            return Ok(Report {
                incarnation_ms: 1,
                clock_ms: self.clock_ms(),
                running: running.collect(),
                ended: fake_runner.ended.clone(),
                has_more_ends: false,
            });
        }
    }

    async fn start(
        &self,
        runner: &RunnerAddress,
        run: RunRef,
        job: &JobSpec,
        _checkpoint: &str,
        deadline_ms: u64,
    ) -> Answer {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut runners = self.state.runners.borrow_mut();
        let Some(fake_runner) = runners.get_mut(&runner.id) else {
            return Answer::Unknown;
        };
        self.update_runs(fake_runner);
        if run.fencing_token < fake_runner.fencing_token {
            return Answer::Fenced;
        }
        // A runner knows tasks by their names.
        let run = RunRef {
            task: run.task.on_runner(),
            ..run
        };
        let closed_run = fake_runner.closed_runs.get(&run.task).copied().unwrap_or(0);
        if run.number <= closed_run {
            return Answer::Old;
        }
        fake_runner.fencing_token = run.fencing_token;
        fake_runner.deadline_ms = fake_runner.deadline_ms.max(deadline_ms);
        let step = &job.steps[usize::from(run.task.step)];
        let run_time = Duration::from_millis(step.estimate_ms);
        fake_runner
            .running
            .insert(run.task, (run.number, now() + run_time));
        let start = (run.task, run.number, runner.id.clone());
        self.state.starts.borrow_mut().push(start);
        Answer::Started
    }

    async fn stop(&self, runner: &RunnerAddress, run: RunRef) -> Result<(), CallError> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut runners = self.state.runners.borrow_mut();
        let fake_runner = runners.get_mut(&runner.id);
        let fake_runner = fake_runner.ok_or_else(|| call_error("stop", Effect::Unknown))?;
        let run = RunRef {
            task: run.task.on_runner(),
            ..run
        };
        if run.fencing_token < fake_runner.fencing_token {
            return Err(call_error("stop", Effect::None));
        }
        if fake_runner.running.get(&run.task).map(|it| it.0) == Some(run.number) {
            fake_runner.end(run.task, run.number, EndKind::Cut);
        }
        fake_runner.closed_runs.insert(run.task, run.number);
        self.state.stops.borrow_mut().push((run.task, run.number));
        Ok(())
    }

    async fn throttle(&self, _: &RunnerAddress, run: RunRef, percent: u8) -> Result<(), CallError> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let throttle = (run.task, run.number, percent);
        self.state.throttles.borrow_mut().push(throttle);
        if self.state.throttles_fail.get() {
            return Err(call_error("throttle", Effect::Unknown));
        }
        Ok(())
    }
}

impl Catalog for PlatformClient {
    fn policy_key(&self) -> &str {
        POLICY
    }

    fn runners_prefix(&self) -> &str {
        RUNNERS
    }

    fn evacuations_prefix(&self) -> &str {
        EVACUATIONS
    }

    fn decode_policy(&self, value: &[u8]) -> Result<Policy, CallError> {
        let text = String::from_utf8_lossy(value);
        let mut words = text.split(' ');
        let version = words.next().and_then(|it| it.parse().ok()).unwrap_or(1);
        Ok(Policy {
            version,
            queues: words.map(queue).collect(),
            ..Policy::default()
        })
    }

    fn decode_runner(&self, id: &str, value: &[u8]) -> Result<RunnerInfo, CallError> {
        Ok(RunnerInfo {
            id: id.to_owned(),
            address: String::new(),
            data_centre: data_centre(value),
            service: service(value),
            state: if value == DRAINING {
                RunnerState::Draining
            } else {
                RunnerState::Ready
            },
            cold_remaining: Duration::ZERO,
            capacity: Size {
                cpu_millis: 8_000,
                memory_mib: 8_000,
                accelerators: 0,
            },
            labels: vec!["a".to_owned(), rack(value)],
        })
    }
}

/// A process with its own task set, so that killing it drops all of its tasks.
pub(crate) struct Process {
    tasks: LocalSet,
    stop: Option<oneshot::Sender<()>>,
    has_ended: Rc<Cell<bool>>,
}

/// A platform with its processes.
pub(crate) struct Cluster {
    pub(crate) state: Rc<PlatformState>,
    started_at: Instant,
    pub(crate) processes: Vec<Option<Process>>,
}

impl Cluster {
    /// Creates a platform with a policy and the given runners, but no processes.
    pub(crate) fn new(runners: &[&str]) -> Self {
        let cluster = Self {
            state: Rc::default(),
            started_at: now(),
            processes: Vec::new(),
        };
        cluster.write_policy(1, &["quotes"]);
        for id in runners {
            cluster.write_runner(id, b"");
        }
        cluster
    }

    /// Writes the key of a runner, which is added if it is not known.
    pub(crate) fn write_runner(&self, id: &str, value: &[u8]) {
        let client = self.client();
        let write = Write::unleased(format!("{RUNNERS}{id}"), value.to_vec());
        client.put(&write, client.next_revision());
        let mut fake_runners = self.state.runners.borrow_mut();
        fake_runners.entry(id.to_owned()).or_default();
    }

    /// Writes a key as a process does.
    pub(crate) fn write_key(&self, key: String, value: Vec<u8>) {
        let client = self.client();
        client.put(&Write::unleased(key, value), client.next_revision());
    }

    /// Requests the evacuation of a data centre.
    pub(crate) fn evacuate(&self, data_centre: &str) {
        let client = self.client();
        let write = Write::unleased(format!("{EVACUATIONS}{data_centre}"), b"{}".to_vec());
        client.put(&write, client.next_revision());
    }

    /// Takes the request back.
    pub(crate) fn end_evacuation(&self, data_centre: &str) {
        self.client().remove(&format!("{EVACUATIONS}{data_centre}"));
    }

    /// Writes a policy with the given queues.
    pub(crate) fn write_policy(&self, version: u64, queues: &[&str]) {
        let text = format!("{version} {}", queues.join(" "));
        let client = self.client();
        let write = Write::unleased(POLICY.to_owned(), text.trim().as_bytes().to_vec());
        client.put(&write, client.next_revision());
    }

    fn client(&self) -> PlatformClient {
        PlatformClient {
            state: Rc::clone(&self.state),
            started_at: self.started_at,
        }
    }

    /// Starts a process with one group and the usual capacity.
    pub(crate) fn start(&mut self, name: &str) -> Handle {
        self.start_with_capacity(name, 500, 1)
    }

    /// Starts a process with the given capacity and number of groups.
    pub(crate) fn start_with_capacity(
        &mut self,
        name: &str,
        capacity_millis: u32,
        group_count: u16,
    ) -> Handle {
        let peer_address = "127.0.0.1:0".parse().expect("an address");
        self.start_at(name, capacity_millis, group_count, peer_address)
    }

    /// Starts a process that other processes reach at `peer_address`.
    pub(crate) fn start_at(
        &mut self,
        name: &str,
        capacity_millis: u32,
        group_count: u16,
        peer_address: SocketAddr,
    ) -> Handle {
        let (handle, calls) = call_channel();
        let options = Options {
            name: name.to_owned(),
            incarnation: self.processes.len() as u64,
            peer_address,
            data_centre: String::new(),
            capacity_millis,
            link_bytes_per_s: match self.state.link_bytes_per_s.get() {
                0 => 125_000_000,
                bytes_per_s => bytes_per_s,
            },
            group_count,
            store_reads_per_s: self
                .state
                .call_limits
                .get()
                .map_or(2_000, |it| it.reads_per_s),
            engine: persimmon_sched::Options {
                follows_evacuations: self.state.follows_evacuations.get(),
                ..persimmon_sched::Options::default()
            },
        };
        let clock = Arc::new(VirtualClock {
            started_at: self.started_at,
        });
        let tasks = LocalSet::new();
        let client = self.client();
        let (stop, stopped) = oneshot::channel();
        let has_ended = Rc::new(Cell::new(false));
        let ends = Rc::clone(&has_ended);
        tasks.spawn_local(async move {
            let stopped = async { drop(stopped.await) };
            run(client, options, clock, calls, stopped).await;
            ends.set(true);
        });
        self.processes.push(Some(Process {
            tasks,
            stop: Some(stop),
            has_ended,
        }));
        handle
    }

    /// Makes other processes call the process at another address.
    pub(crate) fn set_member_address(&self, name: &str, address: SocketAddr) {
        let key = format!("ps/m/node/{name}");
        let (item, lease) = self.state.items.borrow()[&key].clone();
        let value = String::from_utf8_lossy(&item.value).into_owned();
        let mut words: Vec<_> = value.split(' ').collect();
        let address = address.to_string();
        words[1] = &address;
        let write = Write {
            key,
            value: words.join(" ").into_bytes(),
            lease: lease.map(Lease),
        };
        let client = self.client();
        client.put(&write, client.next_revision());
    }

    /// Drops the store's history, so that all watches start again.
    pub(crate) fn compact(&self) {
        self.state.compacted.set(self.client().next_revision());
    }

    /// Ends all sessions at once, with the keys bound to them.
    pub(crate) fn end_sessions(&self) {
        for (until, _) in self.state.leases.borrow_mut().values_mut() {
            *until = now();
        }
        self.client().expire();
    }

    /// Returns how long the runs on a runner may continue without a renewal.
    pub(crate) fn lease_left(&self, runner: &str) -> Duration {
        let deadline_ms = self.state.runners.borrow()[runner].deadline_ms;
        Duration::from_millis(deadline_ms.saturating_sub(self.client().clock_ms()))
    }

    /// Crashes a runner for good; the instance list no longer contains it.
    pub(crate) fn remove_runner(&self, id: &str) {
        self.state.runners.borrow_mut().remove(id);
        self.unlist_runner(id);
    }

    /// Removes a runner from the instance list; it goes on.
    pub(crate) fn unlist_runner(&self, id: &str) {
        self.client().remove(&format!("{RUNNERS}{id}"));
    }

    /// Adds a runner to the instance list again.
    pub(crate) fn list_runner(&self, id: &str) {
        let client = self.client();
        let write = Write::unleased(format!("{RUNNERS}{id}"), Vec::new());
        client.put(&write, client.next_revision());
    }

    /// Returns the highest fencing token that a runner has seen.
    pub(crate) fn fencing_token(&self, runner: &str) -> u64 {
        self.state.runners.borrow()[runner].fencing_token
    }

    /// Returns the number of runs in progress on a runner.
    pub(crate) fn running_count(&self, runner: &str) -> usize {
        self.state.runners.borrow()[runner].running.len()
    }

    /// Kills the process that was started as number `index`.
    pub(crate) fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    /// Returns whether the process that was started as number `index` runs and is not stopping.
    pub(crate) fn is_running_on(&self, index: usize) -> bool {
        let process = self.processes[index].as_ref();
        process.is_some_and(|process| process.stop.is_some())
    }

    /// Stops the process that was started as number `index`, which ends after its drain.
    pub(crate) fn stop(&mut self, index: usize) {
        let process = self.processes[index].as_mut();
        let stop = process.and_then(|process| process.stop.take());
        if let Some(stop) = stop {
            stop.send(()).expect("the process waits for it");
        }
    }

    /// Runs all processes until `until` resolves.
    pub(crate) async fn run_until<T>(&mut self, until: impl Future<Output = T>) -> T {
        let mut until = Box::pin(until);
        poll_fn(|context| {
            for slot in &mut self.processes {
                let Some(process) = slot else {
                    continue;
                };
                // The task set never completes, as some of its tasks run forever.
                let _ = Pin::new(&mut process.tasks).poll(context);
                if process.has_ended.get() {
                    *slot = None;
                }
            }
            match until.as_mut().poll(context) {
                Poll::Ready(value) => Poll::Ready(value),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Runs all processes for the given time.
    pub(crate) async fn advance(&mut self, time: Duration) {
        self.run_until(tokio::time::sleep(time)).await;
    }

    /// Returns the name of the process that owns a group.
    pub(crate) fn owner_of(&self, group: u16) -> Option<String> {
        let items = self.state.items.borrow();
        let (item, _) = items.get(&format!("ps/m/own/{group}"))?;
        let text = String::from_utf8_lossy(&item.value).into_owned();
        Some(text.split_once('#')?.0.to_owned())
    }

    /// Returns the keys in the store that start with `prefix`.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let items = self.state.items.borrow();
        let keys = items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the number of starts of a job's tasks.
    pub(crate) fn start_count(&self, job: u64) -> usize {
        let starts = self.state.starts.borrow();
        starts
            .iter()
            .filter(|(task, ..)| task.job == JobId::new(job))
            .count()
    }
}

pub(crate) fn request(job: u64) -> Request {
    Request {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{}", JobId::new(job)),
        timeout: Some(Duration::from_secs(3)),
    }
}

/// Returns a job with one task that runs for `ms` milliseconds.
pub(crate) fn spec(ms: u64) -> JobSpec {
    JobSpec {
        id: JobId::new(0),
        queue: String::new(),
        payload: String::new(),
        submitted_at_ms: 0,
        steps: vec![StepSpec {
            count: 1,
            size: Size {
                cpu_millis: 1_000,
                memory_mib: 100,
                accelerators: 0,
            },
            estimate_ms: ms,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

/// Queries the phase of a job.
pub(crate) async fn phase(cluster: &mut Cluster, handle: &Handle, job: u64) -> Option<Phase> {
    let phase = cluster.run_until(handle.phase(request(job))).await;
    phase.expect("an answer")
}

/// Submits a job with one task that runs for `ms` milliseconds; it is accepted.
pub(crate) async fn submit(cluster: &mut Cluster, handle: &Handle, job: u64, ms: u64) {
    let accepted = cluster
        .run_until(handle.submit(request(job), spec(ms)))
        .await;
    accepted.expect("accepted");
}
