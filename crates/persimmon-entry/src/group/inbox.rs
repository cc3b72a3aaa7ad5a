use super::OwnedGroup;
use crate::{
    keys::{self, JobKey},
    platform::{Change, Item, Platform},
    prefix_watch::{self, ListProgress, WatchEvent, WatchOptions},
    submission::{AcceptedJob, Submission},
};
use persimmon_sched::{JobId, Phase, Record, StoredRecord};
use std::{
    cell::Cell,
    collections::{BTreeSet, HashMap},
    convert::Infallible,
    rc::Rc,
    time::{Duration, Instant},
};

/// Options of the inbox watch. Any delay here delays the start of jobs.
const INBOX_WATCH: WatchOptions = WatchOptions {
    wait: Duration::from_millis(1_500),
    pause: Duration::from_millis(15),
    by_all_members: false,
    skips_large_versions: false,
    confirms_backlog: false,
};

/// Tasks of the jobs that are loaded without a pause: the session is renewed meanwhile.
const LOADED_TASKS_MAX: u64 = 10_000;

/// Interval at which an owner that does not serve its group yet is logged.
pub(crate) const LOADING_LOG_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Default)]
struct StoredJob {
    job: Option<AcceptedJob>,
    /// The queue of a settled job, and the phase that it ended in.
    ended_as: Option<(String, Phase)>,
    is_cancelled: bool,
    stored: Option<StoredRecord>,
}

impl<P: Platform> OwnedGroup<P> {
    /// Loads from the store what is needed to serve the group. Returns the keys in the inbox and
    /// the revision to watch it from.
    pub(super) async fn load(&self) -> (BTreeSet<String>, u64) {
        let progress = Cell::default();
        let loaded = async {
            self.load_learned().await;
            self.load_jobs(&progress).await
        };
        tokio::select! {
            loaded = loaded => loaded,
            never = self.log_loading(&progress) => match never {},
        }
    }

    async fn load_jobs(&self, progress: &Cell<ListProgress>) -> (BTreeSet<String>, u64) {
        let prefix = keys::jobs(self.id);
        let (items, revision) = prefix_watch::list(&self.shared, &prefix, false, progress).await;
        let inbox = keys::inbox(self.id);
        let keys = items.iter().map(|item| item.key.clone());
        let known = keys.filter(|key| key.starts_with(&inbox)).collect();
        let mut jobs: HashMap<JobId, StoredJob> = HashMap::new();
        for item in items {
            self.add_item(&item, &mut jobs);
        }
        let has_ended = |job: &&StoredJob| {
            let record = job.stored.as_ref().map(|it| &it.record);
            job.ended_as.is_some() || record.is_some_and(|it| it.phase.is_final())
        };
        log::info!(
            "event=group.read group={} jobs={} ended_jobs={} revision={revision} duration_ms={}",
            self.id.0,
            jobs.len(),
            jobs.values().filter(has_ended).count(),
            self.owned_for().as_millis()
        );
        let mut tasks = 0;
        for (id, stored) in jobs {
            if tasks >= LOADED_TASKS_MAX {
                tokio::task::yield_now().await;
                tasks = 0;
            }
            let (wall_ms, now) = (self.shared.wall_ms(), self.shared.now());
            if let Some((queue, phase)) = stored.ended_as {
                let mut engine = self.engine.borrow_mut();
                engine.add_ended_job(id, queue, phase, now);
                continue;
            }
            let Some(job) = stored.job else {
                continue;
            };
            tasks += job.spec.tasks_each();
            self.add_job(job, stored.stored, wall_ms, now);
            if stored.is_cancelled {
                self.engine.borrow_mut().cancel(id, now);
            }
        }
        (known, revision)
    }

    /// Logs periodically how far the jobs are read while the group is not served yet. Never
    /// returns.
    async fn log_loading(&self, progress: &Cell<ListProgress>) -> Infallible {
        loop {
            tokio::time::sleep(LOADING_LOG_INTERVAL).await;
            log::warn!(
                "event=group.loading group={} fence={} owned_for_ms={} {}",
                self.id.0,
                self.fencing_token,
                self.owned_for().as_millis(),
                progress.get()
            );
        }
    }

    fn owned_for(&self) -> Duration {
        self.shared.now().saturating_duration_since(self.started_at)
    }

    fn add_item(&self, item: &Item, jobs: &mut HashMap<JobId, StoredJob>) {
        match keys::parse(self.id, &item.key) {
            Some(JobKey::Submission(id)) => {
                let stored = jobs.entry(id).or_default();
                match Submission::of_item(item) {
                    Some(Submission::Ended { phase, queue }) => {
                        stored.ended_as = Some((queue.unwrap_or_default(), phase));
                    }
                    submission => stored.job = submission.and_then(|it| it.into_job(id)),
                }
            }
            Some(JobKey::Cancellation(id)) => jobs.entry(id).or_default().is_cancelled = true,
            Some(JobKey::Record(id)) => match Record::decode(&item.value) {
                Ok(record) => {
                    jobs.entry(id).or_default().stored = Some(StoredRecord {
                        revision: item.revision,
                        record,
                    });
                }
                Err(err) => log::error!("event=record.invalid key={} fault=\"{err}\"", item.key),
            },
            None => log::warn!("event=key.unknown key={}", item.key),
        }
    }

    /// Adds a job to the engine.
    pub(crate) fn add_job(
        &self,
        job: AcceptedJob,
        stored: Option<StoredRecord>,
        wall_ms: u64,
        now: Instant,
    ) {
        let mut engine = self.engine.borrow_mut();
        if let Some(queue) = job.queue {
            engine.remember_queue(queue);
        }
        engine.add_job(job.spec, stored, wall_ms, now);
    }

    /// Adds submissions and cancellations to the engine as they are written. Never returns.
    pub(super) async fn follow_inbox(self: Rc<Self>, start: (BTreeSet<String>, u64)) {
        let shared = Rc::clone(&self.shared);
        let inbox = keys::inbox(self.id);
        prefix_watch::follow(&shared, &inbox, INBOX_WATCH, Some(start), |event| {
            if let WatchEvent::Changed(Change::Put(item)) = event {
                self.handle_inbox_item(&item);
            }
        })
        .await;
    }

    fn handle_inbox_item(&self, item: &Item) {
        let (wall_ms, now) = (self.shared.wall_ms(), self.shared.now());
        match keys::parse(self.id, &item.key) {
            Some(JobKey::Submission(id)) => {
                let job = Submission::of_item(item).and_then(|it| it.into_job(id));
                let Some(job) = job else {
                    return;
                };
                let steps = job.spec.steps.len();
                log::debug!("event=job.receive job={id} steps={steps}");
                self.add_job(job, None, wall_ms, now);
            }
            Some(JobKey::Cancellation(id)) => {
                self.engine.borrow_mut().cancel(id, now);
            }
            Some(JobKey::Record(_)) | None => return,
        }
        self.wake.notify_one();
    }
}
