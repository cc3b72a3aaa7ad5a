//! Health, metrics, status and drain of a daemon, request keys and the burn report.

use super::{error::ApiError, guard::Operator, jobs::ask_owner};
use crate::{
    burn_report,
    context::Context,
    message::{ShardRequest, ShardResponse},
    peers,
};
use futures_util::future::join_all;
use persimmon_wire::api::{BurnReport, DrainAnswer, MemberView, Readiness, RequestKey, StatusView};
use rocket::{get, http::Status, post, routes, serde::json::Json, Route, State};
use std::sync::{atomic::Ordering, Arc};

#[get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(context: &State<Arc<Context>>) -> (Status, Json<Readiness>) {
    let readiness = peers::readiness(context);
    let status = if readiness.ready {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    };
    (status, Json(readiness))
}

#[get("/metrics")]
fn metrics(context: &State<Arc<Context>>) -> String {
    let metrics = &context.metrics;
    let (sent, received) = context.mesh.transferred_bytes();
    metrics.store_calls.set(context.store.call_count() as i64);
    metrics.mesh_sent_bytes.set(sent as i64);
    metrics.mesh_received_bytes.set(received as i64);
    metrics
        .shards_owned
        .set(context.shards.owned().len() as i64);
    metrics
        .config_number
        .set(context.config.lock().number() as i64);
    metrics
        .ready
        .set(i64::from(peers::readiness(context).ready));
    metrics.encode()
}

#[get("/v1/status")]
async fn status(_operator: Operator, context: &State<Arc<Context>>) -> Json<StatusView> {
    let count = context.settings.shard_count;
    let calls = (0..count).map(|shard| ask_owner(context, ShardRequest::Summary { shard }));
    let (mut shards, mut missing_shards) = (Vec::new(), Vec::new());
    for (shard, response) in (0..count).zip(join_all(calls).await) {
        match response {
            ShardResponse::Summary(view) => shards.push(view),
            _ => missing_shards.push(shard),
        }
    }
    let config = context.config.lock().config();
    Json(StatusView {
        member: context.settings.member_id.clone(),
        config_number: config.number(),
        config_digest: config.digest().to_owned(),
        ready: peers::readiness(context),
        members: member_views(context),
        services: context.services.views(),
        shards,
        missing_shards,
    })
}

fn member_views(context: &Context) -> Vec<MemberView> {
    let own = context.settings.member_id.as_str();
    let peers = context.peers.lock();
    let members = context.members.lock();
    let view = |member: &crate::member::Member| {
        let status = peers
            .try_find(&member.id)
            .filter(|it| it.incarnation == member.incarnation);
        let own_number = (member.id == own).then(|| context.config.lock().number());
        MemberView {
            id: member.id.clone(),
            data_centre: member.data_centre.clone(),
            config_number: own_number.or(status.map(|status| status.config_number)),
            draining: status.is_some_and(|status| status.draining)
                || member.id == own && context.is_draining(),
        }
    };
    members.iter().map(view).collect()
}

#[post("/v1/drain")]
fn drain(_operator: Operator, context: &State<Arc<Context>>) -> Json<DrainAnswer> {
    context.draining.store(true, Ordering::SeqCst);
    context.shutdown_requested.notify_one();
    Json(DrainAnswer {
        member: context.settings.member_id.clone(),
    })
}

#[post("/v1/request-keys")]
fn request_key(context: &State<Arc<Context>>) -> Result<Json<RequestKey>, ApiError> {
    if context.is_draining() {
        let member = context.settings.member_id.as_str();
        let status = Status::ServiceUnavailable;
        return Err(ApiError::new(
            status,
            "key.issue",
            member,
            "draining",
            "ask elsewhere",
        ));
    }
    Ok(Json(RequestKey {
        key: context.services.issue_key(context.now()),
    }))
}

#[get("/v1/burn")]
async fn burn(_operator: Operator, context: &State<Arc<Context>>) -> Json<BurnReport> {
    Json(burn_report::gather(context).await)
}

pub(crate) fn routes() -> Vec<Route> {
    routes![healthz, readyz, metrics, status, drain, request_key, burn]
}
