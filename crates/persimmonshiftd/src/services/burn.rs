use persimmon_wire::api::{LatencyCount, MinuteBurn, ServiceBurn};
use std::{collections::VecDeque, time::Duration};

/// The per-minute counts kept for the burn report cover two days.
const RETAINED_MINUTES_MAX: usize = 2 * 24 * 60;
/// Number of latency buckets; their upper bounds double, starting at 1 ms. The last one also counts
/// all longer latencies.
const LATENCY_BUCKETS: usize = 18;

/// Counts of one service's requests, by minute and by latency.
#[derive(Debug, Default)]
pub(crate) struct BurnCounts {
    minutes: VecDeque<MinuteBurn>,
    latency: [u64; LATENCY_BUCKETS],
}

impl BurnCounts {
    /// Counts a request that ended at `unix_ms`; `good` tells whether it met the objective.
    pub(crate) fn record(&mut self, good: bool, latency: Duration, unix_ms: u64) {
        let unix_minute = unix_ms / 60_000;
        if self
            .minutes
            .back()
            .is_none_or(|minute| minute.unix_minute < unix_minute)
        {
            self.minutes.push_back(MinuteBurn {
                unix_minute,
                good: 0,
                bad: 0,
            });
            if self.minutes.len() > RETAINED_MINUTES_MAX {
                self.minutes.pop_front();
            }
        }
        if let Some(minute) = self.minutes.back_mut() {
            minute.good += u64::from(good);
            minute.bad += u64::from(!good);
        }
        let ms = latency.as_millis().max(1) as u64;
        let bucket = (u64::BITS - (ms - 1).leading_zeros()) as usize;
        self.latency[bucket.min(LATENCY_BUCKETS - 1)] += 1;
    }

    pub(crate) fn report(&self, service: &persimmon_ticket::Service) -> ServiceBurn {
        let counts = self
            .latency
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0);
        ServiceBurn {
            service: service.name.clone(),
            objective_latency_ms: service.objective_latency.as_millis() as u64,
            objective_millipercent: service.objective_millipercent,
            minutes: self.minutes.iter().copied().collect(),
            latency: counts
                .map(|(bucket, count)| LatencyCount {
                    up_to_ms: 1 << bucket,
                    count: *count,
                })
                .collect(),
        }
    }
}
