use super::{types::WorkerSpec, Core, WorkerSummary};
use crate::{JobState, WorkerEvent, WorkerState};
use persimmon_lease::WorkerLeaseBound;
use persimmon_place::{ClaimKey, HealthState, WorkKind, WorkerKey};
use persimmon_types::Size;
use std::{
    collections::{BTreeSet, HashSet},
    time::Instant,
};

/// A worker and what the owner knows of it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: WorkerSpec,
    pub(super) key: WorkerKey,
    pub(super) state: WorkerState,
    pub(super) lease: WorkerLeaseBound,
    pub(super) incarnation: Option<u64>,
    pub(super) in_flight: bool,
    pub(super) next_sync: Instant,
    pub(super) answered_at: Instant,
    /// Jobs whose newest attempt was placed here.
    pub(super) held: BTreeSet<u64>,
    /// Attempts in the newest answer, as (job, attempt).
    pub(super) reported: BTreeSet<(u64, u32)>,
    /// Reported attempts that this owner has no use for: ended ones are dropped, others stopped.
    pub(super) strays: Vec<(u64, u32, bool)>,
    pub(super) runners: Option<ClaimKey>,
}

impl Core {
    /// Takes over the newest list of the shard's workers.
    pub fn set_workers(&mut self, specs: &[WorkerSpec], now: Instant) {
        for spec in specs {
            match self.worker_index.get(&spec.id).copied() {
                Some(position) => self.update_worker(position, spec),
                None => self.add_worker(spec.clone(), now),
            }
        }
        let listed: BTreeSet<&str> = specs.iter().map(|spec| spec.id.as_str()).collect();
        for position in 0..self.workers.len() {
            if !listed.contains(self.workers[position].spec.id.as_str()) {
                self.step_worker(position, WorkerEvent::Vanish);
            }
        }
    }

    /// All workers, in the order in which they were listed.
    pub fn iter_workers(&self) -> impl Iterator<Item = WorkerSummary> + '_ {
        self.workers.iter().map(|worker| WorkerSummary {
            id: worker.spec.id.clone(),
            rack: worker.spec.rack.clone(),
            state: worker.state,
            capacity: worker.spec.capacity,
            claimed: self.ledger.claimed(worker.key),
            tasks: worker.held.len() as u32,
        })
    }

    fn add_worker(&mut self, spec: WorkerSpec, now: Instant) {
        let key = self.ledger.add(spec.capacity);
        self.ledger.set_schedulable(key, false);
        let position = self.workers.len();
        self.worker_index.insert(spec.id.clone(), position);
        let leaving = spec.leaving;
        let runners = spec.runners;
        let id = spec.id.clone();
        let lease = WorkerLeaseBound::new(
            self.options.lease_term,
            self.options.drift,
            self.owned_since,
        );
        self.workers.push(Worker {
            spec,
            key,
            state: self.charts.worker.initial(),
            lease,
            incarnation: None,
            in_flight: false,
            next_sync: now,
            answered_at: now,
            held: BTreeSet::new(),
            reported: BTreeSet::new(),
            strays: Vec::new(),
            runners: None,
        });
        self.set_runners(position, runners);
        let held: Vec<u64> = self
            .jobs
            .iter()
            .filter(|job| job.is_held())
            .filter(|job| job.worker.as_ref().is_some_and(|(worker, _)| *worker == id))
            .map(|job| job.number)
            .collect();
        for number in held {
            self.reclaim(number, position);
        }
        if leaving {
            self.step_worker(position, WorkerEvent::Leave);
        }
    }

    fn update_worker(&mut self, position: usize, spec: &WorkerSpec) {
        let worker = &mut self.workers[position];
        let (key, old) = (
            worker.key,
            std::mem::replace(&mut worker.spec, spec.clone()),
        );
        if old.capacity != spec.capacity {
            self.ledger.set_capacity(key, spec.capacity);
        }
        if old.runners != spec.runners {
            self.set_runners(position, spec.runners);
        }
        let event = if spec.leaving {
            WorkerEvent::Leave
        } else {
            WorkerEvent::Return
        };
        self.step_worker(position, event);
        if spec.leaving {
            self.evict_all(position);
        }
    }

    fn set_runners(&mut self, position: usize, size: Size) {
        if let Some(claim) = self.workers[position].runners.take() {
            // The key is this worker's own and was not released before.
            let _ = self.ledger.release(claim);
        }
        if size != Size::ZERO {
            let key = self.workers[position].key;
            self.workers[position].runners =
                Some(self.ledger.restore(key, WorkKind::LatencyCritical, size));
        }
    }

    /// Asks for every task of a worker to be stopped with a checkpoint.
    fn evict_all(&mut self, position: usize) {
        let held = self.workers[position].held.iter().copied();
        let placed = |number: &u64| {
            self.jobs
                .try_find(*number)
                .is_some_and(|job| job.state == JobState::Placed)
        };
        self.evict_wanted.extend(held.filter(placed));
    }

    /// Takes an arrow of the worker chart if there is one, and opens or closes the ledger.
    pub(super) fn step_worker(&mut self, position: usize, event: WorkerEvent) {
        let worker = &mut self.workers[position];
        if let Some(state) = self.charts.worker.try_step(worker.state, event) {
            worker.state = state;
            let open = state == WorkerState::Live;
            self.ledger.set_schedulable(worker.key, open);
        }
    }

    pub(super) fn find_worker(&self, id: &str) -> Option<usize> {
        self.worker_index.get(id).copied()
    }

    /// Workers that may not be given a task at `now`, although they answer.
    pub(super) fn suspects(&self, now: Instant) -> HashSet<WorkerKey> {
        let admits = |worker: &Worker| match self.health.state(worker.key, now) {
            HealthState::Healthy => true,
            HealthState::Quarantined => false,
            HealthState::Probation => worker.held.is_empty(),
        };
        let suspects = self.workers.iter().filter(|worker| !admits(worker));
        suspects.map(|worker| worker.key).collect()
    }
}
