//! Division of the month's busiest minute among the shards, without a leader.
//!
//! The busiest minute of the month determines the cost, so usage up to its level costs nothing
//! more. Each shard may use a part of that level in proportion to its demand, and more only as far
//! as its own deadlines require. A shard whose owner died counts as last reported for at most
//! [`STATUS_AGE_MAX`]; from then until a new owner reports it, it has no demand and its part goes
//! to the others.

use crate::{
    context::Context,
    message::{BusiestMinute, OwnedShardStatus},
    peers,
};
use std::{collections::BTreeMap, time::Duration};

/// The age up to which the status of other shards counts.
const STATUS_AGE_MAX: Duration = Duration::from_secs(15);
const MINUTE_MS: u64 = 60_000;

/// Computes the month's busiest minute from samples of the claimed processors.
#[derive(Debug, Default)]
pub(crate) struct BusiestMinuteMeter {
    minute: u64,
    /// The integral of the claimed processors over the minute so far, in cpu_millis times ms.
    claimed_cpu_millis_ms: u64,
    sampled_unix_ms: u64,
}

impl BusiestMinuteMeter {
    /// Adds a sample of the processors that all shards claim together.
    pub(crate) fn sample(&mut self, context: &Context, claimed_cpu_millis: u64, unix_ms: u64) {
        let minute = unix_ms / MINUTE_MS;
        let elapsed_ms = unix_ms.saturating_sub(self.sampled_unix_ms).min(MINUTE_MS);
        if minute != self.minute {
            self.finish_minute(context);
            self.minute = minute;
            self.claimed_cpu_millis_ms = 0;
        }
        self.claimed_cpu_millis_ms += claimed_cpu_millis * elapsed_ms;
        self.sampled_unix_ms = unix_ms;
    }

    fn finish_minute(&self, context: &Context) {
        let cpu_millis = self.claimed_cpu_millis_ms / MINUTE_MS;
        let month = month_of(self.minute * MINUTE_MS);
        peers::merge_busiest_minute(context, BusiestMinute { month, cpu_millis });
    }
}

/// Returns the status with the highest epoch of each known shard, own ones included, by shard.
pub(crate) fn known_shards(
    context: &Context,
    own: &[OwnedShardStatus],
) -> BTreeMap<u16, OwnedShardStatus> {
    let mut known: BTreeMap<u16, OwnedShardStatus> = BTreeMap::new();
    let peers = context.peers.lock();
    let reported = peers
        .iter(context.now(), STATUS_AGE_MAX)
        .flat_map(|status| status.shards.iter());
    for status in reported.chain(own) {
        let newer = known
            .get(&status.shard)
            .is_none_or(|other| other.epoch <= status.epoch);
        if newer {
            known.insert(status.shard, status.clone());
        }
    }
    known
}

/// Returns the processors that batch tasks of `shard` may claim, in thousandths of a core.
///
/// `busiest_cpu_millis` is the level of the month's busiest minute so far.
pub(crate) fn batch_budget(
    busiest_cpu_millis: u64,
    shard: u16,
    known: &BTreeMap<u16, OwnedShardStatus>,
) -> u64 {
    let demand = |status: &OwnedShardStatus| status.claimed_cpu_millis + status.queued_cpu_millis;
    let Some(own) = known.get(&shard) else {
        return busiest_cpu_millis;
    };
    let total: u64 = known.values().map(demand).sum();
    let part = u128::from(busiest_cpu_millis) * u128::from(demand(own)) / u128::from(total.max(1));
    own.required_cpu_millis.max(part as u64)
}

/// Returns the month of a time in the Gregorian calendar, counted from January of year 0.
pub(crate) fn month_of(unix_ms: u64) -> u32 {
    const DAY_MS: u64 = 86_400_000;
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    // These years begin in March, so that the leap day is their last day.
    let days = unix_ms / DAY_MS + DAYS_TO_EPOCH;
    let (era, day) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year_of_era = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let years = era * 400 + year_of_era;
    (years * 12 + month_from_march + 2) as u32
}
