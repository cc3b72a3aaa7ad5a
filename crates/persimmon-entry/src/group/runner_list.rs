use super::OwnedGroup;
use crate::{
    keys::GroupId,
    platform::{Change, Platform},
    prefix_watch::{self, WatchEvent, WatchOptions},
};
use persimmon_sched::RunnerInfo;
use persimmon_types::shard_of;
use std::{rc::Rc, time::Duration};

/// Options of the watches of the instance list and of evacuations. Runners write every second; the
/// changes that matter, a runner leaving or being evacuated, must be seen well within two seconds. A
/// list counts as known as of the call, so a call takes less than
/// [`persimmon_sched::Options::listing_age_max`] with the pause.
pub(super) const LISTING_WATCH: WatchOptions = WatchOptions {
    wait: Duration::from_millis(400),
    pause: Duration::from_millis(300),
    by_all_members: false,
    skips_large_versions: false,
    confirms_backlog: true,
};

impl<P: Platform> OwnedGroup<P> {
    /// Follows the instance list. Never returns.
    pub(super) async fn follow_runners(self: Rc<Self>) {
        let shared = Rc::clone(&self.shared);
        let prefix = shared.platform.runners_prefix().to_owned();
        prefix_watch::follow(&shared, &prefix, LISTING_WATCH, None, |event| match event {
            WatchEvent::Changed(change) => self.handle_runner_change(&prefix, change),
            WatchEvent::UpToDate { as_of } => self.engine.borrow_mut().confirm_listing(as_of),
        })
        .await;
    }

    fn handle_runner_change(&self, prefix: &str, change: Change) {
        match change {
            Change::Put(item) => {
                let id = &item.key[prefix.len()..];
                match self.shared.platform.decode_runner(id, &item.value) {
                    Ok(info) => self.handle_listed_runner(info),
                    Err(err) => {
                        log::warn!("event=runner.invalid runner={id} fault=\"{err}\"");
                        self.handle_unlisted_runner(id);
                    }
                }
            }
            Change::Removed { key, .. } => self.handle_unlisted_runner(&key[prefix.len()..]),
        }
    }

    fn handle_listed_runner(&self, info: RunnerInfo) {
        if self.group_of(&info) != self.id {
            return;
        }
        let id = info.id.clone();
        let known = self.runners.borrow_mut().insert(id.clone(), info.clone());
        if known.as_ref().map(|it| it.state) != Some(info.state) {
            log::info!(
                "event=runner.list runner={id} address={} service={} state={:?}",
                info.address,
                info.service,
                info.state
            );
        }
        self.engine
            .borrow_mut()
            .update_runner(info, self.shared.now());
        self.wake.notify_one();
    }

    fn handle_unlisted_runner(&self, id: &str) {
        log::info!("event=runner.unlist runner={id}");
        self.engine
            .borrow_mut()
            .unlist_runner(id, self.shared.now());
        self.wake.notify_one();
    }

    /// Returns the group of a runner. The runners of a rack belong to one group, as the rack is
    /// hashed.
    fn group_of(&self, info: &RunnerInfo) -> GroupId {
        let rack = info.labels.get(1).unwrap_or(&info.id);
        GroupId(shard_of(rack, self.shared.options.group_count))
    }
}
