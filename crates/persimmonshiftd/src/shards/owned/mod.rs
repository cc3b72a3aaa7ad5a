//! A shard while this daemon owns it.

mod record;
mod submit;

use super::{
    commit::{self, Outcome},
    take::Taken,
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
use submit::Submitted;
use tokio::sync::oneshot;

/// An answer that leaves once an entry is in the store.
struct Reply {
    seq: Seq,
    about: About,
    to: oneshot::Sender<ShardResponse>,
}

/// What a reply is about.
enum About {
    Job { number: u64, repeated: bool },
    Elsewhere { shard: u16 },
}

/// The owner's state of one shard.
pub(crate) struct Owned {
    pub(crate) shard: u16,
    pub(crate) core: Core,
    /// The record as it is in the store.
    pub(crate) record: RecordWire,
    pub(crate) commits: u64,
    revision: u64,
    /// The session for which the record was last written.
    confirmed: u64,
    committing: bool,
    handing_over: bool,
    last_commit_at: Instant,
    witnesses_changed_at: Option<Instant>,
    /// The witnesses of a commit that is under way.
    witnesses_in_doubt: Option<Vec<WitnessWire>>,
    tail_bytes: usize,
    writes: u64,
    replies: Vec<Reply>,
}

/// What the duty does after a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    Keep,
    Drop,
}

impl Owned {
    pub(crate) fn new(context: &Context, charts: Arc<Charts>, shard: u16, taken: Taken) -> Self {
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
        let core = Core::new(options, charts, shares, taken.book, taken.owned_since);
        let mut owned = Self {
            shard,
            core,
            record: taken.record,
            commits: 0,
            revision: taken.revision,
            confirmed: taken.session,
            committing: false,
            handing_over: false,
            last_commit_at: taken.owned_since,
            witnesses_changed_at: None,
            witnesses_in_doubt: None,
            tail_bytes: 0,
            writes: 0,
            replies: Vec::new(),
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

    /// Whether this daemon may act for the shard now.
    pub(crate) fn is_valid(&self, context: &Context, now: Instant) -> bool {
        let names = |witnesses: &Vec<WitnessWire>| witnesses.iter().map(name).collect();
        let sets: Vec<Vec<String>> = [
            Some(&self.record.witnesses),
            self.witnesses_in_doubt.as_ref(),
        ]
        .into_iter()
        .flatten()
        .map(names)
        .collect();
        context
            .ownership
            .lock()
            .is_owner(self.confirmed, &sets, now)
    }

    /// One round of decisions, calls and commits.
    pub(crate) fn step(&mut self, context: &Arc<Context>, now: Instant) {
        let now_unix_ms = context.now_unix_ms();
        let valid = self.is_valid(context, now);
        if valid {
            self.core.tick(now, now_unix_ms);
        }
        // Without the store nothing new could be committed, so nothing new is decided.
        if valid && !self.handing_over && context.is_store_reachable() {
            let placed = self.core.place_queued(now, now_unix_ms);
            context.metrics.placements.inc_by(placed as u64);
        }
        self.commit_if_due(context, now);
        // Asked again, since the commit may have put the witnesses in doubt.
        let valid = self.is_valid(context, now);
        for position in self.core.due_workers(now) {
            let call = self.core.begin_sync(position, valid);
            worker::spawn(Arc::clone(context), self.shard, self.record.epoch, call);
        }
    }

    pub(crate) fn end_sync(&mut self, context: &Context, done: worker::Done, now: Instant) -> Next {
        if done.epoch != self.record.epoch {
            return Next::Keep;
        }
        if done
            .result
            .as_ref()
            .is_err_and(|failure| *failure == SyncFailure::Fenced)
        {
            return Next::Drop;
        }
        self.core
            .end_sync(done.worker, done.result, now, context.now_unix_ms());
        Next::Keep
    }

    /// Begins to give the shard up; the last commit does it.
    pub(crate) fn hand_over(&mut self) {
        self.handing_over = true;
    }

    pub(crate) fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    pub(crate) fn ask(
        &mut self,
        context: &Context,
        question: ShardRequest,
        to: oneshot::Sender<ShardResponse>,
    ) {
        let member = context.settings.member_id.as_str();
        let answer = match question {
            ShardRequest::Submit {
                key,
                class,
                deadline_unix_ms,
                assigned,
                ..
            } => {
                let wanted = Submitted {
                    key,
                    class,
                    deadline_unix_ms,
                    assigned,
                };
                return self.submit(context, wanted, to);
            }
            ShardRequest::Cancel { number, .. } => return self.cancel(context, number, to),
            ShardRequest::Show { number, .. } => match self.core.jobs().try_find(number) {
                Some(job) => ShardResponse::Job(view::job(self, job, false)),
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
                    .map(|job| view::job(self, job, false));
                ShardResponse::Jobs(jobs.collect())
            }
            ShardRequest::Summary { .. } => ShardResponse::Summary(view::shard(self, member)),
        };
        // Whoever asked may have gone away.
        let _ = to.send(answer);
    }

    /// Answers once the entry is in the store, which it may be already.
    fn reply(&mut self, reply: Reply) {
        self.replies.push(reply);
        self.answer_committed();
    }

    fn answer_committed(&mut self) {
        let (ready, waiting) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|reply| self.core.is_committed(reply.seq));
        self.replies = waiting;
        let ready: Vec<Reply> = ready;
        for reply in ready {
            let answer = match reply.about {
                About::Elsewhere { shard } => ShardResponse::Redirect { shard },
                About::Job { number, repeated } => match self.core.jobs().try_find(number) {
                    Some(job) => ShardResponse::Job(view::job(self, job, repeated)),
                    None => ShardResponse::NotOwner,
                },
            };
            let _ = reply.to.send(answer);
        }
    }

    /// Takes in a finished commit.
    pub(crate) fn end_commit(&mut self, context: &Context, done: commit::Done) -> Next {
        if done.epoch != self.record.epoch {
            return Next::Keep;
        }
        let Outcome::Written { revision } = done.outcome else {
            return Next::Drop;
        };
        context.record_store_contact(self.last_commit_at);
        context.metrics.commits.inc();
        self.committing = false;
        self.witnesses_in_doubt = None;
        self.commits += 1;
        self.revision = revision;
        self.record = done.record;
        if let Some(session) = done.session {
            self.confirmed = session;
        }
        self.core.commit(done.seq);
        self.answer_committed();
        if self.record.owner.is_none() {
            return Next::Drop;
        }
        Next::Keep
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

fn name(witness: &WitnessWire) -> String {
    let (member, incarnation) = (witness.member.clone(), witness.incarnation);
    witness_name(&HolderWire {
        member,
        incarnation,
    })
}
