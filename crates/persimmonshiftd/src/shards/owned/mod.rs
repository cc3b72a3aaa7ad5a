//! The state of a shard while this daemon owns it.

mod record;
mod submit;

use super::{
    commit::{self, WriteOutcome},
    takeover::TakenShard,
    view, worker,
};
use crate::{
    context::Context,
    member::witness_name,
    message::{HolderWire, ShardRequest, ShardResponse},
};
use persimmon_lease::ClockDrift;
use persimmon_place::Shares;
use persimmon_shard::{
    Charts, Core, EntryWire, Options, RecordWire, Seq, SyncFailure, WitnessWire,
};
use persimmon_ticket::Config;
use persimmon_wire::api::ErrorBody;
use std::{sync::Arc, time::Instant};
use submit::SubmitRequest;
use tokio::sync::oneshot;

/// A response that is sent once an entry is in the store.
struct PendingResponse {
    seq: Seq,
    body: ResponseBody,
    reply_to: oneshot::Sender<ShardResponse>,
}

/// The body of a [`PendingResponse`].
enum ResponseBody {
    Job { number: u64, repeated: bool },
    Redirect { shard: u16 },
}

/// The owner's state of one shard.
pub(crate) struct OwnedShard {
    pub(crate) shard: u16,
    pub(crate) core: Core,
    /// The record as last committed.
    pub(crate) record: RecordWire,
    pub(crate) commits: u64,
    revision: u64,
    /// The session in which ownership was last confirmed by a write of the record.
    confirmed_session: u64,
    committing: bool,
    handing_over: bool,
    last_commit_at: Instant,
    witnesses_changed_at: Option<Instant>,
    /// The witnesses in a commit that is in progress.
    uncommitted_witnesses: Option<Vec<WitnessWire>>,
    tail_bytes: usize,
    /// The number of commits begun, which makes the write tokens unique.
    write_count: u64,
    pending_responses: Vec<PendingResponse>,
}

/// What the manager does with the shard after a commit or a worker call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextAction {
    Keep,
    Drop,
}

impl OwnedShard {
    pub(crate) fn new(
        context: &Context,
        charts: Arc<Charts>,
        shard: u16,
        taken: TakenShard,
    ) -> Self {
        let settings = &context.settings;
        let options = Options {
            lease_term: settings.lease_term,
            drift: ClockDrift::default(),
            sync_interval: settings.sync_interval,
            silence_after: settings.worker_silence_limit,
            ..Options::default()
        };
        let config = context.config.lock().config();
        let shares = shares(&config);
        let core = Core::new(options, charts, shares, taken.jobs, taken.owned_since);
        let mut owned = Self {
            shard,
            core,
            record: taken.record,
            commits: 0,
            revision: taken.revision,
            confirmed_session: taken.session,
            committing: false,
            handing_over: false,
            last_commit_at: taken.owned_since,
            witnesses_changed_at: None,
            uncommitted_witnesses: None,
            tail_bytes: 0,
            write_count: 0,
            pending_responses: Vec::new(),
        };
        owned.tail_bytes = owned.record.tail.iter().map(entry_bytes).sum();
        owned.configure(&config);
        owned
    }

    pub(crate) fn configure(&mut self, config: &Config) {
        let quotas = config
            .iter_teams()
            .map(|team| (team.name.clone(), team.quota))
            .collect();
        self.core.configure(shares(config), quotas);
    }

    /// Returns whether this daemon may act for the shard now.
    pub(crate) fn is_valid(&self, context: &Context, now: Instant) -> bool {
        let names =
            |witnesses: &Vec<WitnessWire>| witnesses.iter().map(wire_witness_name).collect();
        let witness_sets: Vec<Vec<String>> = [
            Some(&self.record.witnesses),
            self.uncommitted_witnesses.as_ref(),
        ]
        .into_iter()
        .flatten()
        .map(names)
        .collect();
        context
            .ownership
            .lock()
            .is_owner(self.confirmed_session, &witness_sets, now)
    }

    /// Runs one round of scheduling decisions, commits and worker calls.
    pub(crate) fn run_round(&mut self, context: &Arc<Context>, now: Instant) {
        let now_unix_ms = context.now_unix_ms();
        let valid = self.is_valid(context, now);
        if valid {
            self.core.tick(now, now_unix_ms);
        }
        // Without the store a placement could not be committed, so none is decided.
        if valid && !self.handing_over && context.is_store_reachable() {
            let placed = self.core.place_queued(now, now_unix_ms);
            context.metrics.placements.inc_by(placed as u64);
        }
        self.commit_if_due(context, now);
        // Evaluated again, since a commit that was just begun may change the witnesses.
        let valid = self.is_valid(context, now);
        for index in self.core.due_workers(now) {
            let call = self.core.begin_sync(index, valid);
            worker::spawn(Arc::clone(context), self.shard, self.record.epoch, call);
        }
    }

    pub(crate) fn finish_sync(
        &mut self,
        context: &Context,
        completion: worker::Completion,
        now: Instant,
    ) -> NextAction {
        if completion.epoch != self.record.epoch {
            return NextAction::Keep;
        }
        if completion
            .result
            .as_ref()
            .is_err_and(|failure| *failure == SyncFailure::Fenced)
        {
            return NextAction::Drop;
        }
        self.core.end_sync(
            completion.worker,
            completion.result,
            now,
            context.now_unix_ms(),
        );
        NextAction::Keep
    }

    /// Starts the hand-over of the shard, which its last commit completes.
    pub(crate) fn hand_over(&mut self) {
        self.handing_over = true;
    }

    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    /// Responds to a request about the shard, at once or when its entry has been committed.
    pub(crate) fn handle_request(
        &mut self,
        context: &Context,
        request: ShardRequest,
        reply_to: oneshot::Sender<ShardResponse>,
    ) {
        let member = context.settings.member_id.as_str();
        let response = match request {
            ShardRequest::Submit {
                key,
                class,
                deadline_unix_ms,
                assigned,
                ..
            } => {
                let submit_request = SubmitRequest {
                    key,
                    class,
                    deadline_unix_ms,
                    assigned,
                };
                return self.submit(context, submit_request, reply_to);
            }
            ShardRequest::Cancel { number, .. } => return self.cancel(context, number, reply_to),
            ShardRequest::Show { number, .. } => match self.core.jobs().try_find(number) {
                Some(job) => ShardResponse::Job(view::job_view(self, job, false)),
                None => ShardResponse::Refused(ErrorBody::not_run(
                    "unknown",
                    "job.show",
                    member,
                    "no such job",
                )),
            },
            ShardRequest::List { .. } => {
                let jobs = self
                    .core
                    .jobs()
                    .iter()
                    .map(|job| view::job_view(self, job, false));
                ShardResponse::Jobs(jobs.collect())
            }
            ShardRequest::Summary { .. } => ShardResponse::Summary(view::shard_view(self, member)),
        };
        // The caller may have stopped waiting.
        let _ = reply_to.send(response);
    }

    /// Sends the response once its entry is in the store, which may be at once.
    fn respond_when_committed(&mut self, response: PendingResponse) {
        self.pending_responses.push(response);
        self.send_committed_responses();
    }

    fn send_committed_responses(&mut self) {
        let (ready, waiting) = std::mem::take(&mut self.pending_responses)
            .into_iter()
            .partition(|pending| self.core.is_committed(pending.seq));
        self.pending_responses = waiting;
        let ready: Vec<PendingResponse> = ready;
        for pending in ready {
            let response = match pending.body {
                ResponseBody::Redirect { shard } => ShardResponse::Redirect { shard },
                ResponseBody::Job { number, repeated } => match self.core.jobs().try_find(number) {
                    Some(job) => ShardResponse::Job(view::job_view(self, job, repeated)),
                    None => ShardResponse::NotOwner,
                },
            };
            let _ = pending.reply_to.send(response);
        }
    }

    /// Handles the result of a commit.
    pub(crate) fn finish_commit(
        &mut self,
        context: &Context,
        completion: commit::Completion,
    ) -> NextAction {
        if completion.epoch != self.record.epoch {
            return NextAction::Keep;
        }
        let WriteOutcome::Written { revision } = completion.outcome else {
            return NextAction::Drop;
        };
        context.record_store_contact(self.last_commit_at);
        context.metrics.commits.inc();
        self.committing = false;
        self.uncommitted_witnesses = None;
        self.commits += 1;
        self.revision = revision;
        self.record = completion.record;
        if let Some(session) = completion.session {
            self.confirmed_session = session;
        }
        self.core.commit(completion.seq);
        self.send_committed_responses();
        if self.record.owner.is_none() {
            return NextAction::Drop;
        }
        NextAction::Keep
    }
}

fn shares(config: &Config) -> Shares {
    let shares = config.shares();
    Shares {
        latency_critical_percent: shares.latency_critical_percent,
        batch_percent: shares.batch_percent,
    }
}

fn entry_bytes(entry: &EntryWire) -> usize {
    serde_json::to_string(entry).map_or(0, |text| text.len())
}

fn wire_witness_name(witness: &WitnessWire) -> String {
    let (member, incarnation) = (witness.member.clone(), witness.incarnation);
    witness_name(&HolderWire {
        member,
        incarnation,
    })
}
