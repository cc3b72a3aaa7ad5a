//! Commits of the shard's record: when, and what goes into them.

use super::{entry_bytes, Owned};
use crate::{
    context::Context,
    shards::{
        commit::{self, chunk, Write},
        take,
    },
};
use persimmon_shard::{BaseRef, BaseWire, BusiestWire, EntryWire};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Bytes of a record's tail before it is folded into a new base.
const TAIL_MAX_BYTES: usize = 96 * 1024;
/// How long a change of members waits before the record names the new witnesses.
const WITNESS_PAUSE: Duration = Duration::from_secs(1);

impl Owned {
    pub(super) fn commit_if_due(&mut self, context: &Arc<Context>, now: Instant) {
        if self.committing {
            return;
        }
        let session = context.ownership.lock().valid_session(now);
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
        let busiest = context.busiest_minute.get();
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
}

fn base_keys(base: &BaseRef) -> Vec<String> {
    (0..base.chunks)
        .map(|number| format!("{}{number}", base.prefix))
        .collect()
}
