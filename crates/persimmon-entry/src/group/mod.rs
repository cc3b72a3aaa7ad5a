//! The owner of one group: passes events to the engine and carries out its orders.

mod activity;
mod commit;
mod evacuations;
mod inbox;
mod learned;
mod lease_authority;
mod relays;
mod runner_list;

pub(crate) use self::{inbox::LOADING_LOG_INTERVAL, lease_authority::Predecessors};

use self::{
    activity::{Activity, Part},
    lease_authority::LeaseAuthority,
    relays::Relays,
};
use crate::{
    keys::{self, GroupId},
    platform::{Lease, Platform, Precondition, Txn},
    state::Shared,
};
use persimmon_sched::{Engine, RunnerInfo};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::Notify, task::JoinSet};

/// Shortest pause between decision rounds, so that events that come together are handled and
/// written together.
const ROUND_PAUSE_MIN: Duration = Duration::from_millis(8);
/// The pause after a round, as a multiple of the round's duration. Rounds share one thread with the
/// callers' requests, so the rounds of a group take at most a third of the thread's time, unless
/// [`ROUND_PAUSE_MAX`] cuts the pause short.
const ROUND_PAUSE_FACTOR: u32 = 2;
/// Longest pause. The measured duration of a round includes any time the instance was suspended.
const ROUND_PAUSE_MAX: Duration = Duration::from_millis(120);
/// Longest wait for an event after the pause: leases expire and backoffs end without one.
const IDLE_WAIT_MAX: Duration = Duration::from_millis(60);
/// A part of the owner's work that takes this long without a pause is logged: renewals of the session
/// wait meanwhile.
const SLOW_PART: Duration = Duration::from_millis(200);
/// Interval at which the group's load is logged.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// A task that has not run for this long is logged.
const STALLED_AFTER: Duration = Duration::from_secs(4);
/// Maximum number of stalled tasks logged per interval; their total number is always logged.
const STALLED_LOG_MAX: usize = 4;
/// Interval between checks for jobs that may be removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// A group that this process serves as its owner, from the takeover until it stops serving it.
pub(crate) struct OwnedGroup<P> {
    pub(crate) shared: Rc<Shared<P>>,
    pub(crate) id: GroupId,
    /// The revision of the owner's key, sent with each call to a runner.
    pub(crate) fencing_token: u64,
    /// The session that the owner's key is bound to.
    session: Option<Lease>,
    pub(crate) engine: RefCell<Engine>,
    pub(crate) is_loaded: Cell<bool>,
    /// `None` once all earlier owners are known to have ended.
    predecessors: RefCell<Option<Predecessors>>,
    lease_authority: Cell<LeaseAuthority>,
    runners: RefCell<HashMap<String, RunnerInfo>>,
    relays: Relays,
    /// When this process began to serve the group.
    started_at: Instant,
    background_tasks: RefCell<JoinSet<()>>,
    /// Signals that something happened that the engine may act on.
    wake: Notify,
    /// Signals that a record may be waiting to be written.
    commit_wake: Notify,
    commits_in_flight: Cell<usize>,
    is_stopping: Cell<bool>,
    stop_requested: Notify,
    /// What was done since the last log line about it.
    activity: Cell<Activity>,
}

impl<P: Platform> OwnedGroup<P> {
    /// Serves a group that this process has just taken, until [`Self::stop_serving`] is called.
    pub(crate) fn serve(
        shared: Rc<Shared<P>>,
        id: GroupId,
        fencing_token: u64,
        predecessors: Predecessors,
    ) {
        let options = shared.options.engine.clone();
        let group = Rc::new(Self {
            engine: RefCell::new(Engine::new(options, shared.now())),
            id,
            fencing_token,
            session: shared.lease.get(),
            predecessors: RefCell::new(Some(predecessors)),
            is_loaded: Cell::new(false),
            lease_authority: Cell::new(LeaseAuthority::default()),
            runners: RefCell::default(),
            relays: Relays::default(),
            started_at: shared.now(),
            background_tasks: RefCell::default(),
            wake: Notify::new(),
            commit_wake: Notify::new(),
            commits_in_flight: Cell::new(0),
            is_stopping: Cell::new(false),
            stop_requested: Notify::new(),
            activity: Cell::default(),
            shared: Rc::clone(&shared),
        });
        shared.groups.borrow_mut().insert(id, Rc::clone(&group));
        let mut last_fencing_tokens = shared.last_fencing_tokens.borrow_mut();
        last_fencing_tokens.insert(id, fencing_token);
        drop(last_fencing_tokens);
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = Rc::clone(&group).run() => {}
                () = group.stop_requested.notified() => {}
            }
            group.background_tasks.borrow_mut().abort_all();
            group.close_own_relay();
            shared.groups.borrow_mut().remove(&id);
        });
    }

    async fn run(self: Rc<Self>) {
        let taken_at = self.shared.now();
        self.configure();
        let revision = self.load().await;
        self.is_loaded.set(true);
        self.spawn(Rc::clone(&self).follow_inbox(revision));
        self.spawn(Rc::clone(&self).follow_runners());
        if self.shared.options.engine.follows_evacuations {
            self.spawn(Rc::clone(&self).follow_evacuations());
        }
        self.spawn(Rc::clone(&self).commit());
        self.spawn(Rc::clone(&self).shorten_settled_jobs());
        self.spawn(Rc::clone(&self).write_summaries());
        self.spawn(Rc::clone(&self).maintain_lease_authority(taken_at));
        self.spawn(Rc::clone(&self).remove_expired_jobs());
        self.spawn(Rc::clone(&self).log_load());
        self.spawn(Rc::clone(&self).save_learned());
        self.decide().await;
    }

    /// Runs decision rounds. Never returns.
    async fn decide(self: &Rc<Self>) {
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(IDLE_WAIT_MAX) => {}
            }
            let started_at = self.shared.now();
            self.configure();
            self.check_predecessors();
            let wall_ms = self.shared.wall_ms();
            self.timed(Part::Settle, || {
                let now = self.shared.now();
                self.engine.borrow_mut().settle(wall_ms, now);
            });
            self.timed(Part::Place, || {
                let now = self.shared.now();
                self.engine.borrow_mut().place(wall_ms, now);
            });
            let orders = self.engine.borrow_mut().take_orders();
            if self.engine.borrow().is_fenced() {
                self.stop_serving("a runner has seen a higher fencing token");
            }
            self.timed(Part::Assign, || self.assign_runners());
            self.timed(Part::Order, || {
                for order in orders {
                    self.send_order(order);
                }
            });
            self.commit_wake.notify_one();
            while self.background_tasks.borrow_mut().try_join_next().is_some() {}
            let duration = self.shared.now().saturating_duration_since(started_at);
            self.record(|it| it.add_round(duration));
            tokio::time::sleep(
                (duration * ROUND_PAUSE_FACTOR).clamp(ROUND_PAUSE_MIN, ROUND_PAUSE_MAX),
            )
            .await;
        }
    }

    fn configure(&self) {
        let extra_report_age = self.extra_report_age();
        self.engine
            .borrow_mut()
            .set_extra_report_age(extra_report_age);
        if let Some(policy) = &*self.shared.policy.borrow() {
            let mut engine = self.engine.borrow_mut();
            if policy.version > engine.policy_version() {
                engine.configure(policy.clone());
            }
        }
    }

    /// Runs a future in the background until it completes or the group is no longer served.
    fn spawn(&self, future: impl std::future::Future<Output = ()> + 'static) {
        self.background_tasks.borrow_mut().spawn_local(future);
    }

    /// Logs the group's load and activity periodically. Never returns.
    async fn log_load(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOAD_LOG_INTERVAL).await;
            self.timed(Part::Describe, || {
                let load = self.engine.borrow().load(self.shared.now());
                log::info!("event=group.load group={} {load}", self.id.0);
                self.log_stalled();
            });
            let runners = self.relays.runner_count();
            let relays = self.relays.relay_count();
            let activity = self.activity.take();
            log::info!(
                "event=group.activity group={} polled_runners={runners} relays={relays} {activity} \
                 {}",
                self.id.0,
                self.peer_bytes()
            );
        }
    }

    /// Describes the payload bytes exchanged with peers since the process started.
    fn peer_bytes(&self) -> String {
        let peers = self.shared.peers.borrow();
        let (sent, received) = peers.as_ref().map_or((0, 0), |it| it.transferred_bytes());
        format!("peer_bytes_sent={sent} peer_bytes_received={received}")
    }

    /// Logs tasks that have not run for long for no known reason.
    fn log_stalled(&self) {
        let now = self.shared.now();
        let stalled = self.engine.borrow_mut().stalled(STALLED_AFTER, now);
        let total = stalled.len();
        for it in stalled.iter().take(STALLED_LOG_MAX) {
            log::warn!("event=task.stalled group={} total={total} {it}", self.id.0);
        }
    }

    /// Removes jobs that ended long ago, periodically. Never returns.
    async fn remove_expired_jobs(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            let now = self.shared.now();
            let jobs = self.engine.borrow_mut().remove_expired_jobs(now);
            self.remove(&jobs).await;
        }
    }
}

impl<P> OwnedGroup<P> {
    /// Returns the precondition that this process still owns the group.
    fn ownership(&self) -> Precondition {
        Precondition {
            key: keys::owner(self.id),
            revision: self.fencing_token,
        }
    }

    /// Returns an empty transaction that is applied only while this process owns the group.
    fn owned_txn(&self) -> Txn {
        Txn {
            preconditions: vec![self.ownership()],
            ..Txn::default()
        }
    }

    /// Does a part of the owner's work, and notes how long it takes.
    fn timed<T>(&self, part: Part, work: impl FnOnce() -> T) -> T {
        let started_at = self.shared.now();
        let result = work();
        let duration = self.shared.now().saturating_duration_since(started_at);
        self.record(|it| it.add_part(part, duration));
        if duration >= SLOW_PART {
            log::warn!(
                "event=group.slow group={} part={} duration_ms={}",
                self.id.0,
                part.name(),
                duration.as_millis()
            );
        }
        result
    }

    fn record(&self, change: impl FnOnce(&mut Activity)) {
        let mut activity = self.activity.get();
        change(&mut activity);
        self.activity.set(activity);
    }

    /// Triggers a decision round.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Stops serving the group, because its ownership was lost or is being handed over. Later calls
    /// have no effect.
    pub(crate) fn stop_serving(&self, reason: &str) {
        if !self.is_stopping.replace(true) {
            log::warn!(
                "event=group.lost group={} fence={} reason=\"{reason}\"",
                self.id.0,
                self.fencing_token
            );
            self.stop_requested.notify_one();
        }
    }
}
