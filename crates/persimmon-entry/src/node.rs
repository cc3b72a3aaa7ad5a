use crate::{
    front::Calls,
    mirror::{self, Watching},
    owners, peers,
    platform::{Change, Item, Platform},
    session,
    state::Shared,
};
use persimmon_types::Clock;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

/// How often readiness is worked out anew.
const READY_EVERY: Duration = Duration::from_millis(50);
/// A stopping process still answers for this long: the balancer needs two misses of a check a second.
const DRAIN: Duration = Duration::from_millis(2_600);
/// The longest wait for the hand-over of groups at a stop.
const HAND_OVER: Duration = Duration::from_millis(600);

/// A policy must be in force two seconds after it was written, also if a connection goes silent.
const POLICY: Watching = Watching {
    wait: Duration::from_millis(800),
    gap: Duration::ZERO,
};

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct Options {
    /// The instance's name.
    pub name: String,
    /// Tells this incarnation of the process from earlier ones.
    pub incarnation: u64,
    /// Where other processes call this one.
    pub peer_address: SocketAddr,
    /// What this instance can carry, in thousandths of a core: who can carry more owns groups first.
    pub capacity_millis: u32,
    /// The number of groups; the same everywhere.
    pub group_count: u16,
    /// Limits of the engine.
    pub engine: persimmon_sched::Options,
}

/// Runs the process on this thread until `stop` completes and the drain is over.
///
/// Must be called on a [`tokio::task::LocalSet`].
pub async fn run<P: Platform>(
    platform: P,
    options: Options,
    clock: Arc<dyn Clock>,
    mut calls: Calls,
    stop: impl Future<Output = ()>,
) {
    log::info!(
        "event=process.start name={} incarnation={} groups={}",
        options.name,
        options.incarnation,
        options.group_count
    );
    let shared = Rc::new(Shared {
        platform,
        options,
        clock,
        policy: RefCell::default(),
        lease: Cell::default(),
        incarnations: RefCell::default(),
        members: RefCell::default(),
        proven_at: Cell::default(),
        store_heard_at: Cell::default(),
        groups: RefCell::default(),
        owners: RefCell::default(),
        peers: RefCell::default(),
        silent_peers: RefCell::default(),
        draining: Cell::default(),
    });
    let signs = calls.signs();
    tokio::task::spawn_local(session::keep(Rc::clone(&shared)));
    tokio::task::spawn_local(follow_policy(Rc::clone(&shared)));
    tokio::task::spawn_local(owners::contest(Rc::clone(&shared)));
    tokio::task::spawn_local(peers::serve(Rc::clone(&shared)));
    let for_calls = Rc::clone(&shared);
    tokio::task::spawn_local(async move { calls.serve(&for_calls).await });
    let show = async {
        loop {
            signs.show(shared.is_ready(), shared.draining.get());
            tokio::time::sleep(READY_EVERY).await;
        }
    };
    tokio::select! {
        () = show => {}
        () = stop => {}
    }
    signs.show(false, true);
    shared.draining.set(true);
    log::info!("event=process.drain");
    let groups = shared.groups.borrow().values().map(Rc::clone).collect();
    let handed_over = owners::hand_over(&shared, groups, "the process stops");
    let handed_over = tokio::time::timeout(HAND_OVER, handed_over).await;
    if handed_over.is_err() {
        log::warn!("event=group.hand_over reason=\"no answer in time\"");
    }
    tokio::time::sleep(DRAIN).await;
    log::info!("event=process.stop");
}

async fn follow_policy<P: Platform>(shared: Rc<Shared<P>>) {
    let key = shared.platform.policy_key().to_owned();
    mirror::follow(&shared, &key, POLICY, None, |change| {
        if let Change::Put(item) = change {
            take_policy(&shared, &key, &item);
        }
    })
    .await;
}

fn take_policy<P: Platform>(shared: &Shared<P>, key: &str, item: &Item) {
    if item.key != key {
        return;
    }
    match shared.platform.policy(&item.value) {
        Ok(policy) => {
            let mut current = shared.policy.borrow_mut();
            let known = current.as_ref().map_or(0, |it| it.version);
            if current.is_none() || policy.version > known {
                log::info!(
                    "event=policy.apply version={} known={known}",
                    policy.version
                );
                *current = Some(policy);
            }
        }
        Err(fault) => log::error!("event=policy.broken fault=\"{fault}\""),
    }
}
