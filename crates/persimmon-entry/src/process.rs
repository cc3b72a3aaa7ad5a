use crate::{
    handle::CallReceiver,
    job_cache::JobCache,
    ownership, peers,
    platform::{Change, Item, Platform},
    prefix_watch::{self, WatchEvent, WatchOptions},
    relay::RelayService,
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

/// Interval at which readiness is updated.
const READINESS_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a stopping process still answers: the load balancer checks once a second and needs two
/// failed checks to remove it.
const DRAIN_PERIOD: Duration = Duration::from_millis(2_600);
/// How long a process that has drained waits until its peers know that their connections are closed.
const SHUT_DOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Options of the policy watch. A policy must take effect within two seconds of being written, even
/// if a connection goes silent.
const POLICY_WATCH: WatchOptions = WatchOptions {
    wait: Duration::from_millis(800),
    pause: Duration::ZERO,
    by_all_members: true,
    skips_large_versions: true,
    confirms_backlog: false,
};

/// Options of the process.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the instance.
    pub name: String,
    /// Distinguishes this incarnation of the process from earlier ones.
    pub incarnation: u64,
    /// Address at which other processes call this one.
    pub peer_address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Capacity of the instance, in thousandths of a core. Processes with more capacity are
    /// preferred as owners of groups.
    pub capacity_millis: u32,
    /// Bandwidth of the instance's link, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Number of groups, the same on all instances.
    pub group_count: u16,
    /// Limit on the read calls that all processes make to the store, per second.
    pub store_reads_per_s: u32,
    /// Options of the scheduling engine.
    pub engine: persimmon_sched::Options,
}

/// Runs the process on the current thread until `stop` resolves and the drain is over.
///
/// Must be called on a [`tokio::task::LocalSet`].
pub async fn run<P: Platform>(
    platform: P,
    options: Options,
    clock: Arc<dyn Clock>,
    mut calls: CallReceiver,
    stop: impl Future<Output = ()>,
) {
    log::info!(
        "event=process.start name={} incarnation={} groups={}",
        options.name,
        options.incarnation,
        options.group_count
    );
    let shared = Rc::new(Shared {
        relay: RelayService::new(options.capacity_millis),
        job_cache: JobCache::default(),
        platform,
        options,
        clock,
        policy: RefCell::default(),
        lease: Cell::default(),
        incarnations: RefCell::default(),
        members: RefCell::default(),
        session_proven_at: Cell::default(),
        store_answered_at: Cell::default(),
        groups: RefCell::default(),
        last_fencing_tokens: RefCell::default(),
        owners: RefCell::default(),
        peers: RefCell::default(),
        unresponsive_peers: RefCell::default(),
        draining: Cell::default(),
    });
    let status = calls.status();
    tokio::task::spawn_local(session::maintain(Rc::clone(&shared)));
    tokio::task::spawn_local(follow_policy(Rc::clone(&shared)));
    tokio::task::spawn_local(ownership::run(Rc::clone(&shared)));
    tokio::task::spawn_local(peers::serve(Rc::clone(&shared)));
    let shared_for_calls = Rc::clone(&shared);
    tokio::task::spawn_local(async move { calls.serve(&shared_for_calls).await });
    let update_status = async {
        loop {
            status.set(shared.is_ready(), shared.draining.get());
            tokio::time::sleep(READINESS_UPDATE_INTERVAL).await;
        }
    };
    tokio::select! {
        () = update_status => {}
        () = stop => {}
    }
    status.set(false, true);
    shared.draining.set(true);
    log::info!("event=process.drain");
    let handed_over = ownership::hand_over_all(&shared, "the process is stopping");
    let handed_over = tokio::time::timeout(DRAIN_PERIOD, handed_over);
    let (handed_over, ()) = tokio::join!(handed_over, tokio::time::sleep(DRAIN_PERIOD));
    if handed_over.is_err() {
        log::warn!("event=group.hand_over reason=\"no answer in time\"");
    }
    let peers = shared.peers.borrow().clone();
    if let Some(peers) = peers {
        peers.shut_down(SHUT_DOWN_TIMEOUT).await;
    }
    log::info!("event=process.stop");
}

async fn follow_policy<P: Platform>(shared: Rc<Shared<P>>) {
    let key = shared.platform.policy_key().to_owned();
    prefix_watch::follow(&shared, &key, POLICY_WATCH, None, |event| {
        if let WatchEvent::Changed(Change::Put(item)) = event {
            apply_policy(&shared, &key, &item);
        }
    })
    .await;
}

fn apply_policy<P: Platform>(shared: &Shared<P>, key: &str, item: &Item) {
    if item.key != key {
        return;
    }
    match shared.platform.decode_policy(&item.value) {
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
        Err(err) => log::error!("event=policy.invalid fault=\"{err}\""),
    }
}
