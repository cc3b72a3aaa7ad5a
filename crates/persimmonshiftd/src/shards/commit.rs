//! Writes of a shard's record, settled by reading back where an answer was lost.

use super::handle::ShardMessage;
use crate::context::Context;
use persimmon_shard::{RecordWire, Seq};
use persimmon_store::{CasOutcome, Effect, Store};
use persimmon_wire::store::CasRequest;
use std::{sync::Arc, time::Duration};

/// The pause before another try while the store fails.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The largest value of one part of a base.
const CHUNK_MAX_BYTES: usize = 512 * 1024;

/// The key of a shard's record.
pub(crate) fn record_key(shard: u16) -> String {
    format!("shard/{shard}")
}

/// One write of a record.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) shard: u16,
    pub(crate) expected_revision: u64,
    pub(crate) record: RecordWire,
    /// Values to be written first, by key.
    pub(crate) chunks: Vec<(String, String)>,
    /// Keys that are of no use once the record is written.
    pub(crate) obsolete: Vec<String>,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The record has this revision.
    Written { revision: u64 },
    /// Somebody else's record is there.
    Lost,
}

/// A finished commit of an owner.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) shard: u16,
    pub(crate) epoch: u64,
    pub(crate) seq: Seq,
    /// The session in which it was begun, which it confirms the shard for.
    pub(crate) session: Option<u64>,
    pub(crate) outcome: Outcome,
    pub(crate) record: RecordWire,
}

/// Cuts a text into values small enough for the store.
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

/// Writes until it is settled, however long the store fails.
///
/// A lost answer is never guessed at: the record is read back, and its token tells whose it is. A
/// repeat writes the same value over the same revision, so a write that was only late does no harm.
pub(crate) async fn write(context: &Context, write: &Write) -> Outcome {
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
                remove(context, &write.obsolete).await;
                return Outcome::Written { revision };
            }
            Ok(CasOutcome::Conflict { .. }) => {}
            Err(err) => {
                log::warn!(
                    "step=shard.commit peer=store object={key} epoch={} reason=\"{err}\"",
                    write.record.epoch
                );
                tokio::time::sleep(RETRY_PAUSE).await;
                if err.effect == Effect::None {
                    continue;
                }
            }
        }
        if let Some(outcome) = settle(context, write, &key).await {
            return outcome;
        }
    }
}

/// Reads back; `None` when the write is not there and may be tried again.
async fn settle(context: &Context, write: &Write, key: &str) -> Option<Outcome> {
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
                    return Some(Outcome::Written { revision });
                }
                if revision == write.expected_revision {
                    return None;
                }
                return Some(Outcome::Lost);
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Writes a part of a base; its key is used by nobody else.
async fn write_chunk(context: &Context, key: &str, text: &str) {
    let cas = CasRequest {
        key: key.to_owned(),
        expected_revision: 0,
        value: Some(text.to_owned()),
        lease: None,
    };
    // A conflict means that an earlier try took effect.
    while let Err(err) = context.store.cas(&cas).await {
        log::warn!("step=shard.base peer=store object={key} reason=\"{err}\"");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn remove(context: &Context, keys: &[String]) {
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
        // What is left behind is read by nobody.
        let _ = context.store.cas(&cas).await;
    }
}

/// Starts a commit whose outcome comes back over the ring.
pub(crate) fn spawn(context: Arc<Context>, job: Write, seq: Seq, session: Option<u64>) {
    let ring = context.shards.reporter();
    tokio::spawn(async move {
        let outcome = write(&context, &job).await;
        let epoch = job.record.epoch;
        let done = Done {
            shard: job.shard,
            epoch,
            seq,
            session,
            outcome,
            record: job.record,
        };
        let _ = ring.send(ShardMessage::Committed(done)).await;
    });
}
