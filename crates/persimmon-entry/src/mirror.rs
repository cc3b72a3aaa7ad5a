use crate::{
    platform::{Change, Fault, Item, Platform, Watched},
    state::Shared,
};
use std::{collections::BTreeSet, time::Duration};

/// How a prefix is watched.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Watching {
    /// A watch is renewed this often, so that a connection gone silent is noticed.
    pub(crate) wait: Duration,
    /// Before the next watch, so that changes that come together are told together.
    pub(crate) gap: Duration,
}

/// Before a read or watch that failed is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Reads all items under `prefix`. Returns them with the revision from which to watch.
pub(crate) async fn list<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
) -> Result<(Vec<Item>, u64), Fault> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or("", |item| item.key.as_str());
        let page = shared.platform.range(prefix, after).await?;
        shared.store_heard();
        // Pages are no snapshot: changes made while they are read are watched for from the first on.
        let from = *revision.get_or_insert(page.revision);
        let is_empty = page.items.is_empty();
        items.extend(page.items);
        if !page.has_more || is_empty {
            return Ok((items, from));
        }
    }
}

/// Tells `take` of every item under `prefix` and of each change, for good. A change may be told twice.
pub(crate) async fn follow<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    watching: Watching,
    start: Option<(BTreeSet<String>, u64)>,
    mut take: impl FnMut(Change),
) {
    let mut start = start;
    loop {
        let (mut known, mut revision) = start.take().unwrap_or_default();
        if revision == 0 {
            match list(shared, prefix).await {
                Ok((items, from)) => {
                    revision = from;
                    for item in items {
                        known.insert(item.key.clone());
                        take(Change::Put(item));
                    }
                }
                Err(fault) => {
                    log::debug!("event=store.list prefix={prefix} fault=\"{fault}\"");
                    tokio::time::sleep(RETRY_AFTER).await;
                    continue;
                }
            }
        }
        watch(
            shared,
            prefix,
            watching,
            &mut known,
            &mut revision,
            &mut take,
        )
        .await;
        let before = known;
        start = relist(shared, prefix, before, &mut take).await;
    }
}

/// Reads all anew once history is gone, and tells of what was removed meanwhile.
async fn relist<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    before: BTreeSet<String>,
    take: &mut impl FnMut(Change),
) -> Option<(BTreeSet<String>, u64)> {
    loop {
        match list(shared, prefix).await {
            Ok((items, revision)) => {
                let known: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
                for key in before.difference(&known) {
                    take(Change::Gone {
                        key: key.clone(),
                        revision,
                    });
                }
                items.into_iter().for_each(|item| take(Change::Put(item)));
                return Some((known, revision));
            }
            Err(fault) => {
                log::debug!("event=store.list prefix={prefix} fault=\"{fault}\"");
                tokio::time::sleep(RETRY_AFTER).await;
            }
        }
    }
}

/// Watches until history is gone.
async fn watch<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    watching: Watching,
    known: &mut BTreeSet<String>,
    revision: &mut u64,
    take: &mut impl FnMut(Change),
) {
    loop {
        match shared
            .platform
            .watch(prefix, *revision, watching.wait)
            .await
        {
            Ok(Watched::Changes {
                changes,
                revision: upto,
            }) => {
                shared.store_heard();
                *revision = upto.max(*revision);
                for change in changes {
                    match &change {
                        Change::Put(item) => known.insert(item.key.clone()),
                        Change::Gone { key, .. } => known.remove(key),
                    };
                    take(change);
                }
                tokio::time::sleep(watching.gap).await;
            }
            Ok(Watched::Compacted) => {
                log::info!("event=store.compacted prefix={prefix} revision={revision}");
                return;
            }
            Err(fault) => {
                log::debug!("event=store.watch prefix={prefix} fault=\"{fault}\"");
                tokio::time::sleep(RETRY_AFTER).await;
            }
        }
    }
}
