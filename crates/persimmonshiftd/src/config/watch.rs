use super::CONFIG_KEY;
use crate::{context::Context, member::MEMBER_PREFIX};
use persimmon_store::{Store, WatchOutcome};
use persimmon_wire::store::{Entry, RangeResponse};
use std::{sync::Arc, time::Duration};

/// The common prefix of the configuration and member keys, so that one watch covers both.
const META_PREFIX: &str = "meta/";
/// How long one watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Applies changes of the configuration and the members while the process runs.
pub(crate) async fn run(context: Arc<Context>) {
    let mut revision = None;
    loop {
        let result = match revision {
            None => read_all(&context).await,
            Some(after) => watch(&context, after).await,
        };
        match result {
            Ok(next) => revision = next,
            Err(reason) => {
                log::debug!("step=config.watch peer=store reason={reason}");
                // Changes may be missed during an outage of the store, so everything is read again.
                revision = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_all(context: &Context) -> Result<Option<u64>, persimmon_store::Error> {
    let sent_at = context.now();
    let range = context.store.range(META_PREFIX).await?;
    context.record_store_contact(sent_at);
    let mut members = context.members.lock();
    let present = range.entries.iter().map(|entry| entry.key.as_str());
    members.retain(present, context.now());
    drop(members);
    Ok(Some(apply(context, range)))
}

async fn watch(context: &Context, after: u64) -> Result<Option<u64>, persimmon_store::Error> {
    match context
        .store
        .watch(META_PREFIX, after, WATCH_TIMEOUT)
        .await?
    {
        WatchOutcome::Compacted => Ok(None),
        WatchOutcome::Changes(range) => Ok(Some(apply(context, range))),
    }
}

/// Applies the entries and returns the revision to watch from.
fn apply(context: &Context, range: RangeResponse) -> u64 {
    for entry in range.entries {
        if entry.key == CONFIG_KEY {
            apply_config(context, &entry);
        } else if entry.key.starts_with(MEMBER_PREFIX) {
            context.members.lock().apply(&entry, context.now());
            context.shards.wake();
        }
    }
    range.revision
}

fn apply_config(context: &Context, entry: &Entry) {
    let Some(encoded) = &entry.value else { return };
    adopt(context, encoded, "store");
}

/// Puts an encoded configuration record from `peer` in force if it is newer.
pub(crate) fn adopt(context: &Context, encoded: &str, peer: &str) {
    let adopted = context.config.lock().adopt(encoded);
    match adopted {
        Ok(true) => {
            let number = context.config.lock().number();
            log::info!("step=config.adopt peer={peer} number={number}");
            context.services.refresh(context);
            context.shards.wake();
        }
        Ok(false) => {}
        Err(err) => log::error!("step=config.adopt peer={peer} reason={err}"),
    }
}
