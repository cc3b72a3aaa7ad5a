//! The burn report on service-level objectives, which the daemon that is asked for it gathers from
//! all members.

use crate::{
    context::Context,
    message::{PeerRequest, PeerResponse, ShardRequest, ShardResponse},
};
use futures_util::future::join_all;
use persimmon_wire::api::{BurnReport, MemberBurnReport};
use std::{sync::Arc, time::Duration};

const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// This daemon's share of the report.
pub(crate) async fn local_share(context: &Arc<Context>) -> MemberBurnReport {
    let config = context.config.lock().config();
    let mut share = MemberBurnReport {
        member: context.settings.member_id.clone(),
        services: context.services.burn_reports(&config),
        busiest_minute_cpu_millis: context.busiest_minute.get().cpu_millis,
        ..MemberBurnReport::default()
    };
    for owned in context.shards.owned() {
        let request = ShardRequest::Summary { shard: owned.shard };
        if let ShardResponse::Summary(shard) = context.shards.ask(request).await {
            share.deadlines_met += shard.deadlines_met;
            share.deadlines_missed += shard.deadlines_missed;
            share.evictions += shard.evictions;
        }
    }
    share
}

/// Collects the shares of all members; members that do not answer are listed as missing.
pub(crate) async fn gather(context: &Arc<Context>) -> BurnReport {
    let members = context.members.lock().others(&context.settings.member_id);
    let calls = members.iter().map(|member| async {
        context
            .mesh
            .call(member.mesh_address, &PeerRequest::Burn, MEMBER_TIMEOUT)
            .await
    });
    let mut report = BurnReport {
        shares: vec![local_share(context).await],
        ..BurnReport::default()
    };
    for (member, answer) in members.iter().zip(join_all(calls).await) {
        match answer {
            Ok(PeerResponse::Burn(share)) => report.shares.push(*share),
            _ => report.missing_members.push(member.id.clone()),
        }
    }
    report
}
