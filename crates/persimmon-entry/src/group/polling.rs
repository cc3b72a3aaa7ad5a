use super::OwnedGroup;
use crate::{
    keys::GroupId,
    platform::{Change, Platform, PollRequest},
    prefix_watch::{self, WatchEvent, WatchOptions},
};
use persimmon_sched::RunnerInfo;
use persimmon_types::shard_of;
use std::{rc::Rc, time::Duration};

/// How long a runner may delay its report while no run ends. A tail latency in a report covers half
/// a second.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// Longest such delay for a runner without runs in a large group.
const IDLE_POLL_WAIT_MAX: Duration = Duration::from_millis(1_600);
/// Polls of runners without runs that an owner may make, per second, as long as
/// [`IDLE_POLL_WAIT_MAX`] allows it.
const IDLE_POLLS_PER_S_MAX: u32 = 1_250;
/// Maximum number of polls in flight of runners that have not reported yet. They are answered at
/// once and take a new connection each; more would delay the calls that keep the session.
pub(super) const FIRST_POLLS_MAX: usize = 512;
/// Pause between polls of a runner, so that runs that end together are handled together.
const POLL_PAUSE: Duration = Duration::from_millis(30);
/// First and longest delay before a runner that did not answer is polled again.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// Ended runs are reported again until acknowledged, so the next poll waits up to this long for
/// their commit.
const COMMIT_WAIT: Duration = Duration::from_millis(300);

/// Options of the instance list watch. Runners write every second; the change that matters, a
/// runner leaving, must be seen well within two seconds. The list counts as known as of the call, so
/// a call takes less than [`persimmon_sched::Options::listing_age_max`] with the pause.
const RUNNERS_WATCH: WatchOptions = WatchOptions {
    wait: Duration::from_millis(400),
    pause: Duration::from_millis(300),
    by_all_members: false,
};

impl<P: Platform> OwnedGroup<P> {
    /// Follows the instance list and polls each runner of the group. Never returns.
    pub(super) async fn follow_runners(self: Rc<Self>) {
        let shared = Rc::clone(&self.shared);
        let prefix = shared.platform.runners_prefix().to_owned();
        prefix_watch::follow(&shared, &prefix, RUNNERS_WATCH, None, |event| match event {
            WatchEvent::Changed(change) => self.handle_runner_change(&prefix, change),
            WatchEvent::UpToDate { as_of } => self.engine.borrow_mut().confirm_listing(as_of),
        })
        .await;
    }

    fn handle_runner_change(self: &Rc<Self>, prefix: &str, change: Change) {
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

    fn handle_listed_runner(self: &Rc<Self>, info: RunnerInfo) {
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
        if self.polled_runners.borrow_mut().insert(id.clone()) {
            self.spawn(Rc::clone(self).poll_runner(id));
        }
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

    /// Renews a runner's lease and handles its reports until the runner is no longer listed and can
    /// have no runs.
    async fn poll_runner(self: Rc<Self>, id: String) {
        let mut retry_delay = RETRY_DELAY_MIN;
        let mut has_report = false;
        while self.engine.borrow().needs_polling(&id) {
            let Some(info) = self.runners.borrow().get(&id).cloned() else {
                break;
            };
            let permit = if has_report {
                None
            } else {
                self.first_polls.acquire().await.ok()
            };
            let requested_at = self.shared.now();
            let request = {
                let mut engine = self.engine.borrow_mut();
                PollRequest {
                    fencing_token: self.fencing_token,
                    acknowledged_end: engine.acknowledged(&id),
                    deadline_ms: if self.may_renew() {
                        engine.lease_deadline_ms(&id, requested_at)
                    } else {
                        None
                    },
                    wait: if !has_report {
                        Duration::ZERO
                    } else if engine.has_runs(&id) {
                        POLL_WAIT
                    } else {
                        self.idle_poll_wait()
                    },
                }
            };
            let answer = self.shared.platform.poll(&info, request).await;
            drop(permit);
            match answer {
                Ok(report) => {
                    self.record(|it| it.polls_answered += 1);
                    let now = self.shared.now();
                    self.engine
                        .borrow_mut()
                        .handle_report(&id, &report, requested_at, now);
                    (has_report, retry_delay) = (true, RETRY_DELAY_MIN);
                    self.wake.notify_one();
                    self.wait_for_commit(&id).await;
                    tokio::time::sleep(POLL_PAUSE).await;
                }
                Err(err) => {
                    self.record(|it| it.polls_failed += 1);
                    log::debug!("event=runner.poll_failed runner={id} fault=\"{err}\"");
                    self.engine
                        .borrow_mut()
                        .handle_missed_report(&id, self.shared.now());
                    has_report = false;
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
                }
            }
        }
        self.polled_runners.borrow_mut().remove(&id);
    }

    /// Returns how long a runner without runs may delay its report.
    fn idle_poll_wait(&self) -> Duration {
        let runners = self.polled_runners.borrow().len() as u32;
        let wait = Duration::from_secs(1) * runners / IDLE_POLLS_PER_S_MAX;
        wait.clamp(POLL_WAIT, IDLE_POLL_WAIT_MAX)
    }

    /// Returns by how much the reports of runners without runs are delayed beyond the usual.
    pub(super) fn extra_report_age(&self) -> Duration {
        self.idle_poll_wait() - POLL_WAIT
    }

    /// Waits until a runner's ended runs are committed, so that the next poll can acknowledge them.
    async fn wait_for_commit(&self, id: &str) {
        let all_written = async {
            while self.engine.borrow().has_pending_ends(id) {
                self.written.notified().await;
            }
        };
        // On a timeout polling continues, because the lease must be renewed.
        let _ = tokio::time::timeout(COMMIT_WAIT, all_written).await;
    }
}
