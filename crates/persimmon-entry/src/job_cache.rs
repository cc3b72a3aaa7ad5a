//! Specifications of the jobs whose tasks this process starts, read from the store.

use crate::{
    keys::{self, GroupId},
    platform::{CallError, Item, Platform},
    state::Shared,
    submission::Submission,
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

/// The outcome of a read: `None` if it failed.
type Spec = Rc<OnceCell<Option<Rc<JobSpec>>>>;

struct Entry {
    spec: Spec,
    used_at: Instant,
}

/// Specifications by group and job.
#[derive(Default)]
pub(crate) struct JobCache {
    entries: RefCell<HashMap<(GroupId, JobId), Entry>>,
}

impl JobCache {
    fn entry(&self, group: GroupId, job: JobId, now: Instant) -> Spec {
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

    /// Drops a failed read, so that the next call reads again.
    fn forget(&self, group: GroupId, job: JobId, failed: &Spec) {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get(&(group, job));
        if entry.is_some_and(|entry| Rc::ptr_eq(&entry.spec, failed)) {
            entries.remove(&(group, job));
        }
    }
}

/// Returns the specification of an accepted job; `None` if it can't be read or is not known at
/// `until`. The read then goes on for later calls.
pub(crate) async fn specification<P: Platform>(
    shared: &Rc<Shared<P>>,
    group: GroupId,
    job: JobId,
    until: Instant,
) -> Option<Rc<JobSpec>> {
    let known = shared.job_cache.entry(group, job, shared.now());
    if let Some(spec) = known.get() {
        return spec.clone();
    }
    let reading = tokio::task::spawn_local(read_once(Rc::clone(shared), group, job));
    let remaining = until.saturating_duration_since(shared.now());
    tokio::time::timeout(remaining, reading).await.ok()?.ok()?
}

/// Reads the specification of a job. Calls for the same job share one read, also one that fails:
/// each would otherwise wait for those before it to time out.
async fn read_once<P: Platform>(
    shared: Rc<Shared<P>>,
    group: GroupId,
    job: JobId,
) -> Option<Rc<JobSpec>> {
    let cell = shared.job_cache.entry(group, job, shared.now());
    let spec = cell.get_or_init(|| async {
        let _permit = shared.relay.specification_read().await;
        let spec = read(&shared, group, job).await;
        let failed = |reason: &String| {
            log::warn!("event=job.specification job={job} fault=\"{reason}\"");
        };
        spec.inspect_err(failed).ok()
    });
    let spec = spec.await.clone();
    if spec.is_none() {
        shared.job_cache.forget(group, job, &cell);
    }
    spec
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
    decode(item.as_ref(), job)
}

fn decode(item: Option<&Item>, id: JobId) -> Result<Rc<JobSpec>, String> {
    let item = item.ok_or("the store does not have it")?;
    let submission = Submission::decode(&item.value).map_err(|err| err.to_string())?;
    let job = submission.into_job(id);
    let job = job.ok_or("the job was cancelled before it was submitted, or has ended")?;
    Ok(Rc::new(job.spec))
}
