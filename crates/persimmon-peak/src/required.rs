/// Work that is left to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The processors that it takes while it runs.
    pub cpu_millis: u64,
    /// How long it still runs, in the mean.
    pub run_ms: u64,
    /// How long before its deadline it must have been started to be surely in time; 0 when it has
    /// been.
    pub safe_ms: u64,
    /// When it must be done.
    pub deadline_unix_ms: u64,
}

/// The least level of processors, held from now on, that can meet all deadlines.
///
/// The critical-interval bound: for each deadline, the work due by then over the time until then,
/// and the widest task. No schedule can do with less; one of rigid tasks may need more.
pub fn required_cpu_millis(now_unix_ms: u64, work: &[Work]) -> u64 {
    let mut by_deadline: Vec<&Work> = work.iter().collect();
    by_deadline.sort_unstable_by_key(|work| work.deadline_unix_ms);
    let mut due: u128 = 0;
    // A task is rigid: while it runs it takes all its processors.
    let mut level: u128 = work
        .iter()
        .map(|it| u128::from(it.cpu_millis))
        .max()
        .unwrap_or(0);
    for work in by_deadline {
        due += u128::from(work.cpu_millis) * u128::from(work.run_ms);
        let left_ms = work.deadline_unix_ms.saturating_sub(now_unix_ms).max(1);
        level = level.max(due.div_ceil(u128::from(left_ms)));
    }
    u64::try_from(level).unwrap_or(u64::MAX)
}
