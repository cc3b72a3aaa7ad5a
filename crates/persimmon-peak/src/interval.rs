/// Work that can't start before its release time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasedWork {
    /// The release time.
    pub release_unix_ms: u64,
    /// The deadline.
    pub deadline_unix_ms: u64,
    /// The processor time, in thousandths of a core times milliseconds.
    pub cpu_millis_ms: u128,
}

/// Returns the lowest processor level that meets all deadlines if work is arbitrarily divisible.
///
/// This is the critical-interval bound: the maximum over all intervals of the work that is released
/// and due within the interval, divided by the interval's length. It takes `r · d` steps for `r`
/// release times and `d` deadlines, so callers should round both to buckets.
pub fn critical_interval_cpu_millis(work: &[ReleasedWork]) -> u64 {
    let mut by_release: Vec<&ReleasedWork> = work.iter().collect();
    by_release.sort_unstable_by_key(|work| std::cmp::Reverse(work.release_unix_ms));
    let mut deadlines: Vec<u64> = work.iter().map(|work| work.deadline_unix_ms).collect();
    deadlines.sort_unstable();
    deadlines.dedup();
    // For each deadline, the work that is released at or after the start of the interval.
    let mut due: Vec<u128> = vec![0; deadlines.len()];
    let mut level: u128 = 0;
    let mut remaining = by_release.as_slice();
    while let Some(first) = remaining.first() {
        let start = first.release_unix_ms;
        let same_release = remaining
            .iter()
            .take_while(|work| work.release_unix_ms == start)
            .count();
        let (current, later) = remaining.split_at(same_release);
        for work in current {
            let index = deadlines.partition_point(|deadline| *deadline < work.deadline_unix_ms);
            due[index] += work.cpu_millis_ms;
        }
        let mut due_by_deadline: u128 = 0;
        for (deadline, due) in deadlines.iter().zip(&due) {
            due_by_deadline += due;
            let length = deadline.saturating_sub(start).max(1);
            level = level.max(due_by_deadline.div_ceil(u128::from(length)));
        }
        remaining = later;
    }
    u64::try_from(level).unwrap_or(u64::MAX)
}
