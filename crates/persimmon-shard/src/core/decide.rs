use super::{Core, Demand, WaitReason};
use crate::{Entry, Job, JobEvent, JobState, Step, WorkerState};
use persimmon_peak::Work;
use persimmon_place::{place, WorkKind, WorkerKey};
use persimmon_types::Size;
use std::{collections::HashSet, time::Instant};

impl Core {
    /// Places queued jobs where they may run, most pressing first; the number placed.
    pub fn place_queued(&mut self, now: Instant, now_unix_ms: u64) -> usize {
        let closed = self.suspects(now);
        let mut claimed = self.batch_claimed_cpu_millis();
        let mut no_room: HashSet<Size> = HashSet::new();
        let candidates: Vec<u64> = self.queue.iter().map(|key| key.number).collect();
        let (mut placed, mut over_budget) = (0, false);
        for number in candidates {
            match self.try_place(
                number,
                now_unix_ms,
                claimed,
                &closed,
                &mut no_room,
                &mut over_budget,
            ) {
                Ok(size) => {
                    claimed += u64::from(size.cpu_millis);
                    placed += 1;
                }
                Err(reason) => drop(self.waiting.insert(number, reason)),
            }
        }
        placed
    }

    /// Works out anew what meeting all deadlines takes; [`Core::demand()`] tells it.
    pub fn plan(&mut self, now_unix_ms: u64) {
        self.profile.advance_day(now_unix_ms);
        let open = self
            .jobs
            .iter()
            .filter(|job| !job.is_ended() && job.state != JobState::Unknown);
        let work: Vec<Work> = open.map(|job| self.work(job, now_unix_ms)).collect();
        self.required_cpu_millis = self.planner.required(now_unix_ms, &work, &self.profile);
    }

    /// What batch tasks of this shard use, and need by the newest plan.
    pub fn demand(&self) -> Demand {
        let queued = self
            .queue
            .iter()
            .filter_map(|key| self.jobs.try_find(key.number));
        Demand {
            claimed_cpu_millis: self.batch_claimed_cpu_millis(),
            required_cpu_millis: self.required_cpu_millis,
            queued_cpu_millis: queued.map(|job| u64::from(job.size.cpu_millis)).sum(),
            capacity_cpu_millis: self.batch_shares().map(|it| u64::from(it.cpu_millis)).sum(),
            largest: self.batch_shares().fold(Size::ZERO, Size::max),
        }
    }

    /// Learns from a completed attempt that was not resumed.
    pub(super) fn learn_run_time(&mut self, number: u64, now_unix_ms: u64) {
        let Some(job) = self
            .jobs
            .try_find(number)
            .filter(|job| job.checkpoint.is_none())
        else {
            return;
        };
        let ran_ms = now_unix_ms.saturating_sub(job.placed_unix_ms);
        self.estimate
            .observe(&job.class, job.run_time.as_millis() as u64, ran_ms);
    }

    /// Notes work that came in, for what is to be expected on later days.
    pub(super) fn learn_arrival(&mut self, number: u64, now_unix_ms: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let run_ms = self.mean_ms(job);
        let work = u128::from(job.size.cpu_millis) * u128::from(run_ms);
        self.profile
            .observe(now_unix_ms, job.deadline_unix_ms, work);
    }

    fn try_place(
        &mut self,
        number: u64,
        now_unix_ms: u64,
        claimed_cpu_millis: u64,
        closed: &HashSet<WorkerKey>,
        no_room: &mut HashSet<Size>,
        over_budget: &mut bool,
    ) -> Result<Size, WaitReason> {
        let Some(job) = self.jobs.try_find(number) else {
            return Err(WaitReason::NoRoom);
        };
        let size = job.size;
        if no_room.contains(&size) {
            return Err(WaitReason::NoRoom);
        }
        if !self.quota_admits(job) {
            return Err(WaitReason::Quota);
        }
        let level = claimed_cpu_millis + u64::from(size.cpu_millis);
        // Narrow tasks must not starve a wide one before them.
        *over_budget |= level > self.batch_budget_cpu_millis;
        if *over_budget && !self.must_start(job, now_unix_ms) {
            return Err(WaitReason::BusiestMinute);
        }
        let team = job.team.clone();
        let Some(key) = self.choose(number, size, closed) else {
            no_room.insert(size);
            return Err(WaitReason::NoRoom);
        };
        let Ok(claim) = self.ledger.claim(key, WorkKind::Batch, size) else {
            return Err(WaitReason::NoRoom);
        };
        self.start(number, key.index(), now_unix_ms);
        self.claims.insert(number, claim);
        self.quotas.add(&team, size);
        Ok(size)
    }

    fn start(&mut self, number: u64, position: usize, now_unix_ms: u64) {
        let worker = &self.workers[position];
        let incarnation = worker.incarnation.unwrap_or_default();
        let chosen = Some((worker.spec.id.clone(), incarnation));
        self.push(Entry::Step(Step {
            number,
            event: JobEvent::Place,
            at_unix_ms: now_unix_ms,
            worker: chosen,
            checkpoint: None,
            counts: false,
        }));
        self.workers[position].held.insert(number);
    }

    fn choose(
        &mut self,
        number: u64,
        size: Size,
        closed: &HashSet<WorkerKey>,
    ) -> Option<WorkerKey> {
        const SUSPECT_COST: u32 = 1_000;
        const LAST_WORKER_COST: u32 = 1;
        // A job that was just lost or failed somewhere had better go elsewhere, if it can.
        let last = self
            .jobs
            .try_find(number)
            .and_then(|job| job.worker.clone());
        let last = last
            .and_then(|(id, _)| self.find_worker(&id))
            .map(|at| self.workers[at].key);
        self.rotation = self.rotation.wrapping_add(1);
        let cost = |key: WorkerKey| {
            let suspect = if closed.contains(&key) {
                SUSPECT_COST
            } else {
                0
            };
            suspect
                + if Some(key) == last {
                    LAST_WORKER_COST
                } else {
                    0
                }
        };
        let options = persimmon_place::place::Options::default();
        let mut found = place(
            &self.ledger,
            WorkKind::Batch,
            size,
            self.rotation,
            options,
            cost,
        );
        if found.is_some_and(|key| closed.contains(&key)) {
            // All candidates were suspects; look at every worker before giving up.
            let options = persimmon_place::place::Options {
                candidates_max: self.workers.len(),
            };
            found = place(
                &self.ledger,
                WorkKind::Batch,
                size,
                self.rotation,
                options,
                cost,
            );
        }
        found.filter(|key| !closed.contains(key))
    }

    /// The team's quota counts over all shards, as far as their owners have told.
    fn quota_admits(&self, job: &Job) -> bool {
        let Some(quota) = self.team_quotas.get(&job.team).copied() else {
            return true;
        };
        let elsewhere = self
            .team_used_elsewhere
            .get(&job.team)
            .copied()
            .unwrap_or(Size::ZERO);
        self.quotas
            .admits(&job.team, quota.saturating_sub(elsewhere), job.size)
    }

    /// What batch tasks may claim of each live worker.
    fn batch_shares(&self) -> impl Iterator<Item = Size> + '_ {
        let live = self
            .workers
            .iter()
            .filter(|worker| worker.state == WorkerState::Live);
        live.map(|worker| self.ledger.share_limit(worker.key, WorkKind::Batch))
    }

    fn must_start(&self, job: &Job, now_unix_ms: u64) -> bool {
        job.urgent || now_unix_ms + self.safe_ms(job) >= job.deadline_unix_ms
    }

    /// The run time that tasks of the job's class take in the mean.
    pub(super) fn mean_ms(&self, job: &Job) -> u64 {
        self.estimate
            .mean_ms(&job.class, job.run_time.as_millis() as u64)
    }

    /// The run time that is safe to count on.
    fn safe_ms(&self, job: &Job) -> u64 {
        let unknown_per_mille = 1_000 + 10 * u64::from(self.options.run_time_margin_percent);
        let declared_ms = job.run_time.as_millis() as u64;
        self.estimate
            .upper_bound_ms(&job.class, declared_ms, unknown_per_mille)
    }

    fn work(&self, job: &Job, now_unix_ms: u64) -> Work {
        let ran_ms = if job.is_held() {
            now_unix_ms.saturating_sub(job.placed_unix_ms)
        } else {
            0
        };
        let run_ms = self.mean_ms(job);
        Work {
            cpu_millis: u64::from(job.size.cpu_millis),
            run_ms: run_ms.saturating_sub(ran_ms).max(1),
            upper_bound_ms: if job.is_held() {
                0
            } else {
                self.safe_ms(job).max(1)
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
