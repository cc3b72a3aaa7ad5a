use crate::ReleasedWork;
use std::collections::BTreeMap;

const DAY_MS: u64 = 86_400_000;
/// The length of a bucket of arrival time, and the unit of the time from arrival to deadline.
const BUCKET_MS: u64 = 15 * 60_000;
const BUCKETS_PER_DAY: usize = (DAY_MS / BUCKET_MS) as usize;

/// A daily profile of arriving work, by time of day and time to deadline, to forecast later days.
///
/// It is an exponential moving average: each completed day halves the weight of the days before it.
/// Until the first day is complete, the forecast is empty.
#[derive(Debug, Clone)]
pub struct Profile {
    /// For each arrival bucket of the day, the average work by buckets from arrival to deadline.
    average: Vec<BTreeMap<u64, u128>>,
    today: Vec<BTreeMap<u64, u128>>,
    day: Option<u64>,
    days_complete: u32,
}

impl Default for Profile {
    fn default() -> Self {
        let empty = vec![BTreeMap::new(); BUCKETS_PER_DAY];
        Self {
            average: empty.clone(),
            today: empty,
            day: None,
            days_complete: 0,
        }
    }
}

impl Profile {
    /// Records work that arrived at `now_unix_ms`.
    pub fn observe(&mut self, now_unix_ms: u64, deadline_unix_ms: u64, cpu_millis_ms: u128) {
        self.advance_day(now_unix_ms);
        let buckets_to_deadline = deadline_unix_ms.saturating_sub(now_unix_ms) / BUCKET_MS;
        let bucket = &mut self.today[bucket_of(now_unix_ms)];
        *bucket.entry(buckets_to_deadline).or_default() += cpu_millis_ms;
    }

    /// Adds the current day to the averages if `now_unix_ms` is on a later day.
    pub fn advance_day(&mut self, now_unix_ms: u64) {
        let day = now_unix_ms / DAY_MS;
        if self.day.is_some_and(|current| current < day) {
            self.complete_day();
        }
        self.day = Some(day);
    }

    /// Returns the work expected to arrive in the 24 hours from `now_unix_ms`.
    pub fn forecast(&self, now_unix_ms: u64) -> Vec<ReleasedWork> {
        let mut expected = Vec::new();
        if self.days_complete == 0 {
            return expected;
        }
        let current = now_unix_ms / BUCKET_MS;
        for bucket_number in current..current + BUCKETS_PER_DAY as u64 {
            let (start, bucket) = (
                bucket_number * BUCKET_MS,
                (bucket_number % BUCKETS_PER_DAY as u64) as usize,
            );
            for (buckets_to_deadline, average) in &self.average[bucket] {
                // In the current bucket, the work that has already arrived is subtracted from the
                // average, and the rest is scaled by the fraction of the bucket that is left.
                let arrived = if bucket_number == current {
                    self.today[bucket].get(buckets_to_deadline)
                } else {
                    None
                };
                let remaining = average.saturating_sub(arrived.copied().unwrap_or(0));
                let expected_work = if bucket_number == current {
                    scale_to_remaining_time(now_unix_ms, remaining)
                } else {
                    remaining
                };
                if expected_work > 0 {
                    expected.push(ReleasedWork {
                        release_unix_ms: start.max(now_unix_ms),
                        deadline_unix_ms: start + buckets_to_deadline * BUCKET_MS,
                        cpu_millis_ms: expected_work,
                    });
                }
            }
        }
        expected.retain(|work| work.deadline_unix_ms > work.release_unix_ms);
        expected
    }

    fn complete_day(&mut self) {
        for (average, today) in self.average.iter_mut().zip(&mut self.today) {
            let today = std::mem::take(today);
            if self.days_complete == 0 {
                *average = today;
                continue;
            }
            for work in average.values_mut() {
                *work /= 2;
            }
            for (buckets_to_deadline, work) in today {
                *average.entry(buckets_to_deadline).or_default() += work / 2;
            }
            average.retain(|_, work| *work > 0);
        }
        self.days_complete += 1;
    }
}

fn bucket_of(unix_ms: u64) -> usize {
    (unix_ms % DAY_MS / BUCKET_MS) as usize
}

/// Scales `work` by the fraction of the current bucket that remains.
fn scale_to_remaining_time(now_unix_ms: u64, work: u128) -> u128 {
    let remaining_ms = BUCKET_MS - now_unix_ms % BUCKET_MS;
    work * u128::from(remaining_ms) / u128::from(BUCKET_MS)
}
