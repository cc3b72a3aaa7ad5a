use super::{Member, MEMBER_PREFIX};
use crate::{
    context::Context,
    message::{Answer, HolderWire, Question},
};
use futures_util::future::join_all;
use persimmon_store::{CasOutcome, Lease, Store};
use persimmon_wire::store::Cas;
use std::{sync::Arc, time::Duration};

/// The part of a session's life after which it is renewed.
const RENEWALS_PER_TTL: u32 = 3;
/// The part of a session's life that one renewal may take.
const RENEWAL_LIMIT_PART: u32 = 4;
const PROMISE_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before another try to join.
const JOIN_PAUSE: Duration = Duration::from_millis(250);

/// Keeps this daemon's session in the store, or promises in its place, while the process runs.
pub(crate) async fn run(context: Arc<Context>) {
    let mut lease = None;
    let pause = context.settings.session_ttl / RENEWALS_PER_TTL;
    loop {
        match lease {
            Some(held) => {
                lease = renew(&context, held).await;
                if lease.is_some() {
                    tokio::time::sleep(pause).await;
                }
            }
            None => {
                lease = join(&context).await;
                if lease.is_none() {
                    ask_promises_if_needed(&context).await;
                    tokio::time::sleep(JOIN_PAUSE).await;
                }
            }
        }
    }
}

/// Renews; `None` when the session has ended.
async fn renew(context: &Arc<Context>, lease: Lease) -> Option<Lease> {
    let asked_at = context.now();
    // A call that hangs must leave time for another before the session lapses.
    let limit = context.settings.session_ttl / RENEWAL_LIMIT_PART;
    let Ok(renewed) = tokio::time::timeout(limit, context.store.renew(lease)).await else {
        log::warn!("step=session.renew peer=store reason=\"no answer in time\"");
        ask_promises_if_needed(context).await;
        return Some(lease);
    };
    match renewed {
        Ok(true) => {
            context.hear_store(asked_at);
            context.ownership.lock().confirm(asked_at);
            Some(lease)
        }
        Ok(false) => {
            log::warn!("step=session.renew peer=store reason=\"the session has ended\"");
            context.hear_store(asked_at);
            context.ownership.lock().end();
            None
        }
        Err(err) => {
            log::warn!("step=session.renew peer=store reason=\"{err}\"");
            ask_promises_if_needed(context).await;
            Some(lease)
        }
    }
}

/// Begins a session and writes this member's record under it.
async fn join(context: &Arc<Context>) -> Option<Lease> {
    if context.is_draining() {
        return None;
    }
    let asked_at = context.now();
    let lease = match context.store.grant(context.settings.session_ttl).await {
        Ok(lease) => lease,
        Err(err) => {
            log::debug!("step=session.grant peer=store reason=\"{err}\"");
            return None;
        }
    };
    context.hear_store(asked_at);
    if let Err(reason) = register(context, lease).await {
        log::warn!("step=session.register peer=store reason=\"{reason}\"");
        let _ = context.store.revoke(lease).await;
        return None;
    }
    context.ownership.lock().begin(asked_at);
    log::info!(
        "step=session.begin peer=store object={}",
        context.settings.member_id
    );
    context.shards.wake();
    Some(lease)
}

async fn register(context: &Context, lease: Lease) -> Result<(), String> {
    let member = Member {
        id: context.settings.member_id.clone(),
        incarnation: context.incarnation,
        mesh_address: context.mesh_address,
        data_centre: context.settings.data_centre.clone(),
    };
    let key = format!("{MEMBER_PREFIX}{}", member.id);
    let present = context
        .store
        .get(&key)
        .await
        .map_err(|err| err.to_string())?;
    let text = present.as_ref().and_then(|entry| entry.value.as_ref());
    let other = text.and_then(|text| serde_json::from_str::<Member>(text).ok());
    // An address belongs to one process at a time, so a record with ours is of our dead self.
    if let Some(other) = other.filter(|other| other.mesh_address != member.mesh_address) {
        return Err(format!(
            "member id is taken by the daemon at {}",
            other.mesh_address
        ));
    }
    let cas = Cas {
        key,
        expected_revision: present.map_or(0, |entry| entry.revision),
        value: Some(serde_json::to_string(&member).unwrap_or_default()),
        lease: Some(lease.0),
    };
    match context.store.cas(&cas).await {
        Ok(CasOutcome::Written { .. }) => Ok(()),
        Ok(CasOutcome::Conflict { .. }) => Err("another daemon took the member id".to_owned()),
        Err(err) => Err(err.to_string()),
    }
}

/// Asks the witnesses for promises once the session is running out and the store is silent.
async fn ask_promises_if_needed(context: &Arc<Context>) {
    let now = context.now();
    let margin = context.settings.session_ttl / 2;
    let running_out = context
        .ownership
        .lock()
        .session_valid_until()
        .is_none_or(|until| until < now + margin);
    if !running_out
        || context.is_store_reachable() && context.ownership.lock().session(now).is_some()
    {
        return;
    }
    let holder = context.holder();
    let members = context.members.lock().others(&context.settings.member_id);
    let asked_at = context.now();
    let calls = members.iter().map(|member| {
        let message = Question::Promise(holder.clone());
        async move {
            context
                .mesh
                .call(member.mesh_address, &message, PROMISE_TIMEOUT)
                .await
        }
    });
    for (member, answer) in members.iter().zip(join_all(calls).await) {
        match answer {
            Ok(Answer::Given { incarnation }) => {
                let witness = HolderWire {
                    member: member.id.clone(),
                    incarnation,
                };
                context.ownership.lock().promise(&witness, asked_at);
            }
            Ok(Answer::Withheld { reason }) => {
                log::info!("step=promise.ask peer={} reason=\"{reason}\"", member.id);
            }
            Ok(_) => log::warn!("step=promise.ask peer={} reason=\"odd answer\"", member.id),
            Err(err) => log::debug!("step=promise.ask peer={} reason=\"{err}\"", member.id),
        }
    }
}

/// Removes this member's record at a planned stop.
pub(crate) async fn leave(context: &Context) {
    // Others take its shards over once the record is gone, so it must not act for any.
    context.ownership.lock().resign();
    let key = format!("{MEMBER_PREFIX}{}", context.settings.member_id);
    let Ok(Some(entry)) = context.store.get(&key).await else {
        return;
    };
    let cas = Cas {
        key,
        expected_revision: entry.revision,
        value: None,
        lease: None,
    };
    // If this fails the session lapses by itself.
    let _ = context.store.cas(&cas).await;
}
