use super::{types::WorkerSpec, Core, WorkerSummary};
use crate::{JobState, WorkerEvent, WorkerState};
use persimmon_lease::WorkerLeaseBound;
use persimmon_place::{ClaimKey, HealthState, WorkKind, WorkerKey};
use persimmon_types::Size;
use std::{
    collections::{BTreeSet, HashSet},
    time::Instant,
};

/// A worker and the owner's state for it.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: WorkerSpec,
    pub(super) key: WorkerKey,
    pub(super) state: WorkerState,
    pub(super) lease: WorkerLeaseBound,
    pub(super) incarnation: Option<u64>,
    pub(super) in_flight: bool,
    pub(super) next_sync_at: Instant,
    pub(super) answered_at: Instant,
    /// Jobs whose latest attempt is placed on this worker.
    pub(super) held_jobs: BTreeSet<u64>,
    /// The attempts in the latest answer, as (job, attempt).
    pub(super) reported_attempts: BTreeSet<(u64, u32)>,
    /// Reported attempts that are no longer needed, as (job, attempt, running): running ones are
    /// stopped, reports of the others are dropped.
    pub(super) unneeded_attempts: Vec<(u64, u32, bool)>,
    pub(super) runners: Option<ClaimKey>,
}

impl Core {
    /// Updates the workers of the shard from the latest list.
    pub fn set_workers(&mut self, specs: &[WorkerSpec], now: Instant) {
        for spec in specs {
            match self.worker_index.get(&spec.id).copied() {
                Some(index) => self.update_worker(index, spec),
                None => self.add_worker(spec.clone(), now),
            }
        }
        let listed: BTreeSet<&str> = specs.iter().map(|spec| spec.id.as_str()).collect();
        for index in 0..self.workers.len() {
            if !listed.contains(self.workers[index].spec.id.as_str()) {
                self.apply_worker_event(index, WorkerEvent::Vanish);
            }
        }
    }

    /// Iterates over all workers, in the order in which they were first listed.
    pub fn iter_workers(&self) -> impl Iterator<Item = WorkerSummary> + '_ {
        self.workers.iter().map(|worker| WorkerSummary {
            id: worker.spec.id.clone(),
            rack: worker.spec.rack.clone(),
            state: worker.state,
            capacity: worker.spec.capacity,
            claimed: self.ledger.claimed(worker.key),
            tasks: worker.held_jobs.len() as u32,
        })
    }

    fn add_worker(&mut self, spec: WorkerSpec, now: Instant) {
        let key = self.ledger.add(spec.capacity);
        self.ledger.set_schedulable(key, false);
        let index = self.workers.len();
        self.worker_index.insert(spec.id.clone(), index);
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
            next_sync_at: now,
            answered_at: now,
            held_jobs: BTreeSet::new(),
            reported_attempts: BTreeSet::new(),
            unneeded_attempts: Vec::new(),
            runners: None,
        });
        self.set_runners(index, runners);
        let held: Vec<u64> = self
            .jobs
            .iter()
            .filter(|job| job.is_held())
            .filter(|job| job.worker.as_ref().is_some_and(|(worker, _)| *worker == id))
            .map(|job| job.number)
            .collect();
        for number in held {
            self.restore_claim(number, index);
        }
        if leaving {
            self.apply_worker_event(index, WorkerEvent::Leave);
            self.request_eviction_of_all(index);
        }
    }

    fn update_worker(&mut self, index: usize, spec: &WorkerSpec) {
        let worker = &mut self.workers[index];
        let (key, old) = (
            worker.key,
            std::mem::replace(&mut worker.spec, spec.clone()),
        );
        if old.capacity != spec.capacity {
            self.ledger.set_capacity(key, spec.capacity);
        }
        if old.runners != spec.runners {
            self.set_runners(index, spec.runners);
        }
        let event = if spec.leaving {
            WorkerEvent::Leave
        } else {
            WorkerEvent::Return
        };
        self.apply_worker_event(index, event);
        if spec.leaving {
            self.request_eviction_of_all(index);
        }
    }

    fn set_runners(&mut self, index: usize, size: Size) {
        if let Some(claim) = self.workers[index].runners.take() {
            // Releasing can't fail, since the claim belongs to this worker and is released once.
            let _ = self.ledger.release(claim);
        }
        if size != Size::ZERO {
            let key = self.workers[index].key;
            self.workers[index].runners =
                Some(self.ledger.restore(key, WorkKind::LatencyCritical, size));
        }
    }

    /// Requests that every task of a worker be stopped with a checkpoint.
    fn request_eviction_of_all(&mut self, index: usize) {
        let held = self.workers[index].held_jobs.iter().copied();
        let placed = |number: &u64| {
            self.jobs
                .try_find(*number)
                .is_some_and(|job| job.state == JobState::Placed)
        };
        self.eviction_requests.extend(held.filter(placed));
    }

    /// Applies an event to a worker, if its chart has a transition, and updates whether the worker
    /// is schedulable.
    pub(super) fn apply_worker_event(&mut self, index: usize, event: WorkerEvent) {
        let worker = &mut self.workers[index];
        if let Some(state) = self.charts.worker.try_step(worker.state, event) {
            worker.state = state;
            let schedulable = state == WorkerState::Live;
            self.ledger.set_schedulable(worker.key, schedulable);
        }
    }

    pub(super) fn worker_index_of(&self, id: &str) -> Option<usize> {
        self.worker_index.get(id).copied()
    }

    /// Shortens the quarantines while no live worker is healthy.
    pub(super) fn shorten_quarantines_without_healthy_workers(&mut self, now: Instant) {
        let mut live = self
            .workers
            .iter()
            .filter(|worker| worker.state == WorkerState::Live);
        if live.any(|worker| self.health.state(worker.key, now) == HealthState::Healthy) {
            return;
        }
        for worker in &self.workers {
            self.health.shorten_quarantine(worker.key);
        }
    }

    /// Returns the workers that must not be given a task at `now` because of failures.
    pub(super) fn excluded_workers(&self, now: Instant) -> HashSet<WorkerKey> {
        self.workers_where(|worker| match self.health.state(worker.key, now) {
            HealthState::Healthy => false,
            HealthState::Quarantined => true,
            HealthState::Probation => !worker.held_jobs.is_empty(),
        })
    }

    /// Returns the workers that may be given one task at `now`, to see whether it fails.
    pub(super) fn probation_workers(&self, now: Instant) -> HashSet<WorkerKey> {
        self.workers_where(|worker| {
            worker.held_jobs.is_empty()
                && worker.state == WorkerState::Live
                && self.health.state(worker.key, now) == HealthState::Probation
        })
    }

    fn workers_where(&self, condition: impl Fn(&Worker) -> bool) -> HashSet<WorkerKey> {
        let matching = self.workers.iter().filter(|worker| condition(worker));
        matching.map(|worker| worker.key).collect()
    }
}
