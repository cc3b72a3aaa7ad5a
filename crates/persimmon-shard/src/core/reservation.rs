//! A worker is kept free for a job that has waited for room too long, since others that fit sooner
//! would take any room that it needs.

use super::{placement::Pass, Core};
use crate::{Job, JobState, WorkerState};
use persimmon_place::{HealthState, WorkKind, WorkerKey};
use persimmon_types::Size;
use std::collections::{BTreeSet, HashSet};

/// How long a job that must start waits for room before a worker is kept free for it.
const RESERVATION_DELAY_MS: u64 = 10_000;
/// How much longer than expected a reserved worker may take to have room before another one is
/// chosen.
const OVERDUE_FACTOR: u64 = 2;

/// The worker that is kept free for a job; only the job is placed there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    pub(super) number: u64,
    pub(super) worker: WorkerKey,
    until_unix_ms: u64,
}

impl Core {
    /// Drops the reservation if its job no longer waits, or its worker can't serve it.
    pub(super) fn check_reservation(&mut self, pass: &Pass) {
        let Some(reservation) = self.reservation else {
            return;
        };
        let job = self.jobs.try_find(reservation.number);
        let waits = job.is_some_and(|job| {
            job.state == JobState::Queued
                && self.quota_admits(job, Size::ZERO)
                && self.can_hold(reservation.worker, job, pass)
        });
        let expired = reservation.until_unix_ms <= pass.now_unix_ms;
        if waits && expired {
            let tried = self
                .expired_reservations
                .entry(reservation.number)
                .or_default();
            tried.insert(reservation.worker);
        }
        if !waits || expired {
            self.reservation = None;
        }
    }

    /// Reserves a worker for the job that had to start longest ago among those `without_room` that
    /// some worker can hold, unless one is reserved. Jobs whose reservations have expired come last.
    pub(super) fn reserve_worker(&mut self, without_room: &[u64], pass: &Pass) {
        if self.reservation.is_some() {
            return;
        }
        let waiting = without_room
            .iter()
            .filter_map(|number| self.jobs.try_find(*number));
        let mut starved: Vec<(u64, &Job)> = waiting
            .filter(|job| job.state == JobState::Queued)
            .map(|job| (self.must_start_since_unix_ms(job), job))
            .filter(|(since_unix_ms, _)| since_unix_ms + RESERVATION_DELAY_MS <= pass.now_unix_ms)
            .filter(|(_, job)| self.quota_admits(job, Size::ZERO))
            .collect();
        starved.sort_unstable_by_key(|(since_unix_ms, job)| {
            let tried = self.expired_reservations.get(&job.number);
            (tried.map_or(0, BTreeSet::len), *since_unix_ms, job.number)
        });
        let mut tried_sizes: HashSet<Size> = HashSet::new();
        self.reservation = starved
            .into_iter()
            .filter(|(_, job)| tried_sizes.insert(job.size))
            .find_map(|(_, job)| self.reservation_for(job, pass));
        let Some(reservation) = self.reservation else {
            return;
        };
        let tried = self.expired_reservations.get(&reservation.number);
        if tried.is_some_and(|tried| tried.contains(&reservation.worker)) {
            // All suitable workers have been tried.
            self.expired_reservations.remove(&reservation.number);
        }
    }

    /// Returns a reservation of the worker that should be drained first, of those not tried yet if
    /// there are any: a worker may be in use by others than its tasks.
    fn reservation_for(&self, job: &Job, pass: &Pass) -> Option<Reservation> {
        let tried = self.expired_reservations.get(&job.number);
        let suitable = (0..self.workers.len())
            .filter(|index| self.can_hold(self.workers[*index].key, job, pass))
            .map(|index| {
                let is_tried = tried.is_some_and(|tried| tried.contains(&self.workers[index].key));
                (is_tried, self.drained_in_ms(index, pass.now_unix_ms), index)
            });
        let (_, drained_in_ms, index) = suitable.min()?;
        let longest_ms = OVERDUE_FACTOR * drained_in_ms + RESERVATION_DELAY_MS;
        Some(Reservation {
            number: job.number,
            worker: self.workers[index].key,
            until_unix_ms: pass.now_unix_ms + longest_ms,
        })
    }

    /// Returns whether the worker may be given the job once its batch tasks have ended. One on
    /// probation is given tasks in another order.
    fn can_hold(&self, key: WorkerKey, job: &Job, pass: &Pass) -> bool {
        self.health.state(key, pass.now) == HealthState::Healthy && self.is_large_enough(key, job)
    }

    /// Returns whether the job would fit on the worker without any batch task.
    pub(super) fn is_large_enough(&self, key: WorkerKey, job: &Job) -> bool {
        let worker = &self.workers[key.index()];
        let beside_runners = worker.spec.capacity.saturating_sub(worker.spec.runners);
        let limit = self.ledger.share_limit(key, WorkKind::Batch);
        worker.state == WorkerState::Live && job.size.fits(limit.min(beside_runners))
    }

    /// Returns the time in which all tasks of a worker should have ended. An overdue task is
    /// expected to run as long again as it has run.
    fn drained_in_ms(&self, index: usize, now_unix_ms: u64) -> u64 {
        let held = self.workers[index].held_jobs.iter();
        let remaining_ms = held
            .filter_map(|number| self.jobs.try_find(*number))
            .map(|job| {
                let ran_ms = now_unix_ms.saturating_sub(job.placed_unix_ms);
                match self.expected_run_time_ms(job).saturating_sub(ran_ms) {
                    0 => ran_ms,
                    left_ms => left_ms,
                }
            });
        remaining_ms.max().unwrap_or(0)
    }
}
