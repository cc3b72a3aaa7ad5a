//! Keys in the store.

use persimmon_sched::JobId;

/// Identifies a group of runners and jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct GroupId(pub(crate) u16);

/// The certificate authority that issues the processes' keys. Any process that can read the store
/// can be a peer.
pub(crate) const AUTHORITY: &str = "ps/authority";
/// Prefix of both the member keys and the owner keys, so that one watch covers both.
pub(crate) const MEMBERSHIP: &str = "ps/m/";
/// Prefix of the keys of processes with a session.
pub(crate) const MEMBERS: &str = "ps/m/node/";
/// Prefix of the keys of group owners.
pub(crate) const OWNERS: &str = "ps/m/own/";

pub(crate) fn member(name: &str) -> String {
    format!("{MEMBERS}{name}")
}

pub(crate) fn owner(group: GroupId) -> String {
    format!("{OWNERS}{}", group.0)
}

/// Key of the process that took a group last. Unlike the owner's key it outlives the session.
pub(crate) fn last_owner(group: GroupId) -> String {
    format!("ps/last/{}", group.0)
}

/// Prefix of all keys of a group's jobs.
pub(crate) fn jobs(group: GroupId) -> String {
    format!("ps/job/{}/", group.0)
}

/// Prefix of the submission and cancellation keys of a group's jobs, which any process may write.
pub(crate) fn inbox(group: GroupId) -> String {
    format!("ps/job/{}/in/", group.0)
}

/// Prefix of the submission keys of all jobs with this number.
pub(crate) fn submissions(group: GroupId, number: u64) -> String {
    submission(group, JobId::new(number))
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

/// Key of the estimates that a group's owner saves for its successor.
pub(crate) fn learned(group: GroupId) -> String {
    format!("ps/learned/{}", group.0)
}

pub(crate) fn summary(group: GroupId) -> String {
    format!("ps/sum/{}", group.0)
}

/// Most digits of a job's id that a prefix of [`narrower`] holds. 256 prefixes of each kind are
/// enough for lists of 100,000 jobs on the slowest links.
const ID_DIGITS_MAX: usize = 2;

/// Returns prefixes that together cover all keys under a prefix; none if it can't be divided.
pub(crate) fn narrower(prefix: &str) -> Vec<String> {
    let below = |parts: &[&str]| {
        let parts = parts.iter();
        parts.map(|part| format!("{prefix}{part}")).collect()
    };
    let group_and_rest = prefix.strip_prefix("ps/job/");
    let Some((_, rest)) = group_and_rest.and_then(|it| it.split_once('/')) else {
        return Vec::new();
    };
    match rest {
        "" => return below(&["in/c/", "in/q/", "st/"]),
        "in/" => return below(&["c/", "q/"]),
        _ => {}
    }
    let digits = rest.rsplit('/').next().unwrap_or_default();
    if digits.len() >= ID_DIGITS_MAX {
        return Vec::new();
    }
    let digits = (0..16).map(|digit| format!("{prefix}{digit:x}"));
    digits.collect()
}

/// Kind of a key under [`jobs`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKey {
    Submission(JobId),
    Cancellation(JobId),
    Record(JobId),
}

/// Parses a key under [`jobs`].
pub(crate) fn parse(group: GroupId, key: &str) -> Option<JobKey> {
    let suffix = key.strip_prefix(&jobs(group))?;
    let parse = JobId::parse_whole;
    if let Some(id) = suffix.strip_prefix("in/q/") {
        return parse(id).map(JobKey::Submission);
    }
    if let Some(id) = suffix.strip_prefix("in/c/") {
        return parse(id).map(JobKey::Cancellation);
    }
    parse(suffix.strip_prefix("st/")?).map(JobKey::Record)
}
