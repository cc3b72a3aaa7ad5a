//! The simulated environment of shard owners, and the invariants that must hold in it.

use super::worker::{Run, Worker, LEASE_TERM};
use persimmon_place::Shares;
use persimmon_shard::{
    Charts, Core, EntryWire, JobState, JobTable, Options, Submission, SyncAnswer, SyncCall,
    SyncFailure, TaskStatus, WorkerSpec,
};
use persimmon_ticket::{BatchClass, Rerun};
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

const WORKERS: usize = 4;
const CAPACITY: Size = Size {
    cpu_millis: 4_000,
    memory_mib: 4_000,
    accelerators: 0,
};
const SHARES: Shares = Shares {
    latency_critical_percent: 0,
    batch_percent: 100,
};
const START_UNIX_MS: u64 = 1_000_000;
/// Long enough for every job to meet its deadline.
const DEADLINE_MS: u64 = 1_000_000_000;

#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    AdvanceTime(u64),
    Submit {
        class: usize,
        response_lost: bool,
    },
    Cancel(usize),
    Evict(usize),
    /// The owner places jobs, commits, and calls the workers that are due.
    Round {
        response_lost: bool,
    },
    /// The owner calls one worker; the response may be lost.
    Sync {
        worker: usize,
        response_lost: bool,
    },
    /// The owner makes a call that is delayed in the network.
    SendDelayed(usize),
    /// The delayed calls of the current and of earlier owners arrive.
    DeliverDelayed,
    SetPartitioned {
        worker: usize,
        partitioned: bool,
    },
    RestartWorker(usize),
    SetFailing {
        worker: usize,
        failing: bool,
    },
    SetLeaving {
        worker: usize,
        leaving: bool,
    },
    /// Another owner takes over the shard while the current one is paused.
    Takeover,
    /// An earlier owner resumes and continues as if it had not been paused.
    ResumeEarlierOwner,
}

struct Owner {
    core: Core,
    epoch: u64,
    /// Whether the ownership is valid, which ends before the next takeover.
    valid: bool,
    delayed_calls: Vec<SyncCall>,
}

/// The record in the store.
#[derive(Default)]
struct Record {
    epoch: u64,
    entries: Vec<EntryWire>,
}

pub(super) struct Simulation {
    charts: Arc<Charts>,
    base: Instant,
    now_ms: u64,
    record: Record,
    owner: Owner,
    earlier_owners: Vec<Owner>,
    workers: Vec<Worker>,
    next_key: u64,
    /// Keys of acknowledged submissions.
    accepted: BTreeMap<String, u64>,
    cancelled: BTreeSet<u64>,
}

fn class(index: usize) -> BatchClass {
    let size = Size {
        cpu_millis: 1_000,
        memory_mib: 500,
        accelerators: 0,
    };
    BatchClass {
        name: format!("class-{index}"),
        team: "team".to_owned(),
        size,
        run_time: Duration::from_millis([500, 6_000, 6_000][index]),
        rerun: [Rerun::Safe, Rerun::Safe, Rerun::Never][index],
        attempts_max: 1_000,
        urgent: true,
    }
}

fn options() -> Options {
    Options {
        lease_term: LEASE_TERM,
        ..Options::default()
    }
}

impl Simulation {
    pub(super) fn new() -> Self {
        let charts = Arc::new(Charts::load().expect("valid charts"));
        let base = Instant::now();
        let core = Core::new(
            options(),
            Arc::clone(&charts),
            SHARES,
            JobTable::default(),
            base,
        );
        let mut simulation = Self {
            owner: Owner {
                core,
                epoch: 1,
                valid: true,
                delayed_calls: Vec::new(),
            },
            record: Record {
                epoch: 1,
                entries: Vec::new(),
            },
            workers: (0..WORKERS).map(|_| Worker::new()).collect(),
            earlier_owners: Vec::new(),
            next_key: 0,
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            now_ms: 0,
            charts,
            base,
        };
        simulation.update_worker_list();
        simulation
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn now_unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms
    }

    fn update_worker_list(&mut self) {
        let spec = |(index, worker): (usize, &Worker)| WorkerSpec {
            id: format!("w{index}"),
            address: format!("w{index}"),
            rack: "rack".to_owned(),
            capacity: CAPACITY,
            runners: Size::ZERO,
            leaving: worker.leaving,
        };
        let specs: Vec<WorkerSpec> = self.workers.iter().enumerate().map(spec).collect();
        let now = self.now();
        self.owner.core.set_workers(&specs, now);
    }

    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceTime(ms) => self.now_ms += ms,
            Step::Submit {
                class,
                response_lost,
            } => self.submit(class, response_lost),
            Step::Cancel(index) => self.cancel(index),
            Step::Evict(index) => {
                if let Some(number) = self.pick_job(index) {
                    self.owner.core.request_eviction(number);
                }
            }
            Step::Round { response_lost } => self.round(response_lost),
            Step::Sync {
                worker,
                response_lost,
            } => self.sync(worker, response_lost),
            Step::SendDelayed(worker) => {
                let valid = self.owner.valid;
                if self.owner.core.due_workers(self.now()).contains(&worker) {
                    let call = self.owner.core.begin_sync(worker, valid);
                    self.owner.delayed_calls.push(call);
                }
            }
            Step::DeliverDelayed => self.deliver_delayed(),
            Step::SetPartitioned {
                worker,
                partitioned,
            } => self.workers[worker].partitioned = partitioned,
            Step::RestartWorker(worker) => {
                let now = self.now();
                self.workers[worker].restart(now);
            }
            Step::SetFailing { worker, failing } => self.workers[worker].failing = failing,
            Step::SetLeaving { worker, leaving } => {
                self.workers[worker].leaving = leaving;
                self.update_worker_list();
            }
            Step::Takeover => self.take_over(),
            Step::ResumeEarlierOwner => self.resume_earlier_owner(),
        }
        let now = self.now();
        self.workers
            .iter_mut()
            .for_each(|worker| worker.advance(now));
    }

    fn pick_job(&self, index: usize) -> Option<u64> {
        let numbers: Vec<u64> = self.accepted.values().copied().collect();
        index.checked_rem(numbers.len()).map(|index| numbers[index])
    }

    /// Submits a job; if the response is lost, the caller submits it again with the same key.
    fn submit(&mut self, index: usize, response_lost: bool) {
        self.next_key += 1;
        let key = format!("key-{}", self.next_key);
        let submission = Submission {
            key: key.clone(),
            class: class(index),
            deadline_unix_ms: START_UNIX_MS + DEADLINE_MS,
        };
        let first = self.submit_and_commit(submission.clone());
        if response_lost {
            let resubmitted = self.submit_and_commit(submission);
            assert_eq!(first, resubmitted, "a resubmission created another job");
        }
        self.accepted.insert(key, first);
    }

    fn submit_and_commit(&mut self, submission: Submission) -> u64 {
        let unix_ms = self.now_unix_ms();
        let outcome = self
            .owner
            .core
            .submit(submission, unix_ms)
            .expect("the job fits a worker");
        self.commit(false);
        assert!(self.owner.core.is_committed(outcome.seq));
        outcome.number
    }

    fn cancel(&mut self, index: usize) {
        let Some(number) = self.pick_job(index) else {
            return;
        };
        let unix_ms = self.now_unix_ms();
        let Ok(outcome) = self.owner.core.cancel(number, unix_ms) else {
            return;
        };
        self.commit(false);
        if !outcome.may_have_run {
            let ran = self.runs().iter().any(|run| run.number == number);
            assert!(
                !ran,
                "job {number} ran although its cancellation reported that it had not"
            );
        }
        self.cancelled.insert(number);
    }

    fn round(&mut self, response_lost: bool) {
        let (now, unix_ms) = (self.now(), self.now_unix_ms());
        self.owner.core.tick(now, unix_ms);
        self.owner.core.place_queued(now, unix_ms);
        self.commit(response_lost);
        for worker in self.owner.core.due_workers(now) {
            self.sync(worker, false);
        }
        self.commit(false);
    }

    /// Commits the pending entries.
    ///
    /// After a lost response the commit is confirmed only later; until then the owner may place
    /// more jobs but must send no command for uncommitted entries.
    fn commit(&mut self, response_lost: bool) {
        let Some((seq, entries)) = self.owner.core.take_batch() else {
            return;
        };
        assert_eq!(
            self.record.epoch, self.owner.epoch,
            "the record must be held by the current owner"
        );
        self.record
            .entries
            .extend(entries.iter().map(EntryWire::from));
        if response_lost {
            // The owner continues to place jobs before the commit is confirmed.
            let (now, unix_ms) = (self.now(), self.now_unix_ms());
            self.owner.core.place_queued(now, unix_ms);
        }
        self.owner.core.commit(seq);
    }

    fn sync(&mut self, worker: usize, response_lost: bool) {
        let now = self.now();
        if !self.owner.core.due_workers(now).contains(&worker) {
            return;
        }
        let call = self.owner.core.begin_sync(worker, self.owner.valid);
        let result = self.deliver(&call, self.owner.epoch);
        let result = if response_lost {
            Err(SyncFailure::NoAnswer)
        } else {
            result
        };
        self.end_sync(worker, result);
    }

    fn end_sync(&mut self, worker: usize, result: Result<SyncAnswer, SyncFailure>) {
        assert_ne!(
            result,
            Err(SyncFailure::Fenced),
            "the current owner must not be fenced"
        );
        let (now, unix_ms) = (self.now(), self.now_unix_ms());
        self.owner.core.end_sync(worker, result, now, unix_ms);
    }

    fn deliver(&mut self, call: &SyncCall, epoch: u64) -> Result<SyncAnswer, SyncFailure> {
        let now = self.now();
        let worker = &mut self.workers[call.worker];
        if worker.partitioned {
            return Err(SyncFailure::NoAnswer);
        }
        worker.sync(epoch, call.echo_nonce, &call.commands, now)
    }

    fn deliver_delayed(&mut self) {
        if let Some(call) = self.owner.delayed_calls.pop() {
            let result = self.deliver(&call, self.owner.epoch);
            self.end_sync(call.worker, result);
        }
        // Calls of earlier owners arrive as well, but their responses are lost.
        for index in 0..self.earlier_owners.len() {
            if let Some(call) = self.earlier_owners[index].delayed_calls.pop() {
                let epoch = self.earlier_owners[index].epoch;
                let _ = self.deliver(&call, epoch);
            }
        }
    }

    fn take_over(&mut self) {
        self.record.epoch += 1;
        let mut table = JobTable::default();
        table
            .replay(&self.charts, self.record.entries.clone())
            .expect("a valid record");
        let now = self.now();
        let core = Core::new(options(), Arc::clone(&self.charts), SHARES, table, now);
        let epoch = self.record.epoch;
        let new = Owner {
            core,
            epoch,
            valid: true,
            delayed_calls: Vec::new(),
        };
        let mut earlier = std::mem::replace(&mut self.owner, new);
        // The lease protocol guarantees that the earlier ownership is not valid after a takeover.
        earlier.valid = false;
        self.earlier_owners.push(earlier);
        self.update_worker_list();
    }

    /// Lets an earlier owner place jobs, which it can't commit, and call workers without a valid
    /// ownership.
    fn resume_earlier_owner(&mut self) {
        let (now, unix_ms) = (self.now(), self.now_unix_ms());
        let Some(mut earlier) = self.earlier_owners.pop() else {
            return;
        };
        earlier.core.place_queued(now, unix_ms);
        let _ = earlier.core.take_batch();
        for worker in earlier.core.due_workers(now) {
            let call = earlier.core.begin_sync(worker, earlier.valid);
            if let Ok(answer) = self.deliver(&call, earlier.epoch) {
                earlier.core.end_sync(worker, Ok(answer), now, unix_ms);
            }
        }
        self.earlier_owners.push(earlier);
    }

    fn runs(&self) -> Vec<Run> {
        self.workers
            .iter()
            .flat_map(|worker| worker.runs.iter().cloned())
            .collect()
    }

    /// Checks the invariants that must hold at all times.
    pub(super) fn check_invariants(&self) {
        let mut by_job: BTreeMap<u64, Vec<Run>> = BTreeMap::new();
        for run in self.runs() {
            by_job.entry(run.number).or_default().push(run);
        }
        for (number, mut runs) in by_job {
            runs.sort_by_key(|run| (run.started_at, run.attempt));
            for pair in runs.windows(2) {
                let ended = pair[0].ended.map(|(at, _)| at);
                let disjoint = ended.is_some_and(|at| at <= pair[1].started_at);
                assert!(disjoint, "attempts of job {number} overlapped: {runs:?}");
            }
            let mut attempts: Vec<u32> = runs.iter().map(|run| run.attempt).collect();
            attempts.dedup();
            assert_eq!(
                attempts.len(),
                runs.len(),
                "an attempt of job {number} ran twice: {runs:?}"
            );
            self.check_non_idempotent_job(number, &runs);
        }
        for worker in &self.workers {
            assert!(
                worker.used().fits(CAPACITY),
                "tasks exceed the capacity: {}",
                worker.used()
            );
        }
        for worker in self.owner.core.iter_workers() {
            assert!(
                worker.claimed.fits(worker.capacity),
                "claims exceed the capacity: {worker:?}"
            );
        }
    }

    /// Checks that a job that must not be rerun completes at most once, and that each attempt
    /// resumes where the previous one stopped, unless that one failed.
    fn check_non_idempotent_job(&self, number: u64, runs: &[Run]) {
        let rerun = self.owner.core.jobs().try_find(number).map(|job| job.rerun);
        if rerun != Some(Rerun::Never) {
            return;
        }
        let done = runs
            .iter()
            .filter(|run| matches!(run.ended, Some((_, TaskStatus::Done))));
        assert!(done.count() <= 1, "job {number} completed twice: {runs:?}");
        for pair in runs.windows(2) {
            let failed = matches!(pair[0].ended, Some((_, TaskStatus::Failed)));
            let ran_ms = pair[0]
                .ended
                .map_or(0, |(at, _)| (at - pair[0].started_at).as_millis());
            let resumed =
                u128::from(pair[1].resumed_from_ms) == u128::from(pair[0].resumed_from_ms) + ran_ms;
            assert!(
                failed || resumed,
                "job {number} did not resume where it stopped: {runs:?}"
            );
        }
    }

    /// Ends all faults and lets time pass until every job has ended or is unknown.
    pub(super) fn run_until_settled(&mut self) {
        for index in 0..WORKERS {
            self.workers[index].partitioned = false;
            self.workers[index].failing = false;
            self.workers[index].leaving = false;
        }
        self.update_worker_list();
        for call in std::mem::take(&mut self.owner.delayed_calls) {
            self.end_sync(call.worker, Err(SyncFailure::NoAnswer));
        }
        // 6000 rounds of 500 ms exceed the longest wait, which is for the end of quarantines.
        for _ in 0..6_000 {
            self.now_ms += 500;
            self.round(false);
            let now = self.now();
            self.workers
                .iter_mut()
                .for_each(|worker| worker.advance(now));
            self.check_invariants();
            if self.is_settled() {
                return;
            }
        }
    }

    fn is_settled(&self) -> bool {
        self.owner
            .core
            .jobs()
            .iter()
            .all(|job| job.is_ended() || job.state == JobState::Unknown)
    }

    /// Checks the conditions that must hold once all faults have ended.
    pub(super) fn check_settled(&self) {
        let runs = self.runs();
        for (key, number) in &self.accepted {
            let job = self
                .owner
                .core
                .jobs()
                .try_find(*number)
                .expect("accepted jobs must not be lost");
            assert_eq!(&job.key, key);
            let done = runs
                .iter()
                .filter(|run| run.number == *number)
                .filter(|run| matches!(run.ended, Some((_, TaskStatus::Done))))
                .count();
            match job.state {
                JobState::Done => assert!(done >= 1, "done job {number} never completed"),
                JobState::Cancelled => {
                    assert!(
                        self.cancelled.contains(number),
                        "job {number} was not cancelled"
                    );
                }
                // Only jobs that must not be rerun stay unknown, after a restart of their worker.
                JobState::Unknown => assert_eq!(job.rerun, Rerun::Never),
                state => panic!("job {number} did not end, state {state:?}: {job:?}"),
            }
        }
        let mut replayed = JobTable::default();
        replayed
            .replay(&self.charts, self.record.entries.clone())
            .expect("a valid record");
        assert_eq!(
            &replayed,
            self.owner.core.jobs(),
            "the record differs from the owner's state"
        );
    }
}
