//! Gangs: their members work only together, from the moment when all of a run are present.

use super::{Simulation, FAULTS_MS, RUNS_AGAIN_MS};
use crate::support::{job, step};
use persimmon_sched::{EndKind, JobId, StepSpec, TaskId};
use rand::Rng;
use std::collections::BTreeMap;

/// Lowest id of a job with a gang.
const FIRST_JOB: u64 = 200;
const MEMBERS: u16 = 2;
/// Time for which a member waits for the others.
const ALONE_MS: u64 = 3_000;
const SUBMIT_INTERVAL_MS: u64 = 12_000;

/// Returns the other members of a gang's member; none for any other task.
pub(super) fn other_members(id: TaskId) -> impl Iterator<Item = TaskId> {
    let indexes = 0..if is_member(id) { MEMBERS } else { 0 };
    let others = indexes.filter(move |&index| index != id.index);
    others.map(move |index| TaskId { index, ..id })
}

pub(super) fn is_member(id: TaskId) -> bool {
    id.job.number >= FIRST_JOB
}

impl Simulation {
    /// Submits a gang from time to time, also while there are no faults.
    pub(super) fn submit_gangs(&mut self) {
        if self.now_ms % SUBMIT_INTERVAL_MS != 0 || self.now_ms > FAULTS_MS + RUNS_AGAIN_MS {
            return;
        }
        let number = self.now_ms / SUBMIT_INTERVAL_MS;
        let gang = StepSpec {
            gang: true,
            checkpointing: number % 2 == 0,
            per_runner_max: self.rng.random_range(0..2),
            ..step(u32::from(MEMBERS))
        };
        self.submit_job(job(FIRST_JOB + number, vec![gang]));
    }

    /// Lets complete gangs work, and ends the members that can't.
    pub(super) fn settle_gangs(&mut self) {
        let mut runs: BTreeMap<(JobId, u32), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for (&id, it) in worker.running.iter().filter(|(&id, _)| is_member(id)) {
                runs.entry((id.job, it.run)).or_default().push((at, id));
            }
        }
        for ((job, run), members) in runs {
            if members.len() == usize::from(MEMBERS) {
                if self.complete_gangs.insert((job, run)) {
                    self.begin_gang(&members);
                }
            } else {
                self.end_incomplete_gang((job, run), &members);
            }
        }
    }

    fn begin_gang(&mut self, members: &[(usize, TaskId)]) {
        let until_ms = self.now_ms + self.rng.random_range(100..3_000);
        for (at, id) in members {
            if let Some(it) = self.workers[*at].running.get_mut(id) {
                it.until_ms = until_ms;
            }
        }
    }

    /// Ends members whose gang has lost another one, or that have waited too long for it.
    fn end_incomplete_gang(&mut self, gang: (JobId, u32), members: &[(usize, TaskId)]) {
        let is_broken = self.complete_gangs.contains(&gang);
        for &(at, id) in members {
            let started_ms = self.workers[at].running[&id].started_ms;
            let is_alone = !is_broken && self.now_ms >= started_ms + ALONE_MS;
            assert!(
                !is_alone || self.faults_enabled || started_ms < self.calm_since_ms + RUNS_AGAIN_MS,
                "{id} waits alone at {} ms",
                self.now_ms
            );
            if is_broken || is_alone {
                self.workers[at].end(id, gang.1, EndKind::Cut);
            }
        }
    }

    /// Takes an acknowledged end as that of the whole gang.
    pub(super) fn note_done(&mut self, id: TaskId) {
        self.done.insert(id);
        self.done.extend(other_members(id));
    }
}
