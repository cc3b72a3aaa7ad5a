use crate::{
    config,
    context::Context,
    message::{BusiestMinute, MemberStatus, PeerRequest, PeerResponse},
};
use futures_util::future::join_all;
use std::{sync::Arc, time::Duration};

const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Exchanges news with every other member while the process runs.
pub(crate) async fn run(context: Arc<Context>) {
    loop {
        let members = context.members.lock().others(&context.settings.member_id);
        let calls = members
            .iter()
            .map(|member| exchange(&context, member.mesh_address));
        join_all(calls).await;
        let pause = tokio::time::sleep(context.settings.gossip_interval);
        tokio::select! {
            () = pause => {}
            () = context.gossip_now.notified() => {}
        }
    }
}

async fn exchange(context: &Arc<Context>, peer: std::net::SocketAddr) {
    let message = PeerRequest::Gossip(Box::new(news(context)));
    match context.mesh.call(peer, &message, CALL_TIMEOUT).await {
        Ok(PeerResponse::Gossip(theirs)) => {
            let number = theirs.config_number;
            take(context, *theirs);
            if number > context.config.lock().number() {
                fetch_config(context, peer).await;
            }
        }
        Ok(_) => log::warn!("step=gossip peer={peer} reason=\"odd answer\""),
        Err(err) => log::debug!("step=gossip peer={peer} reason=\"{err}\""),
    }
}

async fn fetch_config(context: &Context, peer: std::net::SocketAddr) {
    let answer = context
        .mesh
        .call(peer, &PeerRequest::GetConfig, CALL_TIMEOUT)
        .await;
    if let Ok(PeerResponse::Config(Some(head))) = answer {
        config::adopt(context, &head, &peer.to_string());
    }
}

/// What this daemon tells.
pub(crate) fn news(context: &Context) -> MemberStatus {
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

/// Takes in what another daemon tells.
pub(crate) fn take(context: &Context, news: MemberStatus) {
    if news.shard_count != context.settings.shard_count {
        log::error!(
            "step=gossip.take peer={} reason=\"it has --shard-count {}, this daemon {}\"",
            news.member,
            news.shard_count,
            context.settings.shard_count
        );
    }
    merge_busiest(context, news.busiest);
    context.peers.lock().take(news, context.now());
}

/// Keeps the higher of two busiest minutes of a month, and the newer month.
pub(crate) fn merge_busiest(context: &Context, theirs: BusiestMinute) {
    let mut own = context.busiest_minute.lock();
    if (theirs.month, theirs.cpu_millis) > (own.month, own.cpu_millis) {
        *own = theirs;
    }
}
