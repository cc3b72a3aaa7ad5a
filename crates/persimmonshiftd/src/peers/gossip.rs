use crate::{
    config,
    context::Context,
    message::{BusiestMinute, MemberStatus, PeerRequest, PeerResponse},
};
use futures_util::future::join_all;
use std::{sync::Arc, time::Duration};

const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Exchanges status with every other member, at each gossip interval or when woken, until the
/// process ends.
pub(crate) async fn run(context: Arc<Context>) {
    loop {
        let members = context.members.lock().others(&context.settings.member_id);
        let calls = members
            .iter()
            .map(|member| exchange(&context, member.mesh_address));
        join_all(calls).await;
        let delay = tokio::time::sleep(context.settings.gossip_interval);
        tokio::select! {
            () = delay => {}
            () = context.gossip_now.notified() => {}
        }
    }
}

async fn exchange(context: &Arc<Context>, peer: std::net::SocketAddr) {
    let request = PeerRequest::Gossip(Box::new(local_status(context)));
    match context.mesh.call(peer, &request, CALL_TIMEOUT).await {
        Ok(PeerResponse::Gossip(status)) => {
            let number = status.config_number;
            record_status(context, *status);
            if number > context.config.lock().number() {
                fetch_config(context, peer).await;
            }
        }
        Ok(_) => log::warn!("step=gossip peer={peer} reason=\"unexpected response type\""),
        Err(err) => log::debug!("step=gossip peer={peer} reason=\"{err}\""),
    }
}

async fn fetch_config(context: &Context, peer: std::net::SocketAddr) {
    let response = context
        .mesh
        .call(peer, &PeerRequest::GetConfig, CALL_TIMEOUT)
        .await;
    if let Ok(PeerResponse::Config(Some(encoded))) = response {
        config::adopt(context, &encoded, &peer.to_string());
    }
}

/// Returns this daemon's status, which is sent to the other members.
pub(crate) fn local_status(context: &Context) -> MemberStatus {
    MemberStatus {
        member: context.settings.member_id.clone(),
        incarnation: context.incarnation,
        shard_count: context.settings.shard_count,
        config_number: context.config.lock().number(),
        store_contact_age_ms: context.store_contact_age_ms(),
        draining: context.is_draining(),
        shards: context.shards.owned(),
        busiest: context.busiest_minute.get(),
    }
}

/// Records the status of another daemon. A different shard count is logged, and the status is
/// recorded all the same.
pub(crate) fn record_status(context: &Context, status: MemberStatus) {
    if status.shard_count != context.settings.shard_count {
        log::error!(
            "step=gossip.take peer={} reason=\"it has --shard-count {}, this daemon {}\"",
            status.member,
            status.shard_count,
            context.settings.shard_count
        );
    }
    merge_busiest_minute(context, status.busiest);
    context.peers.lock().record(status, context.now());
}

/// Merges a busiest minute into the known one: the newer month wins, then the busier minute.
pub(crate) fn merge_busiest_minute(context: &Context, other: BusiestMinute) {
    let mut known = context.busiest_minute.lock();
    if (other.month, other.cpu_millis) > (known.month, known.cpu_millis) {
        *known = other;
    }
}
