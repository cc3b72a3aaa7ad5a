//! The shards' shares of the busiest minute, without a leader.
//!
//! What the month's busiest minute has cost is paid already. Each shard may use its part of that
//! level, in proportion to what it wants, and beyond it only what its own deadlines need. A shard
//! whose owner died wants nothing until its new owner tells, so its part goes to the others for
//! those seconds; its tasks that still run are counted where they were last told.

use crate::{
    context::Context,
    message::{BusiestMinute, OwnedShardStatus},
    peers,
};
use std::{collections::BTreeMap, time::Duration};

/// News of other shards is counted for this long.
const NEWS_AGE_MAX: Duration = Duration::from_secs(15);
const MINUTE_MS: u64 = 60_000;

/// Works out the month's busiest minute from what is claimed over time.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    minute: u64,
    level_ms: u64,
    sampled_unix_ms: u64,
}

impl Meter {
    /// Adds a sample of what all shards claim together.
    pub(crate) fn sample(&mut self, context: &Context, claimed_cpu_millis: u64, unix_ms: u64) {
        let minute = unix_ms / MINUTE_MS;
        let elapsed_ms = unix_ms.saturating_sub(self.sampled_unix_ms).min(MINUTE_MS);
        if minute != self.minute {
            self.close(context);
            self.minute = minute;
            self.level_ms = 0;
        }
        self.level_ms += claimed_cpu_millis * elapsed_ms;
        self.sampled_unix_ms = unix_ms;
    }

    fn close(&self, context: &Context) {
        let cpu_millis = self.level_ms / MINUTE_MS;
        let month = month_of(self.minute * MINUTE_MS);
        peers::merge_busiest(context, BusiestMinute { month, cpu_millis });
    }
}

/// All shards that are known, own ones included, by index.
pub(crate) fn known(
    context: &Context,
    own: &[OwnedShardStatus],
) -> BTreeMap<u16, OwnedShardStatus> {
    let mut known: BTreeMap<u16, OwnedShardStatus> = BTreeMap::new();
    let peers = context.peers.lock();
    let theirs = peers
        .iter(context.now(), NEWS_AGE_MAX)
        .flat_map(|news| news.shards.iter());
    for news in theirs.chain(own) {
        let newer = known
            .get(&news.shard)
            .is_none_or(|it| it.epoch <= news.epoch);
        if newer {
            known.insert(news.shard, news.clone());
        }
    }
    known
}

/// What batch tasks of `shard` may claim.
pub(crate) fn share(
    paid_cpu_millis: u64,
    shard: u16,
    known: &BTreeMap<u16, OwnedShardStatus>,
) -> u64 {
    let wants = |news: &OwnedShardStatus| news.claimed_cpu_millis + news.queued_cpu_millis;
    let Some(own) = known.get(&shard) else {
        return paid_cpu_millis;
    };
    let all: u64 = known.values().map(wants).sum();
    let part = u128::from(paid_cpu_millis) * u128::from(wants(own)) / u128::from(all.max(1));
    own.required_cpu_millis.max(part as u64)
}

/// The month of a time, counted from January of year 0, by the civil calendar.
pub(crate) fn month_of(unix_ms: u64) -> u32 {
    const DAY_MS: u64 = 86_400_000;
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    // Years begin in March here, so that the leap day comes last.
    let days = unix_ms / DAY_MS + DAYS_TO_EPOCH;
    let (era, day) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year_of_era = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let years = era * 400 + year_of_era;
    (years * 12 + month_from_march + 2) as u32
}
