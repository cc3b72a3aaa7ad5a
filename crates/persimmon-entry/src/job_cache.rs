//! Specifications of the jobs whose tasks this process starts, read from the store.

use crate::{
    keys::{self, GroupId},
    platform::{CallError, Item, Platform},
    requests::Submission,
    state::Shared,
};
use persimmon_sched::{JobId, JobSpec};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::OnceCell;

/// A specification that was not used for this long is dropped.
const UNUSED_MAX: Duration = Duration::from_secs(20);

struct Entry {
    spec: Rc<OnceCell<Rc<JobSpec>>>,
    used_at: Instant,
}

/// Specifications by group and job.
#[derive(Default)]
pub(crate) struct JobCache {
    entries: RefCell<HashMap<(GroupId, JobId), Entry>>,
}

impl JobCache {
    fn entry(&self, group: GroupId, job: JobId, now: Instant) -> Rc<OnceCell<Rc<JobSpec>>> {
        let mut entries = self.entries.borrow_mut();
        if !entries.contains_key(&(group, job)) {
            entries.retain(|_, entry| now < entry.used_at + UNUSED_MAX);
        }
        let entry = entries.entry((group, job)).or_insert_with(|| Entry {
            spec: Rc::default(),
            used_at: now,
        });
        entry.used_at = now;
        Rc::clone(&entry.spec)
    }
}

/// Returns the specification of an accepted job. Calls for the same job share one read.
pub(crate) async fn specification<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
    job: JobId,
) -> Option<Rc<JobSpec>> {
    let cell = shared.job_cache.entry(group, job, shared.now());
    let spec = cell.get_or_try_init(|| read(shared, group, job)).await;
    match spec {
        Ok(spec) => Some(Rc::clone(spec)),
        Err(reason) => {
            log::warn!("event=job.specification job={job} fault=\"{reason}\"");
            None
        }
    }
}

async fn read<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
    job: JobId,
) -> Result<Rc<JobSpec>, String> {
    let key = keys::submission(group, job);
    let text = |err: CallError| err.to_string();
    let mut item = shared.platform.get_stale(&key).await.map_err(text)?;
    if item.is_none() {
        item = shared.platform.get(&key).await.map_err(text)?;
    }
    decode(item.as_ref())
}

fn decode(item: Option<&Item>) -> Result<Rc<JobSpec>, String> {
    let item = item.ok_or("the store does not have it")?;
    let submission = Submission::decode(&item.value).map_err(|err| err.to_string())?;
    let job = submission.into_job();
    let job = job.ok_or("the job was cancelled before it was submitted, or has ended")?;
    Ok(Rc::new(job.spec))
}
