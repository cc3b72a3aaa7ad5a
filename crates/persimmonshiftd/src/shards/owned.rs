//! A shard while this daemon owns it.

use super::{
    budget,
    commit::{self, chunk, Outcome, Write},
    take::{self, Taken},
    view, worker,
};
use crate::{
    context::Context,
    member::witness_name,
    message::{HolderWire, ShardAnswer, ShardQuestion},
};
use persimmon_lease::Drift;
use persimmon_place::Shares;
use persimmon_shard::{
    BaseRef, BaseWire, BusiestWire, CancelError, Charts, Core, EntryWire, Options, RecordWire, Seq,
    Submission, SubmitError, SyncFailure, WitnessWire,
};
use persimmon_ticket::Config;
use persimmon_types::Size;
use persimmon_wire::api::{ErrorBody, Ran};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Bytes of a record's tail before it is folded into a new base.
const TAIL_MAX_BYTES: usize = 96 * 1024;
/// How long a change of members waits before the record names the new witnesses.
const WITNESS_PAUSE: Duration = Duration::from_secs(1);

/// An answer that leaves once an entry is in the store.
struct Reply {
    seq: Seq,
    about: About,
    to: oneshot::Sender<ShardAnswer>,
}

/// What a reply is about.
enum About {
    Job { number: u64, repeated: bool },
    Elsewhere { shard: u16 },
}

/// A submission as it reached this shard.
struct Submitted {
    key: String,
    class: String,
    deadline_unix_ms: u64,
    /// Whether the key's home shard sent it here.
    assigned: bool,
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
            drift: Drift::default(),
            sync_interval: settings.sync_interval,
            silence_after: settings.silence,
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
        context.standing.lock().is_owner(self.confirmed, &sets, now)
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
            let placed = self.core.decide(now, now_unix_ms);
            context.metrics.placements.inc_by(placed as u64);
        }
        self.commit_if_due(context, now);
        for position in self.core.due(now) {
            let call = self.core.begin_sync(position, self.is_valid(context, now));
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
        question: ShardQuestion,
        to: oneshot::Sender<ShardAnswer>,
    ) {
        let member = context.settings.member_id.as_str();
        let answer = match question {
            ShardQuestion::Submit {
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
            ShardQuestion::Cancel { number, .. } => return self.cancel(context, number, to),
            ShardQuestion::Show { number, .. } => match self.core.book().try_find(number) {
                Some(job) => ShardAnswer::Job(view::job(self, job, false)),
                None => ShardAnswer::Refused(ErrorBody::not_run(
                    "unknown",
                    "job.show",
                    member,
                    "no such job",
                )),
            },
            ShardQuestion::List { .. } => {
                let jobs = self
                    .core
                    .book()
                    .iter()
                    .map(|job| view::job(self, job, false));
                ShardAnswer::Jobs(jobs.collect())
            }
            ShardQuestion::Summary { .. } => ShardAnswer::Summary(view::shard(self, member)),
        };
        // Whoever asked may have gone away.
        let _ = to.send(answer);
    }

    fn submit(&mut self, context: &Context, wanted: Submitted, to: oneshot::Sender<ShardAnswer>) {
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
    ) -> Result<(Seq, About), Box<ShardAnswer>> {
        let member = context.settings.member_id.as_str();
        let refuse = |code: &str, text: &str| {
            Box::new(ShardAnswer::Refused(ErrorBody::not_run(
                code,
                "job.submit",
                member,
                text,
            )))
        };
        if self.handing_over {
            return Err(Box::new(ShardAnswer::NotOwner));
        }
        let book = self.core.book();
        let known = book.try_find_key(&wanted.key).is_some()
            || book.try_find_assigned(&wanted.key).is_some();
        let reachable = context.is_store_reachable() && self.is_valid(context, context.now());
        if !known && !reachable {
            let text = "the store can't be reached; the job was not accepted";
            let body = ErrorBody::not_run("store-unreachable", "job.submit", member, text);
            return Err(Box::new(ShardAnswer::Refused(body.retry_after(5_000))));
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
        let book = self.core.book();
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

    fn cancel(&mut self, context: &Context, number: u64, to: oneshot::Sender<ShardAnswer>) {
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
                    body.ran = Ran::Unknown;
                }
                let _ = to.send(ShardAnswer::Refused(body));
            }
        }
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
                About::Elsewhere { shard } => ShardAnswer::Elsewhere { shard },
                About::Job { number, repeated } => match self.core.book().try_find(number) {
                    Some(job) => ShardAnswer::Job(view::job(self, job, repeated)),
                    None => ShardAnswer::NotOwner,
                },
            };
            let _ = reply.to.send(answer);
        }
    }

    fn commit_if_due(&mut self, context: &Arc<Context>, now: Instant) {
        if self.committing {
            return;
        }
        let session = context.standing.lock().session(now);
        let unconfirmed = session.is_some_and(|number| number != self.confirmed);
        let due = now >= self.last_commit_at + context.settings.commit_interval;
        let wanted = self.core.has_pending() || unconfirmed || self.witnesses_due(context, now);
        if self.handing_over || (wanted && due) {
            self.commit(context, now, session);
        }
    }

    fn witnesses_due(&mut self, context: &Context, now: Instant) -> bool {
        if !context.is_store_reachable() {
            return false;
        }
        if take::witnesses(context) == self.record.witnesses {
            self.witnesses_changed_at = None;
            return false;
        }
        let since = *self.witnesses_changed_at.get_or_insert(now);
        now >= since + WITNESS_PAUSE
    }

    fn commit(&mut self, context: &Arc<Context>, now: Instant, session: Option<u64>) {
        let retention_ms = context.settings.job_retention.as_millis() as u64;
        let (seq, batch) = self.core.take_batch().unwrap_or_default();
        let batch: Vec<EntryWire> = batch.iter().map(EntryWire::from).collect();
        self.tail_bytes += batch.iter().map(entry_bytes).sum::<usize>();
        self.writes += 1;
        let busiest = context.busiest.get();
        let mut record = self.record.clone();
        record.token = take::token(context, self.shard, record.epoch, self.writes);
        record.busiest = BusiestWire {
            month: busiest.month,
            cpu_millis: busiest.cpu_millis,
        };
        record.tail.extend(batch);
        if context.is_store_reachable() {
            record.witnesses = take::witnesses(context);
        }
        if self.handing_over {
            record.owner = None;
        }
        let (mut chunks, mut obsolete) = (Vec::new(), Vec::new());
        if self.tail_bytes > TAIL_MAX_BYTES {
            self.core
                .prune(context.now_unix_ms().saturating_sub(retention_ms));
            obsolete = record.base.as_ref().map(base_keys).unwrap_or_default();
            let text = serde_json::to_string(&BaseWire::from(self.core.book()));
            let prefix = format!(
                "shard-base/{}/{}/",
                self.shard,
                record.token.replace('#', "_")
            );
            chunks = chunk(&prefix, &text.unwrap_or_default());
            record.base = Some(BaseRef {
                prefix,
                chunks: chunks.len() as u32,
            });
            record.tail.clear();
            self.tail_bytes = 0;
        }
        self.committing = true;
        self.witnesses_in_doubt = Some(record.witnesses.clone());
        self.last_commit_at = now;
        let expected_revision = self.revision;
        let write = Write {
            shard: self.shard,
            expected_revision,
            record,
            chunks,
            obsolete,
        };
        commit::spawn(Arc::clone(context), write, seq, session);
    }

    /// Takes in a finished commit.
    pub(crate) fn end_commit(&mut self, context: &Context, done: commit::Done) -> Next {
        if done.epoch != self.record.epoch {
            return Next::Keep;
        }
        let Outcome::Written { revision } = done.outcome else {
            return Next::Drop;
        };
        context.hear_store(self.last_commit_at);
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

fn submit_code(err: &SubmitError) -> &'static str {
    match err {
        SubmitError::KeyReused { .. } => "key-reused",
        SubmitError::NeverFits { .. }
        | SubmitError::OverQuota { .. }
        | SubmitError::TooLate { .. } => "can-never-run",
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

fn base_keys(base: &BaseRef) -> Vec<String> {
    (0..base.chunks)
        .map(|number| format!("{}{number}", base.prefix))
        .collect()
}

fn name(witness: &WitnessWire) -> String {
    let (member, incarnation) = (witness.member.clone(), witness.incarnation);
    witness_name(&HolderWire {
        member,
        incarnation,
    })
}
