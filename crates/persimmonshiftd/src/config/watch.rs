use super::HEAD_KEY;
use crate::{context::Context, member::MEMBER_PREFIX};
use persimmon_store::{Store, WatchOutcome};
use persimmon_wire::store::{Entry, RangeResponse};
use std::{sync::Arc, time::Duration};

/// The prefix of the configuration and the members, so that one watch covers both.
const META_PREFIX: &str = "meta/";
/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Follows the configuration and the members for as long as the process runs.
pub(crate) async fn run(context: Arc<Context>) {
    let mut revision = None;
    loop {
        let step = match revision {
            None => read_all(&context).await,
            Some(after) => watch(&context, after).await,
        };
        match step {
            Ok(next) => revision = next,
            Err(reason) => {
                log::debug!("step=config.watch peer=store reason={reason}");
                // Changes may be missed while a daemon is cut off, so it reads anew.
                revision = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_all(context: &Context) -> Result<Option<u64>, persimmon_store::Error> {
    let asked_at = context.now();
    let range = context.store.range(META_PREFIX).await?;
    context.record_store_contact(asked_at);
    let mut members = context.members.lock();
    let present = range.entries.iter().map(|entry| entry.key.as_str());
    members.retain(present, context.now());
    drop(members);
    Ok(Some(take(context, range)))
}

async fn watch(context: &Context, after: u64) -> Result<Option<u64>, persimmon_store::Error> {
    match context.store.watch(META_PREFIX, after, WATCH_WAIT).await? {
        WatchOutcome::Compacted => Ok(None),
        WatchOutcome::Changes(range) => Ok(Some(take(context, range))),
    }
}

fn take(context: &Context, range: RangeResponse) -> u64 {
    for entry in range.entries {
        if entry.key == HEAD_KEY {
            take_head(context, &entry);
        } else if entry.key.starts_with(MEMBER_PREFIX) {
            context.members.lock().apply(&entry, context.now());
            context.shards.wake();
        }
    }
    range.revision
}

fn take_head(context: &Context, entry: &Entry) {
    let Some(text) = &entry.value else { return };
    adopt(context, text, "store");
}

/// Puts a newer configuration in force.
pub(crate) fn adopt(context: &Context, text: &str, peer: &str) {
    let adopted = context.config.lock().adopt(text);
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
