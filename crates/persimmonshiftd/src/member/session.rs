//! This daemon's session in the store, on which its ownership of shards rests.
//!
//! While the store is unreachable, other members act as witnesses: each promises for a limited term
//! not to release this member's shards to another one. Enough promises extend the ownership.

use super::{witness_name, Member, MEMBER_PREFIX};
use crate::{
    context::Context,
    message::{HolderWire, PeerRequest, PeerResponse},
};
use futures_util::future::join_all;
use persimmon_store::{CasOutcome, LeaseId, Store};
use persimmon_wire::store::CasRequest;
use std::{sync::Arc, time::Duration};

/// How many times the session is renewed within its TTL.
const RENEWALS_PER_TTL: u32 = 3;
/// How many renewal timeouts make up a session TTL.
const RENEWAL_TIMEOUTS_PER_TTL: u32 = 4;
const PROMISE_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay before another attempt to join.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Renews this daemon's session in the store, and requests promises from witnesses while that
/// fails, until the process ends.
pub(crate) async fn run(context: Arc<Context>) {
    let mut lease = None;
    let renewal_interval = context.settings.session_ttl / RENEWALS_PER_TTL;
    loop {
        match lease {
            Some(lease_id) => {
                lease = renew(&context, lease_id).await;
                if lease.is_some() {
                    tokio::time::sleep(renewal_interval).await;
                }
            }
            None => {
                lease = join(&context).await;
                if lease.is_none() {
                    request_promises_if_needed(&context).await;
                    tokio::time::sleep(JOIN_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Renews the session and returns its lease, or `None` if the store no longer has it.
async fn renew(context: &Arc<Context>, lease: LeaseId) -> Option<LeaseId> {
    let sent_at = context.now();
    // A call that hangs must leave time for another before the session expires.
    let timeout = context.settings.session_ttl / RENEWAL_TIMEOUTS_PER_TTL;
    let Ok(renewed) = tokio::time::timeout(timeout, context.store.renew(lease)).await else {
        log::warn!("step=session.renew peer=store reason=\"the request timed out\"");
        request_promises_if_needed(context).await;
        return Some(lease);
    };
    match renewed {
        Ok(true) => {
            context.record_store_contact(sent_at);
            context.ownership.lock().record_renewal(sent_at);
            Some(lease)
        }
        Ok(false) => {
            log::warn!(
                "step=session.renew peer=store reason=\"the store no longer has the lease\""
            );
            context.record_store_contact(sent_at);
            context.ownership.lock().end_session();
            None
        }
        Err(err) => {
            log::warn!("step=session.renew peer=store reason=\"{err}\"");
            request_promises_if_needed(context).await;
            Some(lease)
        }
    }
}

/// Begins a session and registers this member with its lease.
///
/// Returns `None` if this fails, and while the daemon drains, which the caller handles as a failed
/// attempt.
async fn join(context: &Arc<Context>) -> Option<LeaseId> {
    if context.is_draining() {
        return None;
    }
    let sent_at = context.now();
    let lease = match context.store.grant(context.settings.session_ttl).await {
        Ok(lease) => lease,
        Err(err) => {
            log::debug!("step=session.grant peer=store reason=\"{err}\"");
            return None;
        }
    };
    context.record_store_contact(sent_at);
    if let Err(reason) = register(context, lease).await {
        log::warn!("step=session.register peer=store reason=\"{reason}\"");
        let _ = context.store.revoke(lease).await;
        return None;
    }
    context.ownership.lock().begin_session(sent_at);
    log::info!(
        "step=session.begin peer=store object={}",
        context.settings.member_id
    );
    context.shards.wake();
    Some(lease)
}

/// Writes this member's record, which the store deletes with `lease`.
async fn register(context: &Context, lease: LeaseId) -> Result<(), String> {
    let member = Member {
        id: context.settings.member_id.clone(),
        incarnation: context.incarnation,
        mesh_address: context.mesh_address,
        data_centre: context.settings.data_centre.clone(),
    };
    let key = format!("{MEMBER_PREFIX}{}", member.id);
    let registered = context
        .store
        .get(&key)
        .await
        .map_err(|err| err.to_string())?;
    let text = registered.as_ref().and_then(|entry| entry.value.as_ref());
    let registered_member = text.and_then(|text| serde_json::from_str::<Member>(text).ok());
    // An address is used by one process at a time, so a record with this daemon's address was left
    // by an earlier process of this member.
    if let Some(registered_member) = registered_member
        .filter(|registered_member| registered_member.mesh_address != member.mesh_address)
    {
        return Err(format!(
            "member id is taken by the daemon at {}",
            registered_member.mesh_address
        ));
    }
    let cas = CasRequest {
        key,
        expected_revision: registered.map_or(0, |entry| entry.revision),
        value: Some(serde_json::to_string(&member).unwrap_or_default()),
        lease: Some(lease.0),
    };
    match context.store.cas(&cas).await {
        Ok(CasOutcome::Written { .. }) => Ok(()),
        Ok(CasOutcome::Conflict { .. }) => Err("another daemon took the member id".to_owned()),
        Err(err) => Err(err.to_string()),
    }
}

/// Requests promises from the other members if less than half of the session TTL is left, unless
/// the store is reachable and the session still valid.
async fn request_promises_if_needed(context: &Arc<Context>) {
    let now = context.now();
    let margin = context.settings.session_ttl / 2;
    let expiring = context
        .ownership
        .lock()
        .session_valid_until()
        .is_none_or(|until| until < now + margin);
    if !expiring
        || context.is_store_reachable() && context.ownership.lock().valid_session(now).is_some()
    {
        return;
    }
    let holder = context.holder();
    let members = context.members.lock().others(&context.settings.member_id);
    let sent_at = context.now();
    let calls = members.iter().map(|member| {
        let message = PeerRequest::Promise(holder.clone());
        async move {
            context
                .mesh
                .call(member.mesh_address, &message, PROMISE_TIMEOUT)
                .await
        }
    });
    for (member, answer) in members.iter().zip(join_all(calls).await) {
        match answer {
            Ok(PeerResponse::Granted { incarnation }) => {
                let witness = HolderWire {
                    member: member.id.clone(),
                    incarnation,
                };
                context
                    .ownership
                    .lock()
                    .record_promise(&witness_name(&witness), sent_at);
            }
            Ok(PeerResponse::Denied { reason }) => {
                log::info!("step=promise.ask peer={} reason=\"{reason}\"", member.id);
            }
            Ok(_) => log::warn!(
                "step=promise.ask peer={} reason=\"unexpected response type\"",
                member.id
            ),
            Err(err) => log::debug!("step=promise.ask peer={} reason=\"{err}\"", member.id),
        }
    }
}

/// Removes this member's record during a graceful shutdown.
pub(crate) async fn leave(context: &Context) {
    // Other members take the shards over once the record is removed, so this one must stop acting
    // for them first.
    context.ownership.lock().relinquish();
    let key = format!("{MEMBER_PREFIX}{}", context.settings.member_id);
    let Ok(Some(entry)) = context.store.get(&key).await else {
        return;
    };
    let cas = CasRequest {
        key,
        expected_revision: entry.revision,
        value: None,
        lease: None,
    };
    // If this fails, the store deletes the record when the lease expires.
    let _ = context.store.cas(&cas).await;
}
