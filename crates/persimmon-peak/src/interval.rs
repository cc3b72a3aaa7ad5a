/// Work that can't begin before its release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleasedWork {
    /// When it is there.
    pub release_unix_ms: u64,
    /// When it must be done.
    pub deadline_unix_ms: u64,
    /// Processor time: thousandths of a core times milliseconds.
    pub cpu_millis_ms: u128,
}

/// The least level of processors that can do all `work` in time, were it divisible at will.
///
/// The critical-interval bound: for every interval, the work that lies within it over its length.
/// With `r` releases and `d` deadlines it takes `r · d` steps, so callers round both to buckets.
pub fn critical_interval_cpu_millis(work: &[ReleasedWork]) -> u64 {
    let mut by_release: Vec<&ReleasedWork> = work.iter().collect();
    by_release.sort_unstable_by_key(|work| std::cmp::Reverse(work.release_unix_ms));
    let mut deadlines: Vec<u64> = work.iter().map(|work| work.deadline_unix_ms).collect();
    deadlines.sort_unstable();
    deadlines.dedup();
    // The work with each deadline among those released at or after the interval's begin.
    let mut due: Vec<u128> = vec![0; deadlines.len()];
    let mut level: u128 = 0;
    let mut rest = by_release.as_slice();
    while let Some(first) = rest.first() {
        let begin = first.release_unix_ms;
        let same = rest
            .iter()
            .take_while(|work| work.release_unix_ms == begin)
            .count();
        let (now, later) = rest.split_at(same);
        for work in now {
            let at = deadlines.partition_point(|deadline| *deadline < work.deadline_unix_ms);
            due[at] += work.cpu_millis_ms;
        }
        let mut sum: u128 = 0;
        for (deadline, due) in deadlines.iter().zip(&due) {
            sum += due;
            let length = deadline.saturating_sub(begin).max(1);
            level = level.max(sum.div_ceil(u128::from(length)));
        }
        rest = later;
    }
    u64::try_from(level).unwrap_or(u64::MAX)
}
