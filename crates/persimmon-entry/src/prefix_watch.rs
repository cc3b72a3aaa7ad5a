use crate::{
    keys,
    platform::{CallError, Change, Item, Page, Platform, WatchOutcome},
    retry::RetryDelay,
    state::Shared,
};
use std::{
    cell::Cell,
    collections::BTreeSet,
    fmt,
    time::{Duration, Instant},
};

/// Options of a watch on a prefix.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchOptions {
    /// Maximum duration of one watch call, so that a connection that went silent is noticed.
    pub(crate) wait: Duration,
    /// Pause between watch calls, so that changes that come together are reported together.
    pub(crate) pause: Duration,
    /// Whether all members watch the prefix. One change then causes a call of each of them, so
    /// their calls are kept within a fraction of the store's read limit.
    pub(crate) by_all_members: bool,
    /// Whether to read the items in place of their changes while large ones change: a watch returns
    /// each version of an item, a read the latest alone.
    pub(crate) skips_large_versions: bool,
    /// Whether to find out how old the known items are while answers come with a backlog.
    pub(crate) confirms_backlog: bool,
}

/// The store limits the number of changes in an answer. One with this many or more may leave some
/// out, so the next call is made without a pause.
const BACKLOG_CHANGES: usize = 250;
/// An item is large if it takes the link longer than this.
const LARGE_ITEM_TIME: Duration = Duration::from_millis(250);
/// Delay before a failed read or watch is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// If no watch was answered for this long though the store answers other calls, the items are read.
const WATCH_SILENCE_MAX: Duration = Duration::from_secs(4);

/// A warning is logged for every this many calls that fail in a row.
const FAILURES_PER_WARNING: u32 = 10;

fn log_failure(event: &str, prefix: &str, failures: u32, err: &CallError) {
    let level = if failures % FAILURES_PER_WARNING == 0 {
        log::Level::Warn
    } else {
        log::Level::Debug
    };
    log::log!(
        level,
        "event={event} prefix={prefix} failures={failures} fault=\"{err}\""
    );
}

/// How far a list has been read.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ListProgress {
    pages: u32,
    items: usize,
    /// Bytes of keys and values.
    bytes: usize,
    failures: u32,
}

impl ListProgress {
    fn add_page(&mut self, page: &Page) {
        self.pages += 1;
        self.items += page.items.len();
        let sizes = page.items.iter().map(|it| it.key.len() + it.value.len());
        self.bytes += sizes.sum::<usize>();
    }
}

impl fmt::Display for ListProgress {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "items={} pages={} bytes={} failures={}",
            self.items, self.pages, self.bytes, self.failures
        )
    }
}

/// Part of a list that has not been read.
struct Range {
    prefix: String,
    /// The last key that has been read; empty at first.
    after: String,
    /// How often the prefix of the list was divided to get this one.
    depth: u32,
}

impl Range {
    /// Divides the range into narrower ones, the last first; none if it can't be divided.
    fn divide(&self) -> Vec<Self> {
        let prefixes = keys::narrower(&self.prefix).into_iter().rev();
        // What precedes the last key has been read.
        let remaining =
            prefixes.filter(|it| *it > self.after || self.after.starts_with(it.as_str()));
        let ranges = remaining.map(|prefix| Self {
            after: if self.after.starts_with(&prefix) {
                self.after.clone()
            } else {
                String::new()
            },
            prefix,
            depth: self.depth + 1,
        });
        ranges.collect()
    }
}

/// Reads all items under `prefix`. Returns them with the revision to watch from. A page that can't
/// be read is retried, so that a long list makes progress however often a call fails. One that does
/// not arrive in time is read in smaller parts.
pub(crate) async fn list<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    by_all_members: bool,
    progress: &Cell<ListProgress>,
) -> (Vec<Item>, u64) {
    let started_at = shared.now();
    let mut items: Vec<Item> = Vec::new();
    let mut first_revision = None;
    let mut retry_delay = RetryDelay::of(RETRY_DELAY, by_all_members);
    let mut failures = 0;
    // Ranges of a lower depth are known to be too wide.
    let mut depth_min = 0;
    let mut ranges = vec![Range {
        prefix: prefix.to_owned(),
        after: String::new(),
        depth: 0,
    }];
    while let Some(mut range) = ranges.pop() {
        if range.depth < depth_min {
            let narrower = range.divide();
            if !narrower.is_empty() {
                ranges.extend(narrower);
                continue;
            }
        }
        let mut known = progress.get();
        match shared.platform.range(&range.prefix, &range.after).await {
            Ok(page) => {
                shared.record_store_answer();
                failures = 0;
                retry_delay.reset();
                known.add_page(&page);
                // The pages are not one snapshot: changes made while they are read are covered by
                // watching from the revision of the first page.
                first_revision.get_or_insert(page.revision);
                if let Some(last) = page.items.last().filter(|_| page.has_more) {
                    range.after.clone_from(&last.key);
                    ranges.push(range);
                }
                items.extend(page.items);
            }
            Err(err) => {
                failures += 1;
                known.failures += 1;
                log_failure("store.list", &range.prefix, failures, &err);
                if err.is_incomplete {
                    depth_min = depth_min.max(range.depth + 1);
                }
                ranges.push(range);
                tokio::time::sleep(retry_delay.after(&err)).await;
            }
        }
        progress.set(known);
    }
    let duration = shared.now().saturating_duration_since(started_at);
    log::info!(
        "event=store.list prefix={prefix} {} duration_ms={}",
        progress.get(),
        duration.as_millis()
    );
    (items, first_revision.unwrap_or_default())
}

/// What a watch reports.
#[derive(Debug)]
pub(crate) enum WatchEvent {
    /// An item was read, or has changed since.
    Changed(Change),
    /// All changes before this time have been reported.
    UpToDate { as_of: Instant },
}

/// Calls `on_event` for every item under `prefix`, for each change, and whenever it is known that
/// none is missing. With `start`, which holds the known keys and the revision to watch from, the
/// items are not read first. A change may be reported twice. Never returns.
pub(crate) async fn follow<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    options: WatchOptions,
    start: Option<(BTreeSet<String>, u64)>,
    mut on_event: impl FnMut(WatchEvent),
) {
    let mut state = WatchState::default();
    match start {
        Some((known, revision)) => state = WatchState { known, revision },
        None => {
            read_all(shared, prefix, options, &mut state, &mut on_event).await;
        }
    }
    loop {
        let mut large = watch(shared, prefix, options, &mut state, &mut on_event).await;
        loop {
            // As long a pause leaves half of the link to other calls.
            tokio::time::sleep(large.unwrap_or_default()).await;
            large = read_all(shared, prefix, options, &mut state, &mut on_event).await;
            if large.is_none() || !options.skips_large_versions {
                break;
            }
        }
    }
}

/// What is known of the watched items.
#[derive(Debug, Default)]
struct WatchState {
    known: BTreeSet<String>,
    /// The revision to watch from.
    revision: u64,
}

/// Reads and reports all items, and the keys that are gone. If an item is large and has changed since
/// it was known, so that it may have changed again meanwhile, returns the time that it takes the
/// link.
async fn read_all<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    options: WatchOptions,
    state: &mut WatchState,
    on_event: &mut impl FnMut(WatchEvent),
) -> Option<Duration> {
    let called_at = shared.now();
    let (items, revision) = list(shared, prefix, options.by_all_members, &Cell::default()).await;
    let changed = items.iter().filter(|item| item.revision > state.revision);
    let large = large_item_time(shared, changed);
    let known: BTreeSet<_> = items.iter().map(|item| item.key.clone()).collect();
    for key in state.known.difference(&known) {
        on_event(WatchEvent::Changed(Change::Removed {
            key: key.clone(),
            revision,
        }));
    }
    items
        .into_iter()
        .for_each(|item| on_event(WatchEvent::Changed(Change::Put(item))));
    on_event(WatchEvent::UpToDate { as_of: called_at });
    *state = WatchState { known, revision };
    large
}

/// Returns the time that the largest item takes the link; `None` if it is not large.
fn large_item_time<'a, P>(
    shared: &Shared<P>,
    items: impl Iterator<Item = &'a Item>,
) -> Option<Duration> {
    let bytes = items.map(|item| item.value.len()).max()?;
    Some(shared.sending_time(bytes, 1.0)).filter(|&time| time > LARGE_ITEM_TIME)
}

/// Watches the prefix until the history after the known revision is compacted, the changes since are
/// too large to arrive in time, only watches fail, or the options say to read the items instead. Unlike their history,
/// the items themselves don't grow meanwhile. Returns the time that a large item takes the link, if
/// that is why.
async fn watch<P: Platform>(
    shared: &Shared<P>,
    prefix: &str,
    options: WatchOptions,
    state: &mut WatchState,
    on_event: &mut impl FnMut(WatchEvent),
) -> Option<Duration> {
    let WatchState { known, revision } = state;
    let mut failures = 0;
    let mut retry_delay = RetryDelay::of(RETRY_DELAY, options.by_all_members);
    let mut marker = None;
    let mut silent_since = shared.now();
    loop {
        let called_at = shared.now();
        let is_outage = shared.store_is_unreachable();
        match shared.platform.watch(prefix, *revision, options.wait).await {
            Ok(WatchOutcome::Changes {
                changes,
                revision: new_revision,
            }) => {
                shared.record_store_answer();
                failures = 0;
                retry_delay.reset();
                silent_since = shared.now();
                *revision = new_revision.max(*revision);
                let has_backlog = changes.len() >= BACKLOG_CHANGES;
                let puts = changes.iter().filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Removed { .. } => None,
                });
                let large = large_item_time(shared, puts);
                for change in changes {
                    match &change {
                        Change::Put(item) => known.insert(item.key.clone()),
                        Change::Removed { key, .. } => known.remove(key),
                    };
                    on_event(WatchEvent::Changed(change));
                }
                if let Some((as_of, _)) = marker.filter(|(_, at)| *revision >= *at) {
                    marker = None;
                    on_event(WatchEvent::UpToDate { as_of });
                }
                if has_backlog && marker.is_none() && options.confirms_backlog {
                    marker = read_marker(shared).await;
                }
                if options.skips_large_versions && large.is_some() {
                    return large;
                }
                if !has_backlog {
                    on_event(WatchEvent::UpToDate { as_of: called_at });
                    tokio::time::sleep(pause(shared, options, called_at)).await;
                }
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!("event=store.compacted prefix={prefix} revision={revision}");
                return None;
            }
            Err(err) if err.is_incomplete => {
                log::info!(
                    "event=store.backlog prefix={prefix} revision={revision} fault=\"{err}\""
                );
                return None;
            }
            Err(err) => {
                failures += 1;
                if is_outage {
                    silent_since = shared.now();
                }
                log_failure("store.watch", prefix, failures, &err);
                tokio::time::sleep(retry_delay.after(&err)).await;
                let is_silent = shared.now() >= silent_since + WATCH_SILENCE_MAX;
                // A read counts towards the same limit as a watch.
                if is_silent && !err.is_throttled && !shared.store_is_unreachable() {
                    log::warn!("event=store.unwatched prefix={prefix} revision={revision}");
                    return None;
                }
            }
        }
    }
}

/// Reads the store's revision. Returns when it was asked for, and the revision: a watch that has
/// reached it misses no change made before.
async fn read_marker<P: Platform>(shared: &Shared<P>) -> Option<(Instant, u64)> {
    let asked_at = shared.now();
    match shared.platform.range(keys::OWNERS, "").await {
        Ok(page) => Some((asked_at, page.revision)),
        Err(err) => {
            log::debug!("event=store.marker fault=\"{err}\"");
            None
        }
    }
}

/// Returns the pause after a watch call that was made at `called_at`.
fn pause<P>(shared: &Shared<P>, options: WatchOptions, called_at: Instant) -> Duration {
    if !options.by_all_members {
        return options.pause;
    }
    let elapsed = shared.now().saturating_duration_since(called_at);
    let interval = shared.fair_read_interval();
    options.pause.max(interval.saturating_sub(elapsed))
}
