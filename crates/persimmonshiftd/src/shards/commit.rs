//! Writes of a shard's record. If a response is lost, reading the record resolves the outcome.

use super::handle::ShardMessage;
use crate::context::Context;
use persimmon_shard::{RecordWire, Seq};
use persimmon_store::{CasOutcome, Effect, Store};
use persimmon_wire::store::CasRequest;
use std::{sync::Arc, time::Duration};

/// The delay before another attempt while the store fails.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The largest size of one chunk of a snapshot.
const CHUNK_MAX_BYTES: usize = 512 * 1024;

/// Returns the store key of a shard's record.
pub(crate) fn record_key(shard: u16) -> String {
    format!("shard/{shard}")
}

/// One write of a shard's record.
#[derive(Debug)]
pub(crate) struct RecordWrite {
    pub(crate) shard: u16,
    pub(crate) expected_revision: u64,
    pub(crate) record: RecordWire,
    /// The chunks of a new snapshot, as keys and values, which are written before the record.
    pub(crate) chunks: Vec<(String, String)>,
    /// Keys that are no longer needed once the record is written.
    pub(crate) obsolete_keys: Vec<String>,
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect, at this revision.
    Written { revision: u64 },
    /// Another process has written the record.
    Superseded,
}

/// The result of an owner's commit.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) shard: u16,
    pub(crate) epoch: u64,
    pub(crate) seq: Seq,
    /// The session in which the commit began, and in which its success confirms the shard.
    pub(crate) session: Option<u64>,
    pub(crate) outcome: WriteOutcome,
    pub(crate) record: RecordWire,
}

/// Splits a text into keys and values small enough for the store.
pub(crate) fn chunk(prefix: &str, text: &str) -> Vec<(String, String)> {
    let mut chunks = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(CHUNK_MAX_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (head, tail) = rest.split_at(end);
        chunks.push((format!("{prefix}{}", chunks.len()), head.to_owned()));
        rest = tail;
    }
    chunks
}

/// Writes a record, and retries until the outcome is known, however long the store fails.
///
/// After a lost response the record is read back, and its token identifies the writer. A retry
/// writes the same value with the same expected revision, so a delayed write does no harm.
pub(crate) async fn write_record(context: &Context, write: &RecordWrite) -> WriteOutcome {
    let key = record_key(write.shard);
    let value = serde_json::to_string(&write.record).unwrap_or_default();
    let expected_revision = write.expected_revision;
    for (key, text) in &write.chunks {
        write_chunk(context, key, text).await;
    }
    loop {
        let lease = None;
        let cas = CasRequest {
            key: key.clone(),
            expected_revision,
            value: Some(value.clone()),
            lease,
        };
        match context.store.cas(&cas).await {
            Ok(CasOutcome::Written { revision }) => {
                remove_keys(context, &write.obsolete_keys).await;
                return WriteOutcome::Written { revision };
            }
            Ok(CasOutcome::Conflict { .. }) => {}
            Err(err) => {
                log::warn!(
                    "step=shard.commit peer=store object={key} epoch={} reason=\"{err}\"",
                    write.record.epoch
                );
                tokio::time::sleep(RETRY_DELAY).await;
                if err.effect == Effect::None {
                    continue;
                }
            }
        }
        if let Some(outcome) = resolve_outcome(context, write, &key).await {
            return outcome;
        }
    }
}

/// Reads the record to resolve the outcome of a write. Returns `None` if the write has not taken
/// effect and may be retried.
async fn resolve_outcome(
    context: &Context,
    write: &RecordWrite,
    key: &str,
) -> Option<WriteOutcome> {
    loop {
        match context.store.get(key).await {
            Ok(entry) => {
                let revision = entry.as_ref().map_or(0, |entry| entry.revision);
                let text = entry.and_then(|entry| entry.value).unwrap_or_default();
                let token = serde_json::from_str::<RecordWire>(&text).map(|it| it.token);
                if token
                    .as_ref()
                    .is_ok_and(|token| *token == write.record.token)
                {
                    return Some(WriteOutcome::Written { revision });
                }
                if revision == write.expected_revision {
                    return None;
                }
                return Some(WriteOutcome::Superseded);
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Writes a chunk of a snapshot, whose key no other writer uses.
async fn write_chunk(context: &Context, key: &str, text: &str) {
    let cas = CasRequest {
        key: key.to_owned(),
        expected_revision: 0,
        value: Some(text.to_owned()),
        lease: None,
    };
    // A conflict means that an earlier attempt took effect.
    while let Err(err) = context.store.cas(&cas).await {
        log::warn!("step=shard.base peer=store object={key} reason=\"{err}\"");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn remove_keys(context: &Context, keys: &[String]) {
    for key in keys {
        let Ok(Some(entry)) = context.store.get(key).await else {
            continue;
        };
        let cas = CasRequest {
            key: key.clone(),
            expected_revision: entry.revision,
            value: None,
            lease: None,
        };
        // A failure only leaves a chunk that is never read.
        let _ = context.store.cas(&cas).await;
    }
}

/// Starts a commit, whose outcome is sent to the shard manager.
pub(crate) fn spawn(context: Arc<Context>, write: RecordWrite, seq: Seq, session: Option<u64>) {
    let sender = context.shards.completion_sender();
    tokio::spawn(async move {
        let outcome = write_record(&context, &write).await;
        let epoch = write.record.epoch;
        let completion = Completion {
            shard: write.shard,
            epoch,
            seq,
            session,
            outcome,
            record: write.record,
        };
        let _ = sender.send(ShardMessage::CommitFinished(completion)).await;
    });
}
