//! Calls between processes: a process notifies a group's owner of what it wrote, and asks it for
//! states.
//!
//! These calls are an optimization: the store holds everything that an owner is notified of or
//! asked for. They save calls to the store, and time when its watches are late. The exception is
//! [`PeerRequest::OwnerView`], which asks whether a member reaches the store and which owner it
//! knows.

use crate::{
    keys::{self, GroupId},
    platform::{Platform, Txn, TxnOutcome},
    relay::{self, RelayReply},
    state::Shared,
    submission::AcceptedJob,
};
use persimmon_mesh::{Authority, Credentials, Handler, Mesh, Options, SetupError};
use persimmon_relay::Batch;
use persimmon_sched::{JobId, Phase};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Calls from peers that may be queued.
const QUEUED_CALLS_MAX: usize = 512;
/// Timeout of a call to a peer. An owner answers from memory; after this time the caller reads the
/// store instead.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an owner that did not answer is not called again.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for which an answer to a batch waits for news.
const HOLD_MAX: Duration = Duration::from_secs(1);
/// Delay before the keys are looked up again.
const KEYS_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before the mesh is opened again: its address may still be in use.
const OPEN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A notification or request to a group's owner; [`Self::OwnerView`] is sent to all members.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The job has been written to the store, under this id.
    Submitted(JobId, Box<AcceptedJob>),
    /// The job's cancellation has been written to the store.
    Cancelled(JobId),
    /// Asks for the phase of the job of a queue with this number.
    Phase(String, u64),
    /// Asks for the number of waiting jobs of a group, by queue.
    Waiting(u16),
    /// Asks what the process knows of a group's owner.
    OwnerView(u16),
    /// A group's owner tells a relay what to do; the answer waits up to so many milliseconds for
    /// news.
    Relay(Box<Batch>, Option<u32>),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// The notification was handled.
    Acknowledged,
    /// The process does not own the group, has not loaded its jobs yet, does not know the job, or
    /// has too many calls queued.
    Unknown,
    /// The phase of the job.
    Phase(Phase),
    /// The number of waiting jobs, by queue.
    Waiting(BTreeMap<String, u64>),
    /// What the process knows of the group's owner.
    OwnerView(OwnerView),
    /// The answer to a batch.
    Relay(RelayReply),
}

/// What a process knows of a group's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerView {
    /// The store has not answered the process lately.
    pub(crate) store_is_unreachable: bool,
    /// The last seen revision of the owner's key; 0 for none.
    pub(crate) owner_revision: u64,
}

type QueuedRequest = (PeerRequest, oneshot::Sender<PeerReply>);

/// Queues calls from peers for [`serve`], which answers them.
pub(crate) struct PeerHandler {
    requests: mpsc::Sender<QueuedRequest>,
}

impl Handler<PeerRequest, PeerReply> for PeerHandler {
    async fn handle(&self, request: PeerRequest) -> PeerReply {
        let (sender, receiver) = oneshot::channel();
        if self.requests.try_send((request, sender)).is_err() {
            return PeerReply::Unknown;
        }
        receiver.await.unwrap_or(PeerReply::Unknown)
    }
}

pub(crate) type Peers = Mesh<PeerRequest, PeerReply>;

/// Opens the mesh once the keys are known, and answers peers. Returns only if the keys are invalid.
pub(crate) async fn serve<P: Platform>(shared: Rc<Shared<P>>) {
    let keys = loop {
        match load_keys(&shared).await {
            Ok(Some(keys)) => break keys,
            Ok(None) => tokio::time::sleep(KEYS_RETRY_DELAY).await,
            Err(err) => {
                log::error!("event=peers.keys fault=\"{err}\"");
                return;
            }
        }
    };
    let address = shared.options.peer_address;
    let mesh = loop {
        match Peers::open(address, &keys, Options::default()) {
            Ok(mesh) => break Arc::new(mesh),
            Err(err) => log::error!("event=peers.open fault=\"{err}\""),
        }
        tokio::time::sleep(OPEN_RETRY_DELAY).await;
    };
    let (requests, mut queue) = mpsc::channel(QUEUED_CALLS_MAX);
    *shared.peers.borrow_mut() = Some(Arc::clone(&mesh));
    tokio::spawn(mesh.serve(Arc::new(PeerHandler { requests })));
    while let Some((request, reply)) = queue.recv().await {
        // The send fails if the peer's call was given up, which needs no answer.
        if let PeerRequest::Relay(batch, hold_ms) = request {
            let shared = Rc::clone(&shared);
            tokio::task::spawn_local(async move {
                let hold = hold_ms.map(|it| Duration::from_millis(u64::from(it)).min(HOLD_MAX));
                let answer = relay::exchange(&shared, *batch, hold).await;
                let _ = reply.send(PeerReply::Relay(answer));
            });
            continue;
        }
        let _ = reply.send(handle_request(&shared, request));
    }
}

/// Issues keys from the authority in the store, creating the authority if there is none. Returns
/// `None` if the lookup must be repeated.
async fn load_keys<P: Platform>(shared: &Shared<P>) -> Result<Option<Credentials>, SetupError> {
    let item = match shared.platform.get(keys::AUTHORITY).await {
        Ok(item) => item,
        Err(err) => {
            log::debug!("event=peers.keys fault=\"{err}\"");
            return Ok(None);
        }
    };
    let Some(item) = item else {
        create_authority(shared).await?;
        return Ok(None);
    };
    let invalid = |reason: String| SetupError {
        part: "authority",
        reason,
    };
    let (certificate, key): (String, String) =
        postcard::from_bytes(&item.value).map_err(|err| invalid(err.to_string()))?;
    let authority = Authority::from_pem(&certificate, &key)?;
    authority.issue(&shared.options.name).map(Some)
}

async fn create_authority<P: Platform>(shared: &Shared<P>) -> Result<(), SetupError> {
    let authority = Authority::create()?;
    let pair = (authority.certificate(), authority.private_key());
    let value = postcard::to_stdvec(&pair).map_err(|err| SetupError {
        part: "authority",
        reason: err.to_string(),
    })?;
    let txn = Txn::create(keys::AUTHORITY.to_owned(), value);
    // The first writer wins; the next lookup finds its authority.
    match shared.platform.txn(&txn).await {
        Ok(TxnOutcome::Done { .. }) => log::info!("event=peers.authority outcome=created"),
        Ok(_) => log::debug!("event=peers.authority outcome=found"),
        Err(err) => log::debug!("event=peers.authority fault=\"{err}\""),
    }
    Ok(())
}

fn handle_request<P: Platform>(shared: &Shared<P>, request: PeerRequest) -> PeerReply {
    if let PeerRequest::OwnerView(group) = request {
        return PeerReply::OwnerView(owner_view(shared, GroupId(group)));
    }
    let group = match &request {
        PeerRequest::Submitted(id, _) | PeerRequest::Cancelled(id) => shared.home_group(id.number),
        PeerRequest::Phase(_, number) => shared.home_group(*number),
        PeerRequest::Waiting(group) | PeerRequest::OwnerView(group) => GroupId(*group),
        PeerRequest::Relay(..) => return PeerReply::Unknown,
    };
    let groups = shared.groups.borrow();
    let Some(group) = groups.get(&group).filter(|it| it.is_loaded.get()) else {
        return PeerReply::Unknown;
    };
    let (wall_ms, now) = (shared.wall_ms(), shared.now());
    match request {
        PeerRequest::Submitted(id, job) => {
            group.add_job(job.with_id(id), None, wall_ms, now);
            group.wake();
            PeerReply::Acknowledged
        }
        PeerRequest::Cancelled(job) => {
            group.engine.borrow_mut().cancel(job, now);
            group.wake();
            PeerReply::Acknowledged
        }
        PeerRequest::Phase(queue, number) => {
            let phase = group.engine.borrow().phase_of(&queue, number);
            phase.map_or(PeerReply::Unknown, PeerReply::Phase)
        }
        PeerRequest::Waiting(_) | PeerRequest::OwnerView(_) | PeerRequest::Relay(..) => {
            PeerReply::Waiting(group.engine.borrow().waiting_jobs())
        }
    }
}

fn owner_view<P>(shared: &Shared<P>, group: GroupId) -> OwnerView {
    let owners = shared.owners.borrow();
    OwnerView {
        store_is_unreachable: shared.store_is_unreachable(),
        owner_revision: owners.get(&group).map_or(0, |owner| owner.revision),
    }
}

/// Asks the other members what they know of a group's owner, at most `calls_max` of them at once,
/// until all have been asked or `is_enough` holds for the answers and the number of all members
/// including this one. Returns both.
pub(crate) async fn owner_views<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
    calls_max: usize,
    is_enough: impl Fn(&[OwnerView], usize) -> bool,
) -> (Vec<OwnerView>, usize) {
    let own_address = shared.options.peer_address;
    let others: Vec<_> = {
        let members = shared.members.borrow();
        let addresses = members.values().filter_map(|it| it.address);
        addresses.filter(|&it| it != own_address).collect()
    };
    let total = others.len() + 1;
    let Some(mesh) = shared.peers.borrow().clone() else {
        return (Vec::new(), total);
    };
    let mut others = others.into_iter();
    let mut calls = tokio::task::JoinSet::new();
    let mut views = Vec::new();
    loop {
        let free_calls = calls_max.saturating_sub(calls.len());
        for address in others.by_ref().take(free_calls) {
            let mesh = Arc::clone(&mesh);
            calls.spawn(async move {
                mesh.call(address, &PeerRequest::OwnerView(group.0), CALL_TIMEOUT)
                    .await
            });
        }
        let Some(call) = calls.join_next().await else {
            break;
        };
        if let Ok(Ok(PeerReply::OwnerView(owner_view))) = call {
            views.push(owner_view);
            if is_enough(&views, total) {
                break;
            }
        }
    }
    (views, total)
}

/// Calls a group's owner. Returns `None` if the owner is this process, is not known or does not
/// answer.
pub(crate) async fn call_owner<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
    request: &PeerRequest,
) -> Option<PeerReply> {
    let address = shared.owner_address(group)?;
    let mesh = shared.peers.borrow().clone()?;
    match mesh.call(address, request, CALL_TIMEOUT).await {
        Ok(reply) => Some(reply),
        Err(err) => {
            log::debug!("event=peers.call fault=\"{err}\"");
            let until = shared.now() + UNRESPONSIVE_BACKOFF;
            shared
                .unresponsive_peers
                .borrow_mut()
                .insert(address, until);
            None
        }
    }
}

/// Notifies a group's owner without waiting for it.
pub(crate) fn notify_owner<P: Platform>(
    shared: &Rc<Shared<P>>,
    group: GroupId,
    request: PeerRequest,
) {
    if let Some(it) = shared.groups.borrow().get(&group) {
        if it.is_loaded.get() {
            handle_request(shared, request);
            return;
        }
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        call_owner(&shared, group, &request).await;
    });
}

/// Splits the value of an owner's key into the process's name and its address.
pub(crate) fn parse_owner(value: &str) -> (String, Option<SocketAddr>) {
    match value.split_once(' ') {
        Some((name, address)) => (name.to_owned(), address.parse().ok()),
        None => (value.to_owned(), None),
    }
}
