use super::{Core, Demand, WaitReason};
use crate::{Entry, Job, JobEvent, JobState, Step, WorkerState};
use persimmon_peak::Work;
use persimmon_place::{place, HealthState, WorkKind, WorkerKey};
use persimmon_types::Size;
use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

/// The state of one call of [`Core::place_queued()`].
pub(super) struct Pass {
    pub(super) now: Instant,
    pub(super) now_unix_ms: u64,
    claimed_cpu_millis: u64,
    /// The workers that must not be given another task.
    excluded: HashSet<WorkerKey>,
    sizes_without_room: HashSet<Size>,
    over_budget: bool,
    /// For each team, the job that must start and waits, and the part of the quota kept for it.
    quota_kept: HashMap<String, (u64, Size)>,
}

impl Core {
    /// Places queued jobs on workers in queue order and returns the number of jobs placed.
    pub fn place_queued(&mut self, now: Instant, now_unix_ms: u64) -> usize {
        self.shorten_quarantines_without_healthy_workers(now);
        let probation = self.probation_workers(now);
        let mut excluded = self.excluded_workers(now);
        excluded.extend(&probation);
        let mut pass = Pass {
            now,
            now_unix_ms,
            claimed_cpu_millis: self.batch_claimed_cpu_millis(),
            excluded,
            sizes_without_room: HashSet::new(),
            over_budget: false,
            quota_kept: HashMap::new(),
        };
        self.check_reservation(&pass);
        let reserved = self.reservation.map(|reservation| reservation.worker);
        pass.excluded.extend(reserved);
        let candidates: Vec<u64> = self.queue.iter().map(|key| key.number).collect();
        let mut without_room = Vec::new();
        let mut placed = 0;
        for number in candidates {
            match self.try_place(number, &mut pass) {
                Ok(()) => placed += 1,
                Err(reason) => {
                    if reason == WaitReason::NoRoom {
                        without_room.push(number);
                    }
                    self.keep_quota(number, &mut pass);
                    self.wait_reasons.insert(number, reason);
                }
            }
        }
        placed += self.place_on_probation(&without_room, &probation, &mut pass);
        self.reserve_worker(&without_room, &pass);
        placed
    }

    /// Tries workers on probation with jobs for which there is no other room: first those of classes
    /// that have not failed, then those whose failure is longest ago, so that jobs that fail
    /// everywhere can't keep the workers in quarantine for all others.
    fn place_on_probation(
        &mut self,
        without_room: &[u64],
        probation: &HashSet<WorkerKey>,
        pass: &mut Pass,
    ) -> usize {
        if probation.is_empty() {
            return 0;
        }
        pass.excluded.retain(|key| !probation.contains(key));
        pass.sizes_without_room.clear();
        let mut waiting = without_room.to_vec();
        waiting.sort_by_key(|number| {
            let job = self.jobs.try_find(*number);
            job.map(|job| self.failures.order(job))
        });
        let mut placed = 0;
        for number in waiting {
            if probation.is_subset(&pass.excluded) {
                break;
            }
            placed += usize::from(self.try_place(number, pass).is_ok());
        }
        placed
    }

    /// Recomputes the processors required to meet all deadlines, which [`Core::demand()`] returns.
    pub fn plan(&mut self, now_unix_ms: u64) {
        self.profile.advance_day(now_unix_ms);
        let open = self
            .jobs
            .iter()
            .filter(|job| !job.is_ended() && job.state != JobState::Unknown);
        let work: Vec<Work> = open
            .map(|job| self.remaining_work(job, now_unix_ms))
            .collect();
        self.required_cpu_millis = self.planner.required(now_unix_ms, &work, &self.profile);
    }

    /// Returns the current claims of batch tasks and the requirement of the latest
    /// [`Core::plan()`].
    pub fn demand(&self) -> Demand {
        let queued = self
            .queue
            .iter()
            .filter_map(|key| self.jobs.try_find(key.number));
        Demand {
            claimed_cpu_millis: self.batch_claimed_cpu_millis(),
            required_cpu_millis: self.required_cpu_millis,
            queued_cpu_millis: queued.map(|job| u64::from(job.size.cpu_millis)).sum(),
            capacity_cpu_millis: self
                .batch_share_limits()
                .map(|share| u64::from(share.cpu_millis))
                .sum(),
            largest: self.batch_share_limits().fold(Size::ZERO, Size::max),
        }
    }

    /// Records the run time of a completed attempt, unless it was resumed from a checkpoint.
    pub(super) fn record_run_time(&mut self, number: u64, now_unix_ms: u64) {
        let Some(job) = self
            .jobs
            .try_find(number)
            .filter(|job| job.checkpoint.is_none())
        else {
            return;
        };
        let ran_ms = now_unix_ms.saturating_sub(job.placed_unix_ms);
        self.run_time_estimator
            .observe(&job.class, job.run_time.as_millis() as u64, ran_ms);
    }

    /// Records the work of a new job in the profile from which later days are forecast.
    pub(super) fn record_arrival(&mut self, number: u64, now_unix_ms: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let run_ms = self.expected_run_time_ms(job);
        let work = u128::from(job.size.cpu_millis) * u128::from(run_ms);
        self.profile
            .observe(now_unix_ms, job.deadline_unix_ms, work);
    }

    fn try_place(&mut self, number: u64, pass: &mut Pass) -> Result<(), WaitReason> {
        let Some(job) = self.jobs.try_find(number) else {
            return Err(WaitReason::NoRoom);
        };
        let size = job.size;
        let reserved = self
            .reservation
            .filter(|reservation| reservation.number == number)
            .map(|reservation| reservation.worker);
        if reserved.is_none() && pass.sizes_without_room.contains(&size) {
            return Err(WaitReason::NoRoom);
        }
        let kept = pass.quota_kept.get(&job.team);
        let kept = kept.filter(|(kept_for, _)| *kept_for != number);
        if !self.quota_admits(job, kept.map_or(Size::ZERO, |(_, size)| *size)) {
            return Err(WaitReason::Quota);
        }
        let level_cpu_millis = pass.claimed_cpu_millis + u64::from(size.cpu_millis);
        // Once a job exceeds the budget, later jobs wait too, so that narrow tasks can't starve a
        // wide one ahead of them in the queue.
        pass.over_budget |= level_cpu_millis > self.batch_budget_cpu_millis;
        if pass.over_budget && !self.must_start(job, pass.now_unix_ms) {
            return Err(WaitReason::BatchBudget);
        }
        let team = job.team.clone();
        if let Some(worker) = reserved {
            pass.excluded.remove(&worker);
        }
        let Some(key) = self.choose_worker(number, size, &pass.excluded) else {
            pass.excluded.extend(reserved);
            pass.sizes_without_room.insert(size);
            return Err(WaitReason::NoRoom);
        };
        let Ok(claim) = self.ledger.claim(key, WorkKind::Batch, size) else {
            return Err(WaitReason::NoRoom);
        };
        self.append_placement(number, key.index(), pass.now_unix_ms);
        self.claims.insert(number, claim);
        self.quotas.add(&team, size);
        pass.claimed_cpu_millis += u64::from(size.cpu_millis);
        if reserved.is_some() {
            self.reservation = None;
        }
        if self.health.state(key, pass.now) == HealthState::Probation {
            pass.excluded.insert(key);
        }
        Ok(())
    }

    fn append_placement(&mut self, number: u64, index: usize, now_unix_ms: u64) {
        let worker = &self.workers[index];
        let incarnation = worker.incarnation.unwrap_or_default();
        let placed_on = Some((worker.spec.id.clone(), incarnation));
        self.append(Entry::Step(Step {
            number,
            event: JobEvent::Place,
            at_unix_ms: now_unix_ms,
            worker: placed_on,
            checkpoint: None,
            counts: false,
        }));
        self.workers[index].held_jobs.insert(number);
    }

    fn choose_worker(
        &mut self,
        number: u64,
        size: Size,
        excluded: &HashSet<WorkerKey>,
    ) -> Option<WorkerKey> {
        const EXCLUDED_COST: u32 = 1_000;
        const SAME_WORKER_COST: u32 = 1;
        // A job whose attempt was lost or failed should preferably run on another worker.
        let last_worker = self
            .jobs
            .try_find(number)
            .and_then(|job| job.worker.clone());
        let last_worker = last_worker
            .and_then(|(id, _)| self.worker_index_of(&id))
            .map(|index| self.workers[index].key);
        self.search_start = self.search_start.wrapping_add(1);
        let cost = |key: WorkerKey| {
            let exclusion_cost = if excluded.contains(&key) {
                EXCLUDED_COST
            } else {
                0
            };
            exclusion_cost
                + if Some(key) == last_worker {
                    SAME_WORKER_COST
                } else {
                    0
                }
        };
        let options = persimmon_place::place::Options::default();
        let mut chosen = place(
            &self.ledger,
            WorkKind::Batch,
            size,
            self.search_start,
            options,
            cost,
        );
        if chosen.is_some_and(|key| excluded.contains(&key)) {
            // All candidates were excluded; compare all workers before giving up.
            let options = persimmon_place::place::Options {
                candidates_max: self.workers.len(),
            };
            chosen = place(
                &self.ledger,
                WorkKind::Batch,
                size,
                self.search_start,
                options,
                cost,
            );
        }
        chosen.filter(|key| !excluded.contains(key))
    }

    /// Keeps a part of the team's quota for a job that must start and that some worker is large
    /// enough for, so that later jobs of the team can't use each part that becomes free.
    fn keep_quota(&self, number: u64, pass: &mut Pass) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        if pass.quota_kept.contains_key(&job.team) {
            return;
        }
        let fits_quota = self
            .quota_left_here(job)
            .is_some_and(|quota| job.size.fits(quota));
        let is_kept = fits_quota
            && self.must_start(job, pass.now_unix_ms)
            && self
                .workers
                .iter()
                .any(|worker| self.is_large_enough(worker.key, job));
        if is_kept {
            pass.quota_kept.insert(job.team.clone(), (number, job.size));
        }
    }

    /// Returns whether the team's quota, without the part that is `kept`, admits the job. The quota
    /// applies across all shards, as far as their owners have reported their usage.
    pub(super) fn quota_admits(&self, job: &Job, kept: Size) -> bool {
        self.quota_left_here(job).is_none_or(|quota| {
            self.quotas
                .admits(&job.team, quota.saturating_sub(kept), job.size)
        })
    }

    /// Returns the part of the team's quota that other shards don't use; `None` without a quota.
    fn quota_left_here(&self, job: &Job) -> Option<Size> {
        let quota = self.team_quotas.get(&job.team)?;
        let used_elsewhere = self.team_used_elsewhere.get(&job.team).copied();
        Some(quota.saturating_sub(used_elsewhere.unwrap_or(Size::ZERO)))
    }

    /// Iterates over the resources that batch tasks may claim on each live worker.
    fn batch_share_limits(&self) -> impl Iterator<Item = Size> + '_ {
        let live = self
            .workers
            .iter()
            .filter(|worker| worker.state == WorkerState::Live);
        live.map(|worker| self.ledger.share_limit(worker.key, WorkKind::Batch))
    }

    fn must_start(&self, job: &Job, now_unix_ms: u64) -> bool {
        job.urgent || now_unix_ms >= self.must_start_since_unix_ms(job)
    }

    /// Returns the time from which the job must be started as soon as there is room.
    pub(super) fn must_start_since_unix_ms(&self, job: &Job) -> u64 {
        if job.urgent {
            return job.submitted_unix_ms;
        }
        job.deadline_unix_ms
            .saturating_sub(self.run_time_upper_bound_ms(job))
    }

    /// Returns the expected run time of a task of the job's class.
    pub(super) fn expected_run_time_ms(&self, job: &Job) -> u64 {
        self.run_time_estimator
            .mean_ms(&job.class, job.run_time.as_millis() as u64)
    }

    /// Returns the upper bound on the run time by which the latest start is computed.
    fn run_time_upper_bound_ms(&self, job: &Job) -> u64 {
        let default_ratio_per_mille = 1_000 + 10 * u64::from(self.options.run_time_margin_percent);
        let declared_ms = job.run_time.as_millis() as u64;
        self.run_time_estimator
            .upper_bound_ms(&job.class, declared_ms, default_ratio_per_mille)
    }

    fn remaining_work(&self, job: &Job, now_unix_ms: u64) -> Work {
        let ran_ms = if job.is_held() {
            now_unix_ms.saturating_sub(job.placed_unix_ms)
        } else {
            0
        };
        let run_ms = self.expected_run_time_ms(job);
        Work {
            cpu_millis: u64::from(job.size.cpu_millis),
            run_ms: run_ms.saturating_sub(ran_ms).max(1),
            upper_bound_ms: if job.is_held() {
                0
            } else {
                self.run_time_upper_bound_ms(job).max(1)
            },
            deadline_unix_ms: job.deadline_unix_ms,
        }
    }

    fn batch_claimed_cpu_millis(&self) -> u64 {
        let held = self
            .claims
            .keys()
            .filter_map(|number| self.jobs.try_find(*number));
        held.map(|job| u64::from(job.size.cpu_millis)).sum()
    }
}
