use crate::message::HolderWire;
use persimmon_wire::store::Entry;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Instant,
};

/// The key prefix of the member records in the store.
pub(crate) const MEMBER_PREFIX: &str = "meta/member/";

/// A member's record in the store, which is deleted with the lease of its session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) id: String,
    pub(crate) incarnation: u64,
    pub(crate) mesh_address: SocketAddr,
    pub(crate) data_centre: String,
}

/// The members that are registered in the store.
#[derive(Debug, Default)]
pub(crate) struct Members {
    by_key: BTreeMap<String, Member>,
    /// When a process was first seen to be absent, by member id and incarnation.
    missing_since: HashMap<(String, u64), Instant>,
}

impl Members {
    /// Applies a change of one record.
    pub(crate) fn apply(&mut self, entry: &Entry, now: Instant) {
        let parsed = entry
            .value
            .as_ref()
            .map(|text| serde_json::from_str::<Member>(text));
        let previous = match parsed {
            Some(Ok(member)) => {
                self.missing_since
                    .remove(&(member.id.clone(), member.incarnation));
                self.by_key.insert(entry.key.clone(), member)
            }
            Some(Err(err)) => {
                log::warn!("step=member.parse object={} reason={err}", entry.key);
                None
            }
            None => self.by_key.remove(&entry.key),
        };
        if let Some(member) = previous {
            self.record_missing(&member, now);
        }
    }

    /// Removes the members whose keys are not in `present`.
    pub(crate) fn retain<'a>(&mut self, present: impl Iterator<Item = &'a str>, now: Instant) {
        let present: BTreeSet<&str> = present.collect();
        let absent: Vec<String> = self
            .by_key
            .keys()
            .filter(|key| !present.contains(key.as_str()))
            .cloned()
            .collect();
        for key in absent {
            if let Some(member) = self.by_key.remove(&key) {
                self.record_missing(&member, now);
            }
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_key.values()
    }

    /// Returns all members except the one with `own_id`.
    pub(crate) fn others(&self, own_id: &str) -> Vec<Member> {
        self.iter()
            .filter(|member| member.id != own_id)
            .cloned()
            .collect()
    }

    pub(crate) fn ids(&self) -> Vec<String> {
        self.iter().map(|member| member.id.clone()).collect()
    }

    pub(crate) fn try_find(&self, id: &str) -> Option<&Member> {
        self.iter().find(|member| member.id == id)
    }

    /// Returns whether this incarnation of the member is registered.
    pub(crate) fn contains(&self, holder: &HolderWire) -> bool {
        let member = self.try_find(&holder.member);
        member.is_some_and(|member| member.incarnation == holder.incarnation)
    }

    /// Returns when a process was first seen to be absent, and records `now` as that time if none
    /// is recorded.
    pub(crate) fn missing_since(&mut self, holder: &HolderWire, now: Instant) -> Instant {
        let key = (holder.member.clone(), holder.incarnation);
        *self.missing_since.entry(key).or_insert(now)
    }

    /// Records `member` as absent, unless an equal record is still registered.
    fn record_missing(&mut self, member: &Member, now: Instant) {
        let key = (member.id.clone(), member.incarnation);
        let registered = self.by_key.values().any(|other| other == member);
        if !registered {
            self.missing_since.entry(key).or_insert(now);
        }
    }
}
