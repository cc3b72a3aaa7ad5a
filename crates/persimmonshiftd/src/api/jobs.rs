//! Jobs: submission, cancellation and queries, forwarded to the owners of their shards.

use super::{error::ApiError, guard::Operator, OWNER_TIMEOUT};
use crate::{
    context::Context,
    message::{PeerRequest, PeerResponse, ShardRequest, ShardResponse},
    peers,
};
use futures_util::future::join_all;
use persimmon_mesh::Delivery;
use persimmon_types::{shard_of, JobId};
use persimmon_wire::api::{ErrorBody, JobList, JobView, SubmitRequest};
use rocket::{
    delete, get,
    http::Status,
    post, routes,
    serde::json::{self, Json},
    Route, State,
};
use std::{sync::Arc, time::Duration};

/// The delay before a shard without an owner is asked again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(7);
const KEY_BYTES_MAX: usize = 128;

#[post("/v1/jobs", data = "<body>")]
async fn submit(
    _operator: Operator,
    context: &State<Arc<Context>>,
    body: Result<Json<SubmitRequest>, json::Error<'_>>,
) -> Result<Json<JobView>, ApiError> {
    let member = context.settings.member_id.as_str();
    let invalid = |code: &str, message: &str| {
        ApiError::new(
            Status::UnprocessableEntity,
            "job.submit",
            member,
            code,
            message,
        )
    };
    let body = body
        .map_err(|err| invalid("malformed", &err.to_string()))?
        .into_inner();
    if body.key.is_empty() || body.key.len() > KEY_BYTES_MAX {
        return Err(invalid("malformed", "key: must be 1 to 128 bytes"));
    }
    let readiness = peers::readiness(context);
    if !readiness.ready {
        let reason = readiness.reason.unwrap_or_default();
        let status = Status::ServiceUnavailable;
        let mut error = ApiError::new(status, "job.submit", member, "not-ready", &reason);
        error.body.retry_after_ms = Some(1_000);
        return Err(error);
    }
    let shard = shard_of(&body.key, context.settings.shard_count);
    let request = ShardRequest::Submit {
        shard,
        key: body.key,
        class: body.class,
        deadline_unix_ms: body.deadline_unix_ms,
        assigned: false,
    };
    let response = match ask_owner(context, request.clone()).await {
        ShardResponse::Redirect { shard } => ask_owner(context, request.assigned_to(shard)).await,
        response => response,
    };
    job_response(response)
}

#[delete("/v1/jobs/<id>")]
async fn cancel(
    _operator: Operator,
    context: &State<Arc<Context>>,
    id: &str,
) -> Result<Json<JobView>, ApiError> {
    let JobId { shard, number } = parse_id(id)?;
    job_response(ask_owner(context, ShardRequest::Cancel { shard, number }).await)
}

#[get("/v1/jobs/<id>")]
async fn show(
    _operator: Operator,
    context: &State<Arc<Context>>,
    id: &str,
) -> Result<Json<JobView>, ApiError> {
    let JobId { shard, number } = parse_id(id)?;
    job_response(ask_owner(context, ShardRequest::Show { shard, number }).await)
}

#[get("/v1/jobs")]
async fn list(_operator: Operator, context: &State<Arc<Context>>) -> Json<JobList> {
    let shards = 0..context.settings.shard_count;
    let calls = shards
        .clone()
        .map(|shard| ask_owner(context, ShardRequest::List { shard }));
    let mut list = JobList::default();
    for (shard, response) in shards.zip(join_all(calls).await) {
        match response {
            ShardResponse::Jobs(jobs) => list.jobs.extend(jobs),
            _ => list.missing_shards.push(shard),
        }
    }
    Json(list)
}

fn parse_id(text: &str) -> Result<JobId, ApiError> {
    text.parse()
        .map_err(|err: persimmon_types::ParseJobIdError| {
            let status = Status::UnprocessableEntity;
            ApiError::new(status, "job.id", "caller", "malformed", &err.to_string())
        })
}

fn job_response(response: ShardResponse) -> Result<Json<JobView>, ApiError> {
    match response {
        ShardResponse::Job(view) => Ok(Json(view)),
        ShardResponse::Refused(body) => Err(body.into()),
        _ => {
            let status = Status::InternalServerError;
            Err(ApiError::new(status, "job", "shard", "internal", "odd answer").unknown())
        }
    }
}

/// Sends a request to the owner of its shard, which may be this daemon or another one. Waits up to
/// [`OWNER_TIMEOUT`] for the shard to have an owner.
///
/// A call that may have reached an owner is not repeated here. The caller can repeat a submission
/// with the same key, which refers to the same job.
pub(crate) async fn ask_owner(context: &Arc<Context>, request: ShardRequest) -> ShardResponse {
    let deadline = context.now() + OWNER_TIMEOUT;
    let shard = request.shard();
    if usize::from(shard) >= usize::from(context.settings.shard_count) {
        return ShardResponse::Refused(no_shard(shard));
    }
    loop {
        match context.shards.ask(request.clone()).await {
            ShardResponse::NotOwner => {}
            response => return response,
        }
        if let Some(response) = ask_peer(context, &request).await {
            return response;
        }
        if context.now() >= deadline {
            return ShardResponse::Refused(no_owner(shard));
        }
        tokio::time::sleep(OWNER_RETRY_DELAY).await;
    }
}

/// Sends a request to the daemon that reports owning the shard. `None` means that no owner is known
/// or that the request had no effect.
async fn ask_peer(context: &Arc<Context>, request: &ShardRequest) -> Option<ShardResponse> {
    let owner = context
        .peers
        .lock()
        .owner_of(request.shard())
        .map(str::to_owned)?;
    let address = context
        .members
        .lock()
        .try_find(&owner)
        .map(|it| it.mesh_address)?;
    let message = PeerRequest::Shard(request.clone());
    match context.mesh.call(address, &message, CALL_TIMEOUT).await {
        Ok(PeerResponse::Shard(response)) => match *response {
            ShardResponse::NotOwner => None,
            response => Some(response),
        },
        Ok(_) => None,
        Err(err) if err.delivery == Delivery::NotSent => None,
        Err(err) => {
            let message = format!("{}; repeat it with the same key to learn", err.reason);
            let body = ErrorBody::unknown("unsettled", err.step, &owner, &message);
            Some(ShardResponse::Refused(body.with_retry_after_ms(1_000)))
        }
    }
}

fn no_shard(shard: u16) -> ErrorBody {
    let peer = format!("shard-{shard}");
    ErrorBody::not_run("unknown", "shard.find", &peer, "there is no such shard")
}

fn no_owner(shard: u16) -> ErrorBody {
    let peer = format!("shard-{shard}");
    let message = "the shard has no owner now; it was not accepted";
    ErrorBody::not_run("no-owner", "shard.find", &peer, message).with_retry_after_ms(2_000)
}

pub(crate) fn routes() -> Vec<Route> {
    routes![submit, cancel, show, list]
}
