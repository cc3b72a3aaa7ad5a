//! Calls between the processes: an entry tells a group's owner what it wrote, and asks it for states.
//!
//! Nothing depends on them: what an owner is told lies in the store, and what it is asked can be read
//! there. They save calls to the store, and time when its watches are late.

use crate::{
    keys::{self, GroupId},
    platform::{Platform, Txn, TxnOutcome},
    state::Shared,
};
use persimmon_mesh::{Authority, Handler, Keys, KeysError, Mesh, Options};
use persimmon_sched::{JobId, JobSpec, Phase};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Calls of peers that may wait.
const CALLS_MAX: usize = 512;
/// An owner answers from memory; a caller turns to the store after this time.
const CALL_LIMIT: Duration = Duration::from_millis(250);
/// An owner that did not answer is not asked again for this long.
const SILENT_FOR: Duration = Duration::from_secs(1);
/// Before the keys are looked for again.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What a process tells or asks a group's owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Question {
    /// This job has been written.
    Submitted(JobSpec),
    /// This job's cancellation has been written.
    Cancelled(JobId),
    /// How far is this job?
    Phase(JobId),
    /// How many jobs of the group wait, by queue?
    Waiting(u16),
    /// What do you know of this group's owner?
    Witness(u16),
}

/// What the owner answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// It has taken note.
    Noted,
    /// It does not own the group, or does not know the job.
    Unknown,
    /// The job's phase.
    Phase(Phase),
    /// Jobs that wait, by queue.
    Waiting(BTreeMap<String, u64>),
    /// What a process knows of a group's owner.
    Witness(Witness),
}

/// What a process knows of a group's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Witness {
    /// It has not heard the store lately.
    pub(crate) store_is_silent: bool,
    /// The revision of the owner's key as it last saw it; 0 for none.
    pub(crate) owner_revision: u64,
}

type Asked = (Question, oneshot::Sender<Reply>);

/// Hands the calls of peers to the thread that decides.
pub(crate) struct Inbox {
    asked: mpsc::Sender<Asked>,
}

impl Handler<Question, Reply> for Inbox {
    async fn handle(&self, question: Question) -> Reply {
        let (sender, receiver) = oneshot::channel();
        if self.asked.try_send((question, sender)).is_err() {
            return Reply::Unknown;
        }
        receiver.await.unwrap_or(Reply::Unknown)
    }
}

pub(crate) type Peers = Mesh<Question, Reply>;

/// Opens the mesh once the keys are known, and answers peers for good.
pub(crate) async fn serve<P: Platform>(shared: Rc<Shared<P>>) {
    let keys = loop {
        match find_keys(&shared).await {
            Ok(Some(keys)) => break keys,
            Ok(None) => tokio::time::sleep(RETRY_AFTER).await,
            Err(err) => {
                log::error!("event=peers.keys fault=\"{err}\"");
                return;
            }
        }
    };
    let address = shared.options.peer_address;
    let mesh = match Peers::open(address, &keys, Options::default()) {
        Ok(mesh) => Arc::new(mesh),
        Err(err) => {
            log::error!("event=peers.open fault=\"{err}\"");
            return;
        }
    };
    let (asked, mut questions) = mpsc::channel(CALLS_MAX);
    *shared.peers.borrow_mut() = Some(Arc::clone(&mesh));
    tokio::spawn(mesh.serve(Arc::new(Inbox { asked })));
    while let Some((question, reply)) = questions.recv().await {
        // A peer that gave up has no use for the answer.
        let _ = reply.send(answer(&shared, question));
    }
}

/// Keys from the authority that lies in the store; creates it if there is none.
async fn find_keys<P: Platform>(shared: &Shared<P>) -> Result<Option<Keys>, KeysError> {
    let item = match shared.platform.get(keys::AUTHORITY).await {
        Ok(item) => item,
        Err(fault) => {
            log::debug!("event=peers.keys fault=\"{fault}\"");
            return Ok(None);
        }
    };
    let Some(item) = item else {
        create_authority(shared).await?;
        return Ok(None);
    };
    let broken = |reason: String| KeysError {
        part: "authority",
        reason,
    };
    let (certificate, key): (String, String) =
        postcard::from_bytes(&item.value).map_err(|err| broken(err.to_string()))?;
    let authority = Authority::from_pem(&certificate, &key)?;
    authority.issue(&shared.options.name).map(Some)
}

async fn create_authority<P: Platform>(shared: &Shared<P>) -> Result<(), KeysError> {
    let authority = Authority::create()?;
    let pair = (authority.certificate(), authority.private_key());
    let value = postcard::to_stdvec(&pair).map_err(|err| KeysError {
        part: "authority",
        reason: err.to_string(),
    })?;
    let txn = Txn::create(keys::AUTHORITY.to_owned(), value);
    // Whoever wrote first wins; the next look finds it.
    match shared.platform.txn(&txn).await {
        Ok(TxnOutcome::Done { .. }) => log::info!("event=peers.authority outcome=created"),
        Ok(_) => log::debug!("event=peers.authority outcome=found"),
        Err(fault) => log::debug!("event=peers.authority fault=\"{fault}\""),
    }
    Ok(())
}

fn answer<P: Platform>(shared: &Shared<P>, question: Question) -> Reply {
    if let Question::Witness(group) = question {
        return Reply::Witness(witness(shared, GroupId(group)));
    }
    let group = match &question {
        Question::Submitted(spec) => shared.home(spec.id),
        Question::Cancelled(job) | Question::Phase(job) => shared.home(*job),
        Question::Waiting(group) | Question::Witness(group) => GroupId(*group),
    };
    let groups = shared.groups.borrow();
    let Some(group) = groups.get(&group).filter(|it| it.is_loaded.get()) else {
        return Reply::Unknown;
    };
    let (wall_ms, now) = (shared.wall_ms(), shared.now());
    match question {
        Question::Submitted(spec) => {
            group.engine.borrow_mut().add_job(spec, None, wall_ms, now);
            group.wake();
            Reply::Noted
        }
        Question::Cancelled(job) => {
            group.engine.borrow_mut().cancel(job, now);
            group.wake();
            Reply::Noted
        }
        Question::Phase(job) => {
            let phase = group.engine.borrow().phase(job);
            phase.map_or(Reply::Unknown, Reply::Phase)
        }
        Question::Waiting(_) | Question::Witness(_) => {
            Reply::Waiting(group.engine.borrow().waiting_jobs())
        }
    }
}

fn witness<P>(shared: &Shared<P>, group: GroupId) -> Witness {
    let owners = shared.owners.borrow();
    Witness {
        store_is_silent: shared.store_is_silent(),
        owner_revision: owners.get(&group).map_or(0, |owner| owner.revision),
    }
}

/// What the other members know of a group's owner, as far as they answer, and the number of all members.
pub(crate) async fn witnesses<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
) -> (Vec<Witness>, usize) {
    let own = shared.options.peer_address;
    let others: Vec<_> = {
        let members = shared.members.borrow();
        let addresses = members.values().filter_map(|it| it.address);
        addresses.filter(|&it| it != own).collect()
    };
    let total = others.len() + 1;
    let Some(mesh) = shared.peers.borrow().clone() else {
        return (Vec::new(), total);
    };
    let mut calls = tokio::task::JoinSet::new();
    for address in others {
        let mesh = Arc::clone(&mesh);
        calls.spawn(async move {
            mesh.call(address, &Question::Witness(group.0), CALL_LIMIT)
                .await
        });
    }
    let mut found = Vec::new();
    while let Some(call) = calls.join_next().await {
        if let Ok(Ok(Reply::Witness(witness))) = call {
            found.push(witness);
        }
    }
    (found, total)
}

/// Asks a group's owner; `None` if it is this process, is not known or does not answer.
pub(crate) async fn ask<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
    question: &Question,
) -> Option<Reply> {
    let address = shared.owner_address(group)?;
    let mesh = shared.peers.borrow().clone()?;
    match mesh.call(address, question, CALL_LIMIT).await {
        Ok(reply) => Some(reply),
        Err(err) => {
            log::debug!("event=peers.call fault=\"{err}\"");
            let until = shared.now() + SILENT_FOR;
            shared.silent_peers.borrow_mut().insert(address, until);
            None
        }
    }
}

/// Tells a group's owner, without waiting for it.
pub(crate) fn tell<P: Platform>(shared: &Rc<Shared<P>>, group: GroupId, question: Question) {
    if let Some(it) = shared.groups.borrow().get(&group) {
        if it.is_loaded.get() {
            answer(shared, question);
            return;
        }
    }
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        ask(&shared, group, &question).await;
    });
}

/// Splits what a process wrote of itself into its name and its address.
pub(crate) fn parse_process(text: &str) -> (String, Option<SocketAddr>) {
    match text.split_once(' ') {
        Some((name, address)) => (name.to_owned(), address.parse().ok()),
        None => (text.to_owned(), None),
    }
}
