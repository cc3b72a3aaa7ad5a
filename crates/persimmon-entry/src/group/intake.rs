use super::Group;
use crate::{
    keys::{self, JobKey},
    mirror::{self, Watching},
    platform::{Change, Item, Platform},
    submit::Submission,
};
use persimmon_sched::{JobId, JobSpec, Record, StoredRecord};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

/// Before a read that failed is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// A job that waits here is late.
const INBOX: Watching = Watching {
    wait: Duration::from_millis(1_500),
    gap: Duration::from_millis(15),
};

#[derive(Default)]
struct Found {
    spec: Option<JobSpec>,
    is_cancelled: bool,
    stored: Option<StoredRecord>,
}

impl<P: Platform> Group<P> {
    /// Reads the group's jobs. Returns the names in the inbox and the revision to watch it from.
    pub(super) async fn load(&self) -> (BTreeSet<String>, u64) {
        let prefix = keys::jobs(self.id);
        let (items, revision) = loop {
            match mirror::list(&self.shared, &prefix).await {
                Ok(found) => break found,
                Err(fault) => log::debug!("event=group.load fault=\"{fault}\""),
            }
            tokio::time::sleep(RETRY_AFTER).await;
        };
        let inbox = keys::inbox(self.id);
        let keys = items.iter().map(|item| item.key.clone());
        let known = keys.filter(|key| key.starts_with(&inbox)).collect();
        let mut found: HashMap<JobId, Found> = HashMap::new();
        for item in items {
            self.sort(&item, &mut found);
        }
        log::info!(
            "event=group.read group={} jobs={} revision={revision}",
            self.id.0,
            found.len()
        );
        let (wall_ms, now) = (self.shared.wall_ms(), self.shared.now());
        let mut engine = self.engine.borrow_mut();
        for (id, it) in found {
            let Some(spec) = it.spec else {
                continue;
            };
            engine.add_job(spec, it.stored, wall_ms, now);
            if it.is_cancelled {
                engine.cancel(id, now);
            }
        }
        (known, revision)
    }

    fn sort(&self, item: &Item, found: &mut HashMap<JobId, Found>) {
        match keys::parse(self.id, &item.key) {
            Some(JobKey::Submission(id)) => {
                found.entry(id).or_default().spec = self.read_submission(item);
            }
            Some(JobKey::Cancellation(id)) => found.entry(id).or_default().is_cancelled = true,
            Some(JobKey::Record(id)) => match Record::decode(&item.value) {
                Ok(record) => {
                    found.entry(id).or_default().stored = Some(StoredRecord {
                        revision: item.revision,
                        record,
                    });
                }
                Err(err) => log::error!("event=record.broken key={} fault=\"{err}\"", item.key),
            },
            None => log::warn!("event=key.unknown key={}", item.key),
        }
    }

    fn read_submission(&self, item: &Item) -> Option<JobSpec> {
        match Submission::decode(&item.value) {
            Ok(Submission::Job(spec)) => Some(spec),
            Ok(Submission::Never) => None,
            Err(err) => {
                log::error!("event=submission.broken key={} fault=\"{err}\"", item.key);
                None
            }
        }
    }

    /// Follows what entries write, for good.
    pub(super) async fn take_in(self: Rc<Self>, start: (BTreeSet<String>, u64)) {
        let shared = Rc::clone(&self.shared);
        let inbox = keys::inbox(self.id);
        mirror::follow(&shared, &inbox, INBOX, Some(start), |change| {
            if let Change::Put(item) = change {
                self.take_item(&item);
            }
        })
        .await;
    }

    fn take_item(&self, item: &Item) {
        let (wall_ms, now) = (self.shared.wall_ms(), self.shared.now());
        match keys::parse(self.id, &item.key) {
            Some(JobKey::Submission(id)) => {
                let Some(spec) = self.read_submission(item) else {
                    return;
                };
                log::debug!("event=job.take job={id} steps={}", spec.steps.len());
                self.engine.borrow_mut().add_job(spec, None, wall_ms, now);
            }
            Some(JobKey::Cancellation(id)) => {
                self.engine.borrow_mut().cancel(id, now);
            }
            Some(JobKey::Record(_)) | None => return,
        }
        self.wake.notify_one();
    }
}
