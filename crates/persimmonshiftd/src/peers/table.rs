use crate::message::MemberStatus;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The newest news of each peer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_member: BTreeMap<String, (Instant, MemberStatus)>,
}

impl Peers {
    pub(crate) fn take(&mut self, news: MemberStatus, now: Instant) {
        self.by_member.insert(news.member.clone(), (now, news));
    }

    /// News no older than `age_max`.
    pub(crate) fn iter(
        &self,
        now: Instant,
        age_max: Duration,
    ) -> impl Iterator<Item = &MemberStatus> {
        let recent = self.by_member.values();
        recent
            .filter(move |(at, _)| now.saturating_duration_since(*at) <= age_max)
            .map(|(_, news)| news)
    }

    pub(crate) fn try_find(&self, member: &str) -> Option<&MemberStatus> {
        self.by_member.get(member).map(|(_, news)| news)
    }

    /// The member with the highest epoch of a shard.
    pub(crate) fn owner_of(&self, shard: u16) -> Option<&str> {
        let owned = self.by_member.values().flat_map(|(_, news)| {
            let shards = news.shards.iter().filter(move |owned| owned.shard == shard);
            shards.map(|owned| (owned.epoch, news.member.as_str()))
        });
        owned.max().map(|(_, member)| member)
    }
}
