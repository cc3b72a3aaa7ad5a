//! Submission and cancellation of jobs.

use super::{OwnedShard, PendingResponse, ResponseBody};
use crate::{context::Context, message::ShardResponse, shards::budget};
use persimmon_shard::{CancelError, Seq, Submission, SubmitError};
use persimmon_types::Size;
use persimmon_wire::api::{ErrorBody, RunStatus};
use tokio::sync::oneshot;

/// A submission as this shard received it.
pub(super) struct SubmitRequest {
    pub(super) key: String,
    pub(super) class: String,
    pub(super) deadline_unix_ms: u64,
    /// Whether the key's home shard redirected the submission to this one.
    pub(super) assigned: bool,
}

impl OwnedShard {
    pub(super) fn submit(
        &mut self,
        context: &Context,
        request: SubmitRequest,
        reply_to: oneshot::Sender<ShardResponse>,
    ) {
        match self.try_submit(context, request) {
            Ok((seq, body)) => self.respond_when_committed(PendingResponse {
                seq,
                body,
                reply_to,
            }),
            // The caller may have stopped waiting.
            Err(response) => drop(reply_to.send(*response)),
        }
    }

    /// Returns the entry to commit before responding and the body of that response, or the response
    /// to send at once if nothing is written.
    fn try_submit(
        &mut self,
        context: &Context,
        request: SubmitRequest,
    ) -> Result<(Seq, ResponseBody), Box<ShardResponse>> {
        let member = context.settings.member_id.as_str();
        let refuse = |code: &str, text: &str| {
            Box::new(ShardResponse::Refused(ErrorBody::not_run(
                code,
                "job.submit",
                member,
                text,
            )))
        };
        if self.handing_over {
            return Err(Box::new(ShardResponse::NotOwner));
        }
        let jobs = self.core.jobs();
        let known_key = jobs.try_find_key(&request.key).is_some()
            || jobs.try_find_assigned(&request.key).is_some();
        let can_commit = context.is_store_reachable() && self.is_valid(context, context.now());
        if !known_key && !can_commit {
            let text = "the store can't be reached; the job was not accepted";
            let body = ErrorBody::not_run("store-unreachable", "job.submit", member, text);
            return Err(Box::new(ShardResponse::Refused(
                body.with_retry_after_ms(5_000),
            )));
        }
        let config = context.config.lock().config();
        let Some(class) = config.try_find_class(&request.class).cloned() else {
            let text = format!("no batch class {:?}", request.class);
            return Err(refuse("unknown-class", &text));
        };
        let now_unix_ms = context.now_unix_ms();
        if let Some(shard) = self.redirect_target(context, &request, class.size) {
            let (shard, seq) = self.core.assign(&request.key, shard, now_unix_ms);
            return Ok((seq, ResponseBody::Redirect { shard }));
        }
        let SubmitRequest {
            key,
            deadline_unix_ms,
            ..
        } = request;
        let submission = Submission {
            key,
            class,
            deadline_unix_ms,
        };
        match self.core.submit(submission, now_unix_ms) {
            Ok(outcome) => {
                let (number, repeated) = (outcome.number, outcome.repeated);
                Ok((outcome.seq, ResponseBody::Job { number, repeated }))
            }
            Err(err) => Err(refuse(submit_code(&err), &err.to_string())),
        }
    }

    /// Returns the shard to which a key is redirected: the one recorded for it, or else, if no
    /// worker of this shard is large enough for the job, or if this shard is full and the other one
    /// is not, the one with the most free capacity among those whose `largest` the job fits. A key
    /// that was redirected to this shard, or that has a job here, stays.
    fn redirect_target(
        &self,
        context: &Context,
        request: &SubmitRequest,
        size: Size,
    ) -> Option<u16> {
        let jobs = self.core.jobs();
        if request.assigned || jobs.try_find_key(&request.key).is_some() {
            return None;
        }
        if let Some(shard) = jobs.try_find_assigned(&request.key) {
            return Some(shard);
        }
        let demand = self.core.demand();
        let cpu = u64::from(size.cpu_millis);
        let free = |capacity: u64, claimed: u64, queued: u64| {
            capacity.saturating_sub(claimed).saturating_sub(queued)
        };
        let own_available = free(
            demand.capacity_cpu_millis,
            demand.claimed_cpu_millis,
            demand.queued_cpu_millis,
        );
        let fits_here = size.fits(demand.largest);
        if fits_here && own_available >= cpu {
            return None;
        }
        let known = budget::known_shards(context, &context.shards.owned());
        let others = known.values().filter(|status| status.shard != self.shard);
        let candidates = others
            .filter(|status| size.fits(status.largest))
            .map(|status| {
                let available = free(
                    status.capacity_cpu_millis,
                    status.claimed_cpu_millis,
                    status.queued_cpu_millis,
                );
                (available, status.shard)
            });
        let (available, shard) = candidates.max()?;
        // If both shards are full, the job would have to wait in the other one too.
        (!fits_here || available >= cpu).then_some(shard)
    }

    pub(super) fn cancel(
        &mut self,
        context: &Context,
        number: u64,
        reply_to: oneshot::Sender<ShardResponse>,
    ) {
        match self.core.cancel(number, context.now_unix_ms()) {
            Ok(outcome) => {
                let body = ResponseBody::Job {
                    number,
                    repeated: false,
                };
                self.respond_when_committed(PendingResponse {
                    seq: outcome.seq,
                    body,
                    reply_to,
                });
            }
            Err(err) => {
                let code = match err {
                    CancelError::Unknown => "unknown",
                    CancelError::Ended { .. } => "ended",
                };
                let member = context.settings.member_id.as_str();
                let mut body = ErrorBody::not_run(code, "job.cancel", member, &err.to_string());
                if err != CancelError::Unknown {
                    body.ran = RunStatus::Unknown;
                }
                let _ = reply_to.send(ShardResponse::Refused(body));
            }
        }
    }
}

/// Returns the error code of a refused submission.
fn submit_code(err: &SubmitError) -> &'static str {
    match err {
        SubmitError::KeyReused { .. } => "key-reused",
        SubmitError::NeverFits { .. }
        | SubmitError::OverQuota { .. }
        | SubmitError::TooLate { .. } => "can-never-run",
    }
}
