//! Commits of the shard's record: when they are due and what they contain.

use super::{entry_bytes, OwnedShard};
use crate::{
    context::Context,
    shards::{
        commit::{self, chunk, RecordWrite},
        takeover,
    },
};
use persimmon_shard::{BaseRef, BaseWire, BusiestWire, EntryWire};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// The size of a record's tail above which a commit replaces it with a new snapshot.
const TAIL_MAX_BYTES: usize = 96 * 1024;
/// How long the members must have differed from the recorded witnesses before a commit is made
/// just to record them.
const WITNESS_UPDATE_DELAY: Duration = Duration::from_secs(1);

impl OwnedShard {
    pub(super) fn commit_if_due(&mut self, context: &Arc<Context>, now: Instant) {
        if self.committing {
            return;
        }
        let session = context.ownership.lock().valid_session(now);
        let unconfirmed = session.is_some_and(|number| number != self.confirmed_session);
        let due = now >= self.last_commit_at + context.settings.commit_interval;
        let needed =
            self.core.has_pending() || unconfirmed || self.witness_update_due(context, now);
        if self.handing_over || (needed && due) {
            self.commit(context, now, session);
        }
    }

    fn witness_update_due(&mut self, context: &Context, now: Instant) -> bool {
        if !context.is_store_reachable() {
            return false;
        }
        if takeover::current_witnesses(context) == self.record.witnesses {
            self.witnesses_changed_at = None;
            return false;
        }
        let since = *self.witnesses_changed_at.get_or_insert(now);
        now >= since + WITNESS_UPDATE_DELAY
    }

    fn commit(&mut self, context: &Arc<Context>, now: Instant, session: Option<u64>) {
        let retention_ms = context.settings.job_retention.as_millis() as u64;
        let (seq, batch) = self.core.take_batch().unwrap_or_default();
        let batch: Vec<EntryWire> = batch.iter().map(EntryWire::from).collect();
        self.tail_bytes += batch.iter().map(entry_bytes).sum::<usize>();
        self.write_count += 1;
        let busiest = context.busiest_minute.get();
        let mut record = self.record.clone();
        record.token = takeover::write_token(context, self.shard, record.epoch, self.write_count);
        record.busiest = BusiestWire {
            month: busiest.month,
            cpu_millis: busiest.cpu_millis,
        };
        record.tail.extend(batch);
        if context.is_store_reachable() {
            record.witnesses = takeover::current_witnesses(context);
        }
        if self.handing_over {
            record.owner = None;
        }
        let (mut chunks, mut obsolete_keys) = (Vec::new(), Vec::new());
        if self.tail_bytes > TAIL_MAX_BYTES {
            self.core
                .prune(context.now_unix_ms().saturating_sub(retention_ms));
            obsolete_keys = record.base.as_ref().map(base_keys).unwrap_or_default();
            let text = serde_json::to_string(&BaseWire::from(self.core.jobs()));
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
        self.uncommitted_witnesses = Some(record.witnesses.clone());
        self.last_commit_at = now;
        let expected_revision = self.revision;
        let write = RecordWrite {
            shard: self.shard,
            expected_revision,
            record,
            chunks,
            obsolete_keys,
        };
        commit::spawn(Arc::clone(context), write, seq, session);
    }
}

/// Returns the store keys of a snapshot's chunks.
fn base_keys(base: &BaseRef) -> Vec<String> {
    (0..base.chunks)
        .map(|number| format!("{}{number}", base.prefix))
        .collect()
}
