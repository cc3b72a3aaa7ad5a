//! The owner of one group: feeds the engine and does what it says.

mod commit;
mod intake;
mod learned;
mod orders;
mod standing;
mod watch;

use self::standing::Standing;
use crate::{
    keys::{self, GroupId},
    platform::{Expected, Platform, Txn},
    state::Shared,
};
use persimmon_sched::{Engine, RunnerInfo};
use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Notify, task::JoinSet};

/// Between two rounds of decisions, so that what happens together is decided and written together.
const ROUND_GAP: Duration = Duration::from_millis(8);
/// After a round comes a rest of so many times its length: calls need the processor too.
const ROUND_REST: u32 = 2;
/// The longest rest: a round's length also counts what the instance was suspended.
const ROUND_REST_MAX: Duration = Duration::from_millis(120);
/// A round comes at least this often: leases lapse and backoffs end without an event.
const ROUND_EVERY: Duration = Duration::from_millis(60);
/// Between two lines that tell what the group carries.
const LOAD_EVERY: Duration = Duration::from_secs(2);
/// Between two looks for jobs that may be forgotten.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);

pub(crate) struct Group<P> {
    pub(crate) shared: Rc<Shared<P>>,
    pub(crate) id: GroupId,
    /// The revision of the owner's key; calls to runners carry it.
    pub(crate) fence: u64,
    pub(crate) engine: RefCell<Engine>,
    pub(crate) is_loaded: Cell<bool>,
    /// Who owned the group before and may still renew leases; `None` once all are known to have ended.
    predecessors: RefCell<Option<Vec<String>>>,
    standing: Cell<Standing>,
    runners: RefCell<HashMap<String, RunnerInfo>>,
    watched: RefCell<HashSet<String>>,
    tasks: RefCell<JoinSet<()>>,
    /// Something happened that the engine may act on.
    wake: Notify,
    /// A record may be waiting to be written.
    commit_wake: Notify,
    commits_in_flight: Cell<usize>,
    /// A record was written.
    written: Notify,
    is_lost: Cell<bool>,
    lost: Notify,
}

impl<P: Platform> Group<P> {
    /// Serves a group that this process has just taken, until it is lost.
    pub(crate) fn serve(shared: Rc<Shared<P>>, id: GroupId, fence: u64, predecessors: Vec<String>) {
        let options = shared.options.engine.clone();
        let group = Rc::new(Self {
            engine: RefCell::new(Engine::new(options, shared.now())),
            id,
            fence,
            predecessors: RefCell::new(Some(predecessors)),
            is_loaded: Cell::new(false),
            standing: Cell::new(Standing::default()),
            runners: RefCell::default(),
            watched: RefCell::default(),
            tasks: RefCell::default(),
            wake: Notify::new(),
            commit_wake: Notify::new(),
            commits_in_flight: Cell::new(0),
            written: Notify::new(),
            is_lost: Cell::new(false),
            lost: Notify::new(),
            shared: Rc::clone(&shared),
        });
        shared.groups.borrow_mut().insert(id, Rc::clone(&group));
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = Rc::clone(&group).run() => {}
                () = group.lost.notified() => {}
            }
            group.tasks.borrow_mut().abort_all();
            shared.groups.borrow_mut().remove(&id);
        });
    }

    async fn run(self: Rc<Self>) {
        self.configure();
        self.recall().await;
        let revision = self.load().await;
        self.is_loaded.set(true);
        self.spawn(Rc::clone(&self).take_in(revision));
        self.spawn(Rc::clone(&self).list_runners());
        self.spawn(Rc::clone(&self).commit());
        self.spawn(Rc::clone(&self).summarize());
        self.spawn(Rc::clone(&self).stand());
        self.spawn(Rc::clone(&self).expire());
        self.spawn(Rc::clone(&self).tell_load());
        self.spawn(Rc::clone(&self).remember());
        self.decide().await;
    }

    /// Rounds of decisions, for good.
    async fn decide(self: &Rc<Self>) {
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(ROUND_EVERY) => {}
            }
            let began_at = self.shared.now();
            self.configure();
            self.look_for_predecessors();
            let orders = {
                let mut engine = self.engine.borrow_mut();
                engine.tick(self.shared.wall_ms(), self.shared.now());
                engine.take_orders()
            };
            if self.engine.borrow().is_fenced() {
                self.lose("a runner knows a higher fence");
            }
            for order in orders {
                self.spawn(Rc::clone(self).carry_out(order));
            }
            self.commit_wake.notify_one();
            while self.tasks.borrow_mut().try_join_next().is_some() {}
            let took = self.shared.now().saturating_duration_since(began_at);
            tokio::time::sleep((took * ROUND_REST).clamp(ROUND_GAP, ROUND_REST_MAX)).await;
        }
    }

    fn configure(&self) {
        if let Some(policy) = &*self.shared.policy.borrow() {
            let mut engine = self.engine.borrow_mut();
            if policy.version > engine.policy_version() {
                engine.configure(policy.clone());
            }
        }
    }

    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().spawn_local(task);
    }

    /// Logs what the group carries, for good.
    async fn tell_load(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOAD_EVERY).await;
            let load = self.engine.borrow().load(self.shared.now());
            log::info!("event=group.load group={} {load}", self.id.0);
        }
    }

    /// Forgets jobs that ended long ago.
    async fn expire(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EXPIRE_EVERY).await;
            let now = self.shared.now();
            let jobs = self.engine.borrow_mut().remove_expired_jobs(now);
            self.remove(&jobs).await;
        }
    }
}

impl<P> Group<P> {
    /// The condition that this process still owns the group.
    pub(crate) fn ownership(&self) -> Expected {
        Expected {
            key: keys::owner(self.id),
            revision: self.fence,
        }
    }

    /// A transaction, yet empty, that happens only while this process owns the group.
    fn owned_txn(&self) -> Txn {
        Txn {
            expected: vec![self.ownership()],
            ..Txn::default()
        }
    }

    /// Lets a round of decisions come soon.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Stops serving the group.
    pub(crate) fn lose(&self, reason: &str) {
        if !self.is_lost.replace(true) {
            log::warn!(
                "event=group.lost group={} fence={} reason=\"{reason}\"",
                self.id.0,
                self.fence
            );
            self.lost.notify_one();
        }
    }
}
