//! The world around the owners, and what must hold in it.

use super::worker::{Run, Worker, TERM};
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
/// Far enough for every job to be done in time.
const DEADLINE_MS: u64 = 1_000_000_000;

#[derive(Debug, Clone, Copy)]
pub(super) enum Step {
    Pass(u64),
    Submit {
        class: usize,
        answer_lost: bool,
    },
    Cancel(usize),
    Evict(usize),
    /// The owner decides and commits, and calls whom it is due to call.
    Round {
        answer_lost: bool,
    },
    /// The owner calls one worker; the answer may be lost.
    Sync {
        worker: usize,
        lost: bool,
    },
    /// The owner makes up a call that is held up on its way.
    SendLate(usize),
    DeliverLate,
    Cut {
        worker: usize,
        cut: bool,
    },
    RestartWorker(usize),
    Fails {
        worker: usize,
        fails: bool,
    },
    Leaving {
        worker: usize,
        leaving: bool,
    },
    /// Another owner takes the shard over; the present one is frozen.
    Takeover,
    /// An earlier owner wakes and goes on as if it had not been frozen.
    WakeOld,
}

struct Owner {
    core: Core,
    epoch: u64,
    /// Whether it may renew: ends with the takeover that follows it.
    valid: bool,
    held_up: Vec<SyncCall>,
}

/// The record in the store.
#[derive(Default)]
struct Record {
    epoch: u64,
    entries: Vec<EntryWire>,
}

pub(super) struct World {
    charts: Arc<Charts>,
    base: Instant,
    now_ms: u64,
    record: Record,
    owner: Owner,
    earlier: Vec<Owner>,
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
        lease_term: TERM,
        ..Options::default()
    }
}

impl World {
    pub(super) fn new() -> Self {
        let charts = Arc::new(Charts::load().expect("sound charts"));
        let base = Instant::now();
        let core = Core::new(
            options(),
            Arc::clone(&charts),
            SHARES,
            JobTable::default(),
            base,
        );
        let mut world = Self {
            owner: Owner {
                core,
                epoch: 1,
                valid: true,
                held_up: Vec::new(),
            },
            record: Record {
                epoch: 1,
                entries: Vec::new(),
            },
            workers: (0..WORKERS).map(|_| Worker::new()).collect(),
            earlier: Vec::new(),
            next_key: 0,
            accepted: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            now_ms: 0,
            charts,
            base,
        };
        world.list_workers();
        world
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn now_unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms
    }

    fn list_workers(&mut self) {
        let spec = |(at, worker): (usize, &Worker)| WorkerSpec {
            id: format!("w{at}"),
            address: format!("w{at}"),
            rack: "rack".to_owned(),
            capacity: CAPACITY,
            runners: Size::ZERO,
            leaving: worker.leaving,
        };
        let specs: Vec<WorkerSpec> = self.workers.iter().enumerate().map(spec).collect();
        let now = self.now();
        self.owner.core.set_workers(&specs, now);
    }

    pub(super) fn take(&mut self, step: Step) {
        match step {
            Step::Pass(ms) => self.now_ms += ms,
            Step::Submit { class, answer_lost } => self.submit(class, answer_lost),
            Step::Cancel(at) => self.cancel(at),
            Step::Evict(at) => {
                if let Some(number) = self.pick(at) {
                    self.owner.core.evict(number);
                }
            }
            Step::Round { answer_lost } => self.round(answer_lost),
            Step::Sync { worker, lost } => self.sync(worker, lost),
            Step::SendLate(worker) => {
                let valid = self.owner.valid;
                if self.owner.core.due_workers(self.now()).contains(&worker) {
                    let call = self.owner.core.begin_sync(worker, valid);
                    self.owner.held_up.push(call);
                }
            }
            Step::DeliverLate => self.deliver_late(),
            Step::Cut { worker, cut } => self.workers[worker].cut = cut,
            Step::RestartWorker(worker) => {
                let now = self.now();
                self.workers[worker].restart(now);
            }
            Step::Fails { worker, fails } => self.workers[worker].fails = fails,
            Step::Leaving { worker, leaving } => {
                self.workers[worker].leaving = leaving;
                self.list_workers();
            }
            Step::Takeover => self.take_over(),
            Step::WakeOld => self.wake_old(),
        }
        let now = self.now();
        self.workers
            .iter_mut()
            .for_each(|worker| worker.advance(now));
    }

    fn pick(&self, at: usize) -> Option<u64> {
        let numbers: Vec<u64> = self.accepted.values().copied().collect();
        at.checked_rem(numbers.len()).map(|at| numbers[at])
    }

    /// A submission; when its answer is lost the caller repeats it with the same key.
    fn submit(&mut self, index: usize, answer_lost: bool) {
        self.next_key += 1;
        let key = format!("key-{}", self.next_key);
        let submission = Submission {
            key: key.clone(),
            class: class(index),
            deadline_unix_ms: START_UNIX_MS + DEADLINE_MS,
        };
        let first = self.submit_and_commit(submission.clone());
        if answer_lost {
            let again = self.submit_and_commit(submission);
            assert_eq!(first, again, "a repeat is another job");
        }
        self.accepted.insert(key, first);
    }

    fn submit_and_commit(&mut self, submission: Submission) -> u64 {
        let unix_ms = self.now_unix_ms();
        let outcome = self
            .owner
            .core
            .submit(submission, unix_ms)
            .expect("it fits");
        self.commit(false);
        assert!(self.owner.core.is_committed(outcome.seq));
        outcome.number
    }

    fn cancel(&mut self, at: usize) {
        let Some(number) = self.pick(at) else { return };
        let unix_ms = self.now_unix_ms();
        let Ok(outcome) = self.owner.core.cancel(number, unix_ms) else {
            return;
        };
        self.commit(false);
        if !outcome.may_have_run {
            let ran = self.runs().iter().any(|run| run.number == number);
            assert!(!ran, "job {number} was cancelled as not run, and ran");
        }
        self.cancelled.insert(number);
    }

    fn round(&mut self, answer_lost: bool) {
        let (now, unix_ms) = (self.now(), self.now_unix_ms());
        self.owner.core.tick(now, unix_ms);
        self.owner.core.place_queued(now, unix_ms);
        self.commit(answer_lost);
        for worker in self.owner.core.due_workers(now) {
            self.sync(worker, false);
        }
        self.commit(false);
    }

    /// Writes what was decided. With a lost answer the owner reads back and finds its token.
    fn commit(&mut self, answer_lost: bool) {
        let Some((seq, entries)) = self.owner.core.take_batch() else {
            return;
        };
        assert_eq!(
            self.record.epoch, self.owner.epoch,
            "the present owner holds the record"
        );
        self.record
            .entries
            .extend(entries.iter().map(EntryWire::from));
        if answer_lost {
            // Until it has read back it may decide more, and must let nothing out.
            let (now, unix_ms) = (self.now(), self.now_unix_ms());
            self.owner.core.place_queued(now, unix_ms);
        }
        self.owner.core.commit(seq);
    }

    fn sync(&mut self, worker: usize, lost: bool) {
        let now = self.now();
        if !self.owner.core.due_workers(now).contains(&worker) {
            return;
        }
        let call = self.owner.core.begin_sync(worker, self.owner.valid);
        let result = self.deliver(&call, self.owner.epoch);
        let result = if lost {
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
            "the present owner is fenced"
        );
        let (now, unix_ms) = (self.now(), self.now_unix_ms());
        self.owner.core.end_sync(worker, result, now, unix_ms);
    }

    fn deliver(&mut self, call: &SyncCall, epoch: u64) -> Result<SyncAnswer, SyncFailure> {
        let now = self.now();
        let worker = &mut self.workers[call.worker];
        if worker.cut {
            return Err(SyncFailure::NoAnswer);
        }
        worker.sync(epoch, call.echo_nonce, &call.commands, now)
    }

    fn deliver_late(&mut self) {
        if let Some(call) = self.owner.held_up.pop() {
            let result = self.deliver(&call, self.owner.epoch);
            self.end_sync(call.worker, result);
        }
        // Calls of earlier owners arrive, if at all, with nobody to hear the answer.
        for at in 0..self.earlier.len() {
            if let Some(call) = self.earlier[at].held_up.pop() {
                let epoch = self.earlier[at].epoch;
                let _ = self.deliver(&call, epoch);
            }
        }
    }

    fn take_over(&mut self) {
        self.record.epoch += 1;
        let mut table = JobTable::default();
        table
            .replay(&self.charts, self.record.entries.clone())
            .expect("a sound journal");
        let now = self.now();
        let core = Core::new(options(), Arc::clone(&self.charts), SHARES, table, now);
        let epoch = self.record.epoch;
        let new = Owner {
            core,
            epoch,
            valid: true,
            held_up: Vec::new(),
        };
        let mut old = std::mem::replace(&mut self.owner, new);
        // The lease crate's proof: by the time of a takeover the earlier owner is not valid.
        old.valid = false;
        self.earlier.push(old);
        self.list_workers();
    }

    /// It decides, can't commit, and calls workers with what it may still say.
    fn wake_old(&mut self) {
        let (now, unix_ms) = (self.now(), self.now_unix_ms());
        let Some(mut old) = self.earlier.pop() else {
            return;
        };
        old.core.place_queued(now, unix_ms);
        let _ = old.core.take_batch();
        for worker in old.core.due_workers(now) {
            let call = old.core.begin_sync(worker, old.valid);
            if let Ok(answer) = self.deliver(&call, old.epoch) {
                old.core.end_sync(worker, Ok(answer), now, unix_ms);
            }
        }
        self.earlier.push(old);
    }

    fn runs(&self) -> Vec<Run> {
        self.workers
            .iter()
            .flat_map(|worker| worker.runs.iter().cloned())
            .collect()
    }

    /// What must hold at every moment.
    pub(super) fn check(&self) {
        let mut by_job: BTreeMap<u64, Vec<Run>> = BTreeMap::new();
        for run in self.runs() {
            by_job.entry(run.number).or_default().push(run);
        }
        for (number, mut runs) in by_job {
            runs.sort_by_key(|run| (run.started_at, run.attempt));
            for pair in runs.windows(2) {
                let ended = pair[0].ended.map(|(at, _)| at);
                let apart = ended.is_some_and(|at| at <= pair[1].started_at);
                assert!(apart, "job {number} ran in two places: {runs:?}");
            }
            let mut attempts: Vec<u32> = runs.iter().map(|run| run.attempt).collect();
            attempts.dedup();
            assert_eq!(
                attempts.len(),
                runs.len(),
                "an attempt of {number} ran twice: {runs:?}"
            );
            self.check_never_doubled(number, &runs);
        }
        for worker in &self.workers {
            assert!(
                worker.used().fits(CAPACITY),
                "over capacity: {}",
                worker.used()
            );
        }
        for worker in self.owner.core.iter_workers() {
            assert!(
                worker.claimed.fits(worker.capacity),
                "over capacity: {worker:?}"
            );
        }
    }

    /// Work that must not be doubled goes on where it was stopped, and completes at most once.
    fn check_never_doubled(&self, number: u64, runs: &[Run]) {
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
            let resumed = u128::from(pair[1].from_ms) == u128::from(pair[0].from_ms) + ran_ms;
            assert!(
                failed || resumed,
                "job {number} did not resume where it stopped: {runs:?}"
            );
        }
    }

    /// Lets all faults end and time pass.
    pub(super) fn settle(&mut self) {
        for at in 0..WORKERS {
            self.workers[at].cut = false;
            self.workers[at].fails = false;
            self.workers[at].leaving = false;
        }
        self.list_workers();
        for call in std::mem::take(&mut self.owner.held_up) {
            self.end_sync(call.worker, Err(SyncFailure::NoAnswer));
        }
        // Quarantines are the longest thing to wait for.
        for _ in 0..6_000 {
            self.now_ms += 500;
            self.round(false);
            let now = self.now();
            self.workers
                .iter_mut()
                .for_each(|worker| worker.advance(now));
            self.check();
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

    /// What must hold once nothing fails any more.
    pub(super) fn check_settled(&self) {
        let runs = self.runs();
        for (key, number) in &self.accepted {
            let job = self
                .owner
                .core
                .jobs()
                .try_find(*number)
                .expect("an accepted job was lost");
            assert_eq!(&job.key, key);
            let done = runs
                .iter()
                .filter(|run| run.number == *number)
                .filter(|run| matches!(run.ended, Some((_, TaskStatus::Done))))
                .count();
            match job.state {
                JobState::Done => assert!(done >= 1, "job {number} is done and never completed"),
                JobState::Cancelled => {
                    assert!(
                        self.cancelled.contains(number),
                        "job {number} was not cancelled"
                    );
                }
                // Only work that must not be doubled, whose worker restarted, stays in doubt.
                JobState::Unknown => assert_eq!(job.rerun, Rerun::Never),
                state => panic!("job {number} stays {state:?}: {job:?}"),
            }
        }
        let mut replayed = JobTable::default();
        replayed
            .replay(&self.charts, self.record.entries.clone())
            .expect("a sound journal");
        assert_eq!(
            &replayed,
            self.owner.core.jobs(),
            "the record tells another story"
        );
    }
}
