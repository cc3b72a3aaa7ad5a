//! Where things lie in the store.

use persimmon_sched::JobId;

/// Names a group of runners and jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct GroupId(pub(crate) u16);

/// The authority that issues the processes' keys: whoever may read the store may be a peer.
pub(crate) const AUTHORITY: &str = "ps/authority";
/// The processes that have a session, and the owners of groups: one watch for both.
pub(crate) const MEMBERS: &str = "ps/m/";
/// The processes that have a session.
pub(crate) const NODES: &str = "ps/m/node/";
/// The owners of groups.
pub(crate) const OWNERS: &str = "ps/m/own/";

pub(crate) fn node(name: &str) -> String {
    format!("{NODES}{name}")
}

pub(crate) fn owner(group: GroupId) -> String {
    format!("{OWNERS}{}", group.0)
}

/// Who last took a group; unlike the owner's key it outlives the session.
pub(crate) fn last_owner(group: GroupId) -> String {
    format!("ps/last/{}", group.0)
}

/// All of a group's jobs.
pub(crate) fn jobs(group: GroupId) -> String {
    format!("ps/job/{}/", group.0)
}

/// What entries write of a group's jobs.
pub(crate) fn inbox(group: GroupId) -> String {
    format!("ps/job/{}/in/", group.0)
}

pub(crate) fn submission(group: GroupId, job: JobId) -> String {
    format!("ps/job/{}/in/q/{job}", group.0)
}

pub(crate) fn cancellation(group: GroupId, job: JobId) -> String {
    format!("ps/job/{}/in/c/{job}", group.0)
}

pub(crate) fn record(group: GroupId, job: JobId) -> String {
    format!("ps/job/{}/st/{job}", group.0)
}

/// What a group's owner has learned, for the one after it.
pub(crate) fn learned(group: GroupId) -> String {
    format!("ps/learned/{}", group.0)
}

pub(crate) fn summary(group: GroupId) -> String {
    format!("ps/sum/{}", group.0)
}

/// What a key under [`jobs`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    Submission(JobId),
    Cancellation(JobId),
    Record(JobId),
}

/// Reads a key under [`jobs`].
pub(crate) fn parse(group: GroupId, key: &str) -> Option<JobKey> {
    let rest = key.strip_prefix(&jobs(group))?;
    let parse = |id: &str| id.parse().ok();
    if let Some(id) = rest.strip_prefix("in/q/") {
        return parse(id).map(JobKey::Submission);
    }
    if let Some(id) = rest.strip_prefix("in/c/") {
        return parse(id).map(JobKey::Cancellation);
    }
    parse(rest.strip_prefix("st/")?).map(JobKey::Record)
}
