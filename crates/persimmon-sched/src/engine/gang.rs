//! Gangs, whose tasks are placed together or not at all.

use super::{
    place::{could_take, Placement, Siblings},
    work::Work,
    Engine, State,
};
use crate::{fleet::RunnerKey, TaskId};
use persimmon_types::Size;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
    time::Instant,
};

/// Largest gang of which each member is compared with all runners. Those of a larger one are taken to
/// be alike, though some may have failed.
const COMPARED_MEMBERS_MAX: usize = 64;

impl Engine {
    /// Places all tasks of a gang or none. They share the run number and the checkpoint.
    pub(super) fn place_gang(
        &mut self,
        id: TaskId,
        placement: &Placement,
        work: &mut Work,
        now: Instant,
    ) -> bool {
        let job = &self.jobs[&id.job];
        let tasks = &job.tasks[id.occurrence as usize][usize::from(id.step)].tasks;
        work.spend_on_entries(tasks.len());
        let waiting = |state| matches!(state, State::Waiting { .. });
        if !tasks.iter().all(|task| waiting(task.state())) {
            return false;
        }
        let run = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let failures = tasks.iter().map(|task| task.failures).max().unwrap_or(0);
        let checkpoint = tasks.iter().map(|task| task.checkpoint.clone()).max();
        let checkpoint = checkpoint.unwrap_or_default();
        let indexes = 0..tasks.len() as u16;
        let members: Vec<_> = indexes.map(|index| TaskId { index, ..id }).collect();
        let Some(runners) = self.claim_for_gang(&members, run, placement, work, now) else {
            return false;
        };
        for (member, key) in members.into_iter().zip(runners) {
            if let Some(task) = self.task_mut(member) {
                task.checkpoint.clone_from(&checkpoint);
                task.failures = failures;
            }
            self.assign(member, key, run, placement.claim);
        }
        true
    }

    /// Chooses a runner for each member of a gang and claims it; `None`, without claims, if a member
    /// fits on none.
    fn claim_for_gang(
        &mut self,
        members: &[TaskId],
        run: u32,
        placement: &Placement,
        work: &mut Work,
        now: Instant,
    ) -> Option<Vec<RunnerKey>> {
        work.spend(self.runners.len());
        if !self.has_room_for(members, placement.claim.size) {
            return None;
        }
        let runners = self.claim_each(members, run, placement, work, now);
        if runners.len() == members.len() {
            return Some(runners);
        }
        for (&member, key) in members.iter().zip(runners) {
            self.runner_mut(key).release(member, run);
        }
        None
    }

    /// Returns whether the runners that could take the members have as much room in all, so that a
    /// gang that fits nowhere takes no time.
    fn has_room_for(&self, members: &[TaskId], size: Size) -> bool {
        let Some((job, step)) = members
            .first()
            .and_then(|id| self.jobs.get(&id.job).zip(self.step_of(*id)))
        else {
            return false;
        };
        let per_runner_max = match step.per_runner_max {
            0 => u32::MAX,
            max => max,
        };
        let open = self.runners.iter().filter(|it| !it.is_evacuated);
        let able = open.filter(|it| could_take(job, step, it));
        let room = able.map(|it| size.count_in(it.free_capacity()).min(per_runner_max));
        room.map(u64::from).sum::<u64>() >= members.len() as u64
    }

    /// Claims a runner for each member while they fit. The runners are compared for each of them; for
    /// those of a large gang once, and again once their rack is known.
    fn claim_each(
        &mut self,
        members: &[TaskId],
        run: u32,
        placement: &Placement,
        work: &mut Work,
        now: Instant,
    ) -> Vec<RunnerKey> {
        let is_large = members.len() > COMPARED_MEMBERS_MAX;
        let mut siblings = Siblings::new();
        let mut runners = Vec::with_capacity(members.len());
        // The best last.
        let mut ranked = BinaryHeap::new();
        for (at, &member) in members.iter().enumerate() {
            if at <= 1 || !is_large {
                ranked.clear();
                self.compare_runners(
                    &siblings,
                    member,
                    placement,
                    work,
                    now,
                    |trust, score, key| {
                        ranked.push((trust, score, Reverse(key)));
                    },
                );
            }
            let Some((_, _, Reverse(key))) = ranked.pop() else {
                break;
            };
            self.runner_mut(key).claim(member, run, placement.claim);
            let count = siblings.entry(key).or_default();
            *count += 1;
            runners.push(key);
            if is_large {
                work.spend(1);
                let rank = self.rank_runner(key, *count, members[0], placement, now);
                ranked.extend(rank.map(|(trust, score)| (trust, score, Reverse(key))));
            }
        }
        runners
    }

    /// Stops the members of a gang that are placed in a run which another member has left: an
    /// earlier owner may have ended before it stopped them.
    pub(super) fn stop_incomplete_gangs(&mut self, id: crate::JobId, now: Instant) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut to_stop = Vec::new();
        for (occurrence, steps) in job.tasks.iter().enumerate() {
            let steps = steps.iter().zip(&job.spec.steps).enumerate();
            for (step, (state, _)) in steps.filter(|(_, (_, spec))| spec.gang) {
                let waiting = state.tasks.iter().filter(|task| task.is_waiting());
                let left_runs: HashSet<_> = waiting.map(|task| task.run).collect();
                let members = state.tasks.iter().enumerate();
                let members =
                    members.filter(|(_, task)| !task.is_waiting() && left_runs.contains(&task.run));
                to_stop.extend(members.map(|(index, _)| TaskId {
                    job: id,
                    occurrence: occurrence as u32,
                    step: step as u16,
                    index: index as u16,
                }));
            }
        }
        for member in to_stop {
            self.release_or_stop(member, now);
        }
    }
}
