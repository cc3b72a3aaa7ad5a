use super::Group;
use crate::{
    keys::GroupId,
    mirror::{self, Watching},
    platform::{Change, Hold, Platform},
};
use persimmon_sched::RunnerInfo;
use persimmon_types::shard_of;
use std::{rc::Rc, time::Duration};

/// A runner answers at the latest after this time if nothing ends; tails are figures of half a second.
const HOLD_WAIT: Duration = Duration::from_millis(800);
/// Between two looks at a runner, so that ends that come together are taken together.
const HOLD_GAP: Duration = Duration::from_millis(30);
/// Before a runner that did not answer is asked again, at first and at most.
const RETRY_FIRST: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Ends are listed again until acknowledged; the next look waits so long for their commit.
const COMMIT_WAIT: Duration = Duration::from_millis(300);

/// Runners write every second; what counts, that one leaves, must be heard well within two.
const RUNNERS: Watching = Watching {
    wait: Duration::from_millis(1_500),
    gap: Duration::from_millis(300),
};

impl<P: Platform> Group<P> {
    /// Follows the instance list and looks after each runner of the group, for good.
    pub(super) async fn list_runners(self: Rc<Self>) {
        let shared = Rc::clone(&self.shared);
        let prefix = shared.platform.runners_prefix().to_owned();
        mirror::follow(&shared, &prefix, RUNNERS, None, |change| match change {
            Change::Put(item) => {
                let id = item.key[prefix.len()..].to_owned();
                match shared.platform.runner(&id, &item.value) {
                    Ok(info) => self.list_runner(info),
                    Err(fault) => {
                        log::warn!("event=runner.broken runner={id} fault=\"{fault}\"");
                        self.unlist_runner(&id);
                    }
                }
            }
            Change::Gone { key, .. } => self.unlist_runner(&key[prefix.len()..]),
        })
        .await;
    }

    fn list_runner(self: &Rc<Self>, info: RunnerInfo) {
        if self.group_of(&info) != self.id {
            return;
        }
        let id = info.id.clone();
        let known = self.runners.borrow_mut().insert(id.clone(), info.clone());
        if known.as_ref().map(|it| it.state) != Some(info.state) {
            log::info!(
                "event=runner.list runner={id} service={} state={:?}",
                info.service,
                info.state
            );
        }
        self.engine
            .borrow_mut()
            .update_runner(info, self.shared.now());
        if self.watched.borrow_mut().insert(id.clone()) {
            self.spawn(Rc::clone(self).look_after(id));
        }
        self.wake.notify_one();
    }

    fn unlist_runner(&self, id: &str) {
        log::info!("event=runner.unlist runner={id}");
        self.engine.borrow_mut().unlist_runner(id);
        self.wake.notify_one();
    }

    /// Racks stay together: their number in the group's hash is that of all their runners.
    fn group_of(&self, info: &RunnerInfo) -> GroupId {
        let rack = info.labels.get(1).unwrap_or(&info.id);
        GroupId(shard_of(rack, self.shared.options.group_count))
    }

    /// Renews a runner's lease and takes its reports until it is gone for certain.
    async fn look_after(self: Rc<Self>, id: String) {
        let mut retry = RETRY_FIRST;
        let mut is_heard = false;
        while self.engine.borrow().needs_polling(&id) {
            let Some(info) = self.runners.borrow().get(&id).cloned() else {
                break;
            };
            let asked_at = self.shared.now();
            let hold = {
                let mut engine = self.engine.borrow_mut();
                Hold {
                    fence: self.fence,
                    acknowledged: engine.acknowledged(&id),
                    deadline_ms: if self.may_renew() {
                        engine.lease_deadline_ms(&id, asked_at)
                    } else {
                        None
                    },
                    wait: if is_heard { HOLD_WAIT } else { Duration::ZERO },
                }
            };
            match self.shared.platform.hold(&info, hold).await {
                Ok(report) => {
                    let now = self.shared.now();
                    self.engine
                        .borrow_mut()
                        .handle_report(&id, &report, asked_at, now);
                    (is_heard, retry) = (true, RETRY_FIRST);
                    self.wake.notify_one();
                    self.await_commit(&id).await;
                    tokio::time::sleep(HOLD_GAP).await;
                }
                Err(fault) => {
                    log::debug!("event=runner.unheard runner={id} fault=\"{fault}\"");
                    self.engine
                        .borrow_mut()
                        .handle_missed_report(&id, self.shared.now());
                    is_heard = false;
                    tokio::time::sleep(retry).await;
                    retry = (retry * 2).min(RETRY_MAX);
                }
            }
        }
        self.watched.borrow_mut().remove(&id);
    }

    /// Waits until a runner's ends are committed, so that the next look can acknowledge them.
    async fn await_commit(&self, id: &str) {
        let all_written = async {
            while self.engine.borrow().has_pending_ends(id) {
                self.written.notified().await;
            }
        };
        // Without a commit the look goes on: the lease must be renewed.
        let _ = tokio::time::timeout(COMMIT_WAIT, all_written).await;
    }
}
