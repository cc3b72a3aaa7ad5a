use crate::Work;
use std::{cmp::Reverse, collections::BinaryHeap};

/// Returns whether all tasks can start by their latest start times at `level_cpu_millis`.
///
/// Tasks are indivisible, so this simulates a schedule in order of the latest start, in which each
/// task takes its expected run time. No task overtakes another, since narrow tasks would starve
/// wide ones. Running tasks (`upper_bound_ms` of 0) continue from the start.
pub fn is_feasible(now_unix_ms: u64, work: &[Work], level_cpu_millis: u64) -> bool {
    let (running, mut waiting): (Vec<&Work>, Vec<&Work>) =
        work.iter().partition(|work| work.upper_bound_ms == 0);
    waiting.sort_unstable_by_key(|work| Reverse(latest_start_unix_ms(work)));
    let mut ends: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut used: u64 = 0;
    for work in running {
        used += work.cpu_millis;
        ends.push(Reverse((now_unix_ms + work.run_ms, work.cpu_millis)));
    }
    let mut now = now_unix_ms;
    // The task with the earliest latest start is last in the list.
    while let Some(first) = waiting.last() {
        if latest_start_unix_ms(first) < now {
            return false;
        }
        if used + first.cpu_millis <= level_cpu_millis {
            used += first.cpu_millis;
            ends.push(Reverse((now + first.run_ms.max(1), first.cpu_millis)));
            waiting.pop();
            continue;
        }
        let Some(Reverse((end, cpu_millis))) = ends.pop() else {
            return false;
        };
        now = now.max(end);
        used -= cpu_millis;
    }
    true
}

fn latest_start_unix_ms(work: &Work) -> u64 {
    work.deadline_unix_ms.saturating_sub(work.upper_bound_ms)
}
