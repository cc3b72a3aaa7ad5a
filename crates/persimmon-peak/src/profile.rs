use crate::ReleasedWork;
use std::collections::BTreeMap;

/// A day, in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// The length of a bucket of the day.
const BUCKET_MS: u64 = 15 * 60_000;
const BUCKETS: usize = (DAY_MS / BUCKET_MS) as usize;

/// The work that came in on earlier days, by the time of its coming and of its deadline.
///
/// What came most recently counts most: each day closed halves the weight of those before. With no
/// day closed it expects nothing.
#[derive(Debug, Clone)]
pub struct Profile {
    /// For each bucket of the day, work by the buckets from its coming to its deadline.
    usual: Vec<BTreeMap<u64, u128>>,
    today: Vec<BTreeMap<u64, u128>>,
    day: Option<u64>,
    days_seen: u32,
}

impl Default for Profile {
    fn default() -> Self {
        let empty = vec![BTreeMap::new(); BUCKETS];
        Self {
            usual: empty.clone(),
            today: empty,
            day: None,
            days_seen: 0,
        }
    }
}

impl Profile {
    /// Notes work that came in at `now_unix_ms`.
    pub fn observe(&mut self, now_unix_ms: u64, deadline_unix_ms: u64, cpu_millis_ms: u128) {
        self.advance_day(now_unix_ms);
        let lead = deadline_unix_ms.saturating_sub(now_unix_ms) / BUCKET_MS;
        let bucket = &mut self.today[bucket_of(now_unix_ms)];
        *bucket.entry(lead).or_default() += cpu_millis_ms;
    }

    /// Closes the days before `now_unix_ms`.
    pub fn advance_day(&mut self, now_unix_ms: u64) {
        let day = now_unix_ms / DAY_MS;
        if self.day.is_some_and(|open| open < day) {
            self.close();
        }
        self.day = Some(day);
    }

    /// The work expected to come within a day from `now_unix_ms`, without what came already.
    pub fn forecast(&self, now_unix_ms: u64) -> Vec<ReleasedWork> {
        let mut expected = Vec::new();
        if self.days_seen == 0 {
            return expected;
        }
        let first = now_unix_ms / BUCKET_MS;
        for number in first..first + BUCKETS as u64 {
            let (begin, bucket) = (number * BUCKET_MS, (number % BUCKETS as u64) as usize);
            for (lead, usual) in &self.usual[bucket] {
                // Of the open bucket only the rest is still to come.
                let came = if number == first {
                    self.today[bucket].get(lead)
                } else {
                    None
                };
                let left = usual.saturating_sub(came.copied().unwrap_or(0));
                let open = if number == first {
                    part_left(now_unix_ms, left)
                } else {
                    left
                };
                if open > 0 {
                    expected.push(ReleasedWork {
                        release_unix_ms: begin.max(now_unix_ms),
                        deadline_unix_ms: begin + lead * BUCKET_MS,
                        cpu_millis_ms: open,
                    });
                }
            }
        }
        expected.retain(|work| work.deadline_unix_ms > work.release_unix_ms);
        expected
    }

    fn close(&mut self) {
        for (usual, today) in self.usual.iter_mut().zip(&mut self.today) {
            let today = std::mem::take(today);
            if self.days_seen == 0 {
                *usual = today;
                continue;
            }
            for work in usual.values_mut() {
                *work /= 2;
            }
            for (lead, work) in today {
                *usual.entry(lead).or_default() += work / 2;
            }
            usual.retain(|_, work| *work > 0);
        }
        self.days_seen += 1;
    }
}

fn bucket_of(unix_ms: u64) -> usize {
    (unix_ms % DAY_MS / BUCKET_MS) as usize
}

/// The part of the open bucket's `work` that its remaining time stands for.
fn part_left(now_unix_ms: u64, work: u128) -> u128 {
    let left_ms = BUCKET_MS - now_unix_ms % BUCKET_MS;
    work * u128::from(left_ms) / u128::from(BUCKET_MS)
}
