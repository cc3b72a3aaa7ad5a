//! Submissions and cancellations.

use super::{About, Owned, Reply};
use crate::{context::Context, message::ShardResponse, shards::budget};
use persimmon_shard::{CancelError, Seq, Submission, SubmitError};
use persimmon_types::Size;
use persimmon_wire::api::{ErrorBody, RunStatus};
use tokio::sync::oneshot;

/// A submission as it reached this shard.
pub(super) struct Submitted {
    pub(super) key: String,
    pub(super) class: String,
    pub(super) deadline_unix_ms: u64,
    /// Whether the key's home shard sent it here.
    pub(super) assigned: bool,
}

impl Owned {
    pub(super) fn submit(
        &mut self,
        context: &Context,
        wanted: Submitted,
        to: oneshot::Sender<ShardResponse>,
    ) {
        match self.try_submit(context, wanted) {
            Ok((seq, about)) => self.reply(Reply { seq, about, to }),
            // Whoever asked may have gone away.
            Err(answer) => drop(to.send(*answer)),
        }
    }

    /// The entry to wait for, or the answer when nothing is to be written.
    fn try_submit(
        &mut self,
        context: &Context,
        wanted: Submitted,
    ) -> Result<(Seq, About), Box<ShardResponse>> {
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
        let book = self.core.jobs();
        let known = book.try_find_key(&wanted.key).is_some()
            || book.try_find_assigned(&wanted.key).is_some();
        let reachable = context.is_store_reachable() && self.is_valid(context, context.now());
        if !known && !reachable {
            let text = "the store can't be reached; the job was not accepted";
            let body = ErrorBody::not_run("store-unreachable", "job.submit", member, text);
            return Err(Box::new(ShardResponse::Refused(
                body.with_retry_after_ms(5_000),
            )));
        }
        let config = context.config.lock().config();
        let Some(class) = config.try_find_class(&wanted.class).cloned() else {
            let text = format!("no batch class {:?}", wanted.class);
            return Err(refuse("unknown-class", &text));
        };
        let now_unix_ms = context.now_unix_ms();
        if let Some(shard) = self.other_shard(context, &wanted, class.size) {
            let (shard, seq) = self.core.assign(&wanted.key, shard, now_unix_ms);
            return Ok((seq, About::Elsewhere { shard }));
        }
        let Submitted {
            key,
            deadline_unix_ms,
            ..
        } = wanted;
        let submission = Submission {
            key,
            class,
            deadline_unix_ms,
        };
        match self.core.submit(submission, now_unix_ms) {
            Ok(outcome) => {
                let (number, repeated) = (outcome.number, outcome.repeated);
                Ok((outcome.seq, About::Job { number, repeated }))
            }
            Err(err) => Err(refuse(submit_code(&err), &err.to_string())),
        }
    }

    /// The shard to send a key to: one it was sent to before, or one with room when this one has
    /// none. A key that was sent here stays.
    fn other_shard(&self, context: &Context, wanted: &Submitted, size: Size) -> Option<u16> {
        let book = self.core.jobs();
        if wanted.assigned || book.try_find_key(&wanted.key).is_some() {
            return None;
        }
        if let Some(shard) = book.try_find_assigned(&wanted.key) {
            return Some(shard);
        }
        let demand = self.core.demand();
        let cpu = u64::from(size.cpu_millis);
        let free = |capacity: u64, claimed: u64, queued: u64| {
            capacity.saturating_sub(claimed).saturating_sub(queued)
        };
        let own_free = free(
            demand.capacity_cpu_millis,
            demand.claimed_cpu_millis,
            demand.queued_cpu_millis,
        );
        let fits_here = size.fits(demand.largest);
        if fits_here && own_free >= cpu {
            return None;
        }
        let known = budget::known(context, &context.shards.owned());
        let others = known.values().filter(|news| news.shard != self.shard);
        let with_room = others.filter(|news| size.fits(news.largest)).map(|news| {
            let left = free(
                news.capacity_cpu_millis,
                news.claimed_cpu_millis,
                news.queued_cpu_millis,
            );
            (left, news.shard)
        });
        let (left, shard) = with_room.max()?;
        // Both full: a wait here is as good as one there.
        (!fits_here || left >= cpu).then_some(shard)
    }

    pub(super) fn cancel(
        &mut self,
        context: &Context,
        number: u64,
        to: oneshot::Sender<ShardResponse>,
    ) {
        match self.core.cancel(number, context.now_unix_ms()) {
            Ok(outcome) => {
                let about = About::Job {
                    number,
                    repeated: false,
                };
                self.reply(Reply {
                    seq: outcome.seq,
                    about,
                    to,
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
                let _ = to.send(ShardResponse::Refused(body));
            }
        }
    }
}

fn submit_code(err: &SubmitError) -> &'static str {
    match err {
        SubmitError::KeyReused { .. } => "key-reused",
        SubmitError::NeverFits { .. }
        | SubmitError::OverQuota { .. }
        | SubmitError::TooLate { .. } => "can-never-run",
    }
}
