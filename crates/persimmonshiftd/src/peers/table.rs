use crate::message::MemberStatus;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The latest status of each peer, with the time at which it was received.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_member: BTreeMap<String, (Instant, MemberStatus)>,
}

impl Peers {
    pub(crate) fn record(&mut self, status: MemberStatus, now: Instant) {
        self.by_member.insert(status.member.clone(), (now, status));
    }

    /// Iterates over the status of each peer that was received within `age_max` before `now`.
    pub(crate) fn iter(
        &self,
        now: Instant,
        age_max: Duration,
    ) -> impl Iterator<Item = &MemberStatus> {
        let entries = self.by_member.values();
        entries
            .filter(move |(received_at, _)| now.saturating_duration_since(*received_at) <= age_max)
            .map(|(_, status)| status)
    }

    pub(crate) fn try_find(&self, member: &str) -> Option<&MemberStatus> {
        self.by_member.get(member).map(|(_, status)| status)
    }

    /// Returns the peer that reported the highest epoch of a shard as its owner.
    pub(crate) fn owner_of(&self, shard: u16) -> Option<&str> {
        let owned = self.by_member.values().flat_map(|(_, status)| {
            let shards = status
                .shards
                .iter()
                .filter(move |owned| owned.shard == shard);
            shards.map(|owned| (owned.epoch, status.member.as_str()))
        });
        owned.max().map(|(_, member)| member)
    }
}
