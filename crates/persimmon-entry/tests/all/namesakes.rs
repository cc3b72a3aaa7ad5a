//! Callers of different queues choose the same number for their jobs.

use crate::platform::{request, spec, Cluster, OF_SERVICE};
use persimmon_entry::{Accepted, Cancelled, Handle, Rejection, Request};
use persimmon_sched::{JobId, Phase};
use rand::{seq::IndexedRandom, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// A queue and the service that runs its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Queue(&'static str, &'static str);

const QUOTES: Queue = Queue("quotes", "bookings");
/// Its tasks run on the runners of another service.
const DESK: Queue = Queue("desk", "desks");
/// Its tasks run on the runners of [`QUOTES`].
const NIGHTLY: Queue = Queue("nightly", "bookings");
/// Its tasks run on the runners of [`DESK`].
const ANNEX: Queue = Queue("annex", "desks");
const QUEUES: [Queue; 4] = [QUOTES, DESK, NIGHTLY, ANNEX];
/// The runners, and the services that they are of.
const RUNNERS: [(&str, &str); 4] = [
    ("a", "bookings"),
    ("b", "bookings"),
    ("c", "desks"),
    ("d", "desks"),
];

const NAMES: [&str; 3] = ["one", "two", "three"];

struct World {
    cluster: Cluster,
    handles: Vec<Handle>,
}

impl World {
    async fn new() -> Self {
        let mut cluster = Cluster::new(&[]);
        let queues = QUEUES.map(|Queue(name, service)| format!("{name}@{service}"));
        let queues: Vec<_> = queues.iter().map(String::as_str).collect();
        cluster.write_policy(2, &queues);
        for (runner, service) in RUNNERS {
            cluster.write_runner(runner, format!("{OF_SERVICE}{service}").as_bytes());
        }
        let handles = NAMES.map(|name| cluster.start(name));
        cluster.advance(2 * SECOND).await;
        Self {
            cluster,
            handles: handles.to_vec(),
        }
    }

    fn request(&self, queue: Queue, number: u64) -> Request {
        Request {
            path: format!("/{}/{}", queue.0, JobId::new(number)),
            ..request(number)
        }
    }

    async fn submit(
        &mut self,
        at: usize,
        queue: Queue,
        number: u64,
    ) -> Result<Accepted, Rejection> {
        let request = self.request(queue, number);
        let submitted = self.handles[at].submit(request, spec(500));
        self.cluster.run_until(submitted).await
    }

    async fn cancel(&mut self, at: usize, queue: Queue, number: u64) -> Cancelled {
        let cancelled = self.handles[at].cancel(self.request(queue, number));
        self.cluster.run_until(cancelled).await.expect("an answer")
    }

    async fn phase(&mut self, at: usize, queue: Queue, number: u64) -> Option<Phase> {
        let phase = self.handles[at].phase(self.request(queue, number));
        self.cluster.run_until(phase).await.expect("an answer")
    }

    /// The phases that all processes show, which is the same.
    async fn phase_everywhere(&mut self, queue: Queue, number: u64) -> Option<Phase> {
        let mut phases = Vec::new();
        for at in 0..self.handles.len() {
            phases.push(self.phase(at, queue, number).await);
        }
        assert!(phases.iter().all(|it| *it == phases[0]), "{phases:?}");
        phases[0]
    }

    /// Number of starts of a job's tasks on the runners of a service.
    fn starts(&self, service: &str, number: u64) -> usize {
        let starts = self.cluster.state.starts.borrow();
        let on_service = |runner: &str| RUNNERS.contains(&(runner, service));
        let starts = starts
            .iter()
            .filter(|(task, _, runner)| task.job == JobId::new(number) && on_service(runner));
        starts.count()
    }

    /// Number in the cluster of the process at this place of [`NAMES`].
    fn process(&self, at: usize) -> usize {
        self.cluster.processes.len() - NAMES.len() + at
    }

    /// Kills all processes and starts them again.
    async fn restart(&mut self) {
        for at in 0..NAMES.len() {
            let process = self.process(at);
            self.cluster.kill(process);
        }
        self.handles = NAMES.map(|name| self.cluster.start(name)).to_vec();
        self.cluster.advance(5 * SECOND).await;
    }
}

fn is_new(submitted: Result<Accepted, Rejection>) -> bool {
    submitted.expect("accepted").is_new
}

fn is_refused(submitted: &Result<Accepted, Rejection>) -> bool {
    matches!(submitted, Err(Rejection::NotRun { .. }))
}

/// Guards against a job that is accepted and never run, as another queue has one with its number.
#[tokio::test(start_paused = true)]
async fn jobs_of_two_services_with_one_number_both_run() {
    let mut world = World::new().await;
    for number in 1..=8 {
        assert!(is_new(world.submit(0, QUOTES, number).await));
        assert!(is_new(world.submit(1, DESK, number).await));
        assert!(!is_new(world.submit(2, DESK, number).await), "a repetition");
        assert!(!is_new(world.submit(2, QUOTES, number).await));
    }
    world.cluster.advance(5 * SECOND).await;
    for number in 1..=8 {
        for queue in [QUOTES, DESK] {
            let phase = world.phase_everywhere(queue, number).await;
            assert_eq!(phase, Some(Phase::Completed), "job {number} of {queue:?}");
            assert_eq!(
                world.starts(queue.1, number),
                1,
                "job {number} of {queue:?}"
            );
        }
    }
    world.restart().await;
    for number in 1..=8 {
        for queue in [QUOTES, DESK] {
            assert!(!is_new(world.submit(0, queue, number).await));
            let phase = world.phase_everywhere(queue, number).await;
            assert_eq!(phase, Some(Phase::Completed), "job {number} of {queue:?}");
        }
    }
    world.cluster.advance(5 * SECOND).await;
    for number in 1..=8 {
        assert_eq!(world.starts("bookings", number), 1);
        assert_eq!(world.starts("desks", number), 1);
    }
}

/// Guards against a job that is shown at a queue that it was not submitted to, while it runs, after it
/// has ended, and by the store alone.
#[tokio::test(start_paused = true)]
async fn job_is_known_at_its_own_queue_only() {
    let mut world = World::new().await;
    assert!(is_new(world.submit(0, QUOTES, 1).await));
    for queue in [DESK, NIGHTLY, ANNEX] {
        assert_eq!(world.phase_everywhere(queue, 1).await, None);
    }
    world.cluster.advance(5 * SECOND).await;
    world.restart().await;
    assert_eq!(
        world.phase_everywhere(QUOTES, 1).await,
        Some(Phase::Completed)
    );
    for queue in [DESK, NIGHTLY, ANNEX] {
        assert_eq!(world.phase_everywhere(queue, 1).await, None);
    }
    let owner = world.cluster.owner_of(0).expect("an owner");
    let at = NAMES.iter().position(|it| *it == owner);
    let at = at.expect("a process");
    let process = world.process(at);
    world.cluster.kill(process);
    let other = (at + 1) % 3;
    assert_eq!(world.phase(other, QUOTES, 1).await, Some(Phase::Completed));
    assert_eq!(world.phase(other, DESK, 1).await, None);
}

/// Guards against a DELETE at one queue that cancels the job of another.
#[tokio::test(start_paused = true)]
async fn cancellation_at_another_queue_has_no_effect() {
    let mut world = World::new().await;
    for queue in [DESK, NIGHTLY] {
        let number = if queue == DESK { 1 } else { 2 };
        assert!(is_new(world.submit(0, QUOTES, number).await));
        assert_eq!(world.cancel(1, queue, number).await, Cancelled::Unknown);
    }
    assert!(is_new(world.submit(0, QUOTES, 3).await));
    assert!(is_new(world.submit(0, DESK, 3).await));
    assert_eq!(world.cancel(1, DESK, 3).await, Cancelled::Known);
    world.cluster.advance(5 * SECOND).await;
    for number in 1..=3 {
        let phase = world.phase_everywhere(QUOTES, number).await;
        assert_eq!(phase, Some(Phase::Completed), "job {number}");
    }
    assert_eq!(
        world.phase_everywhere(DESK, 3).await,
        Some(Phase::Cancelled)
    );
}

/// Guards against two tasks with one name on the same runners: a runner would take the second for the
/// first.
#[tokio::test(start_paused = true)]
async fn number_of_a_queue_with_the_same_runners_is_refused() {
    let mut world = World::new().await;
    assert!(is_new(world.submit(0, QUOTES, 1).await));
    assert!(is_new(world.submit(1, DESK, 1).await));
    for (queue, number) in [(NIGHTLY, 1), (ANNEX, 1)] {
        let submitted = world.submit(2, queue, number).await;
        assert!(is_refused(&submitted), "{submitted:?}");
        assert_eq!(world.phase_everywhere(queue, number).await, None);
    }
    world.cluster.advance(10 * SECOND).await;
    world.restart().await;
    for queue in [NIGHTLY, ANNEX] {
        let submitted = world.submit(2, queue, 1).await;
        assert!(is_refused(&submitted), "{submitted:?}");
    }
    for queue in [QUOTES, DESK] {
        assert_eq!(
            world.phase_everywhere(queue, 1).await,
            Some(Phase::Completed)
        );
        assert_eq!(world.starts(queue.1, 1), 1);
    }
}

/// Guards against a later job that is forgotten, or run again, as the first one with its number is.
#[tokio::test(start_paused = true)]
async fn later_job_outlives_the_first_one() {
    let mut world = World::new().await;
    assert!(is_new(world.submit(0, QUOTES, 1).await));
    world.cluster.advance(120 * SECOND).await;
    assert!(is_new(world.submit(0, DESK, 1).await));
    world.cluster.advance(60 * SECOND).await;
    assert_eq!(
        world.phase_everywhere(DESK, 1).await,
        Some(Phase::Completed)
    );
    assert!(!is_new(world.submit(1, DESK, 1).await));
    let submitted = world.submit(2, ANNEX, 1).await;
    assert!(is_refused(&submitted), "{submitted:?}");
    world.cluster.advance(5 * SECOND).await;
    assert_eq!(world.starts("desks", 1), 1);
    world.cluster.advance(150 * SECOND).await;
    let keys = world.cluster.keys("ps/job/");
    assert!(keys.is_empty(), "{keys:?}");
}

/// The submission key of the first job with a number, in the only group.
fn key_of(number: u64) -> String {
    format!("ps/job/0/in/q/{}", JobId::new(number))
}

/// What the version before wrote: a job of one task of 500 ms, accepted at [`QUOTES`].
const OLD_ACCEPTED: &str = "02b4240671756f74657304776f726b000101e8076400f403000000000000000000000000\
                            0000010671756f74657310626f6f6b696e67732e6578616d706c65082f71756f7465732f\
                            08626f6f6b696e67730002000000000000004000";
/// The same without its queue, as still earlier versions wrote it.
const OLD_JOB: &str =
    "00b4240671756f74657304776f726b000101e8076400f4030000000000000000000000000000";
const OLD_TOMBSTONE: &str = "01";
/// A job that is completed.
const OLD_ENDED: &str = "0302";

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    let byte = |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok();
    digits.map(|it| byte(it).expect("hexadecimal")).collect()
}

/// Guards against jobs of the version before that are lost, run twice or mixed up after an update.
#[tokio::test(start_paused = true)]
async fn jobs_that_the_version_before_stored_are_known() {
    for (value, at_start) in [(OLD_ACCEPTED, true), (OLD_ACCEPTED, false), (OLD_JOB, true)] {
        let mut world = World::new().await;
        world.cluster.write_key(key_of(0x1234), bytes(value));
        if at_start {
            world.restart().await;
        }
        world.cluster.advance(5 * SECOND).await;
        assert!(!is_new(world.submit(0, QUOTES, 0x1234).await));
        assert!(is_new(world.submit(0, DESK, 0x1234).await));
        assert!(is_refused(&world.submit(0, NIGHTLY, 0x1234).await));
        world.cluster.advance(5 * SECOND).await;
        for queue in [QUOTES, DESK] {
            let phase = world.phase_everywhere(queue, 0x1234).await;
            assert_eq!(phase, Some(Phase::Completed));
            assert_eq!(world.starts(queue.1, 0x1234), 1);
        }
    }
    let mut world = World::new().await;
    world.cluster.write_key(key_of(1), bytes(OLD_ENDED));
    world.cluster.write_key(key_of(2), bytes(OLD_TOMBSTONE));
    world.restart().await;
    assert_eq!(
        world.phase_everywhere(QUOTES, 1).await,
        Some(Phase::Completed)
    );
    assert!(!is_new(world.submit(0, QUOTES, 1).await));
    world.submit(0, QUOTES, 2).await.ok();
    world.cluster.advance(5 * SECOND).await;
    assert_eq!(world.starts("bookings", 1) + world.starts("bookings", 2), 0);
}

const SEEDS: u64 = 8;

/// Callers of four queues use a few numbers at all processes, some of which are killed.
#[tokio::test(start_paused = true)]
async fn jobs_with_few_numbers_run_once_each_at_random() {
    for seed in 0..SEEDS {
        play(seed).await;
    }
}

async fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new().await;
    let mut accepted = BTreeSet::new();
    let mut cancelled = BTreeSet::new();
    let mut refused = BTreeSet::new();
    for step in 0..60 {
        let queue = *QUEUES.choose(&mut random).expect("a queue");
        let number = random.random_range(1..=5);
        let at = random.random_range(0..3);
        match random.random_range(0..10) {
            0 if step > 0 => world.restart().await,
            1 | 2 if accepted.contains(&(queue, number)) => {
                let known = world.cancel(at, queue, number).await;
                assert_eq!(known, Cancelled::Known, "seed {seed}");
                cancelled.insert((queue, number));
            }
            _ => {
                let submitted = world.submit(at, queue, number).await;
                let shares = |other: &&(Queue, u64)| {
                    other.0 != queue && other.0 .1 == queue.1 && other.1 == number
                };
                if accepted.iter().any(|it| shares(&it)) {
                    assert!(is_refused(&submitted), "seed {seed}: {submitted:?}");
                    refused.insert((queue, number));
                } else {
                    let is_first = accepted.insert((queue, number));
                    assert_eq!(is_new(submitted), is_first, "seed {seed}");
                }
            }
        }
        let pause_ms = random.random_range(0..1_500);
        world.cluster.advance(Duration::from_millis(pause_ms)).await;
    }
    world.cluster.advance(30 * SECOND).await;
    let mut starts = BTreeMap::new();
    for &(queue, number) in &accepted {
        let phase = world.phase_everywhere(queue, number).await;
        let count = world.starts(queue.1, number);
        starts.insert((queue, number), count);
        if cancelled.contains(&(queue, number)) {
            let has_ended = matches!(phase, Some(Phase::Cancelled | Phase::Completed));
            assert!(has_ended, "seed {seed}: {phase:?}");
        } else {
            assert_eq!(
                phase,
                Some(Phase::Completed),
                "seed {seed}: {queue:?} {number}"
            );
            assert!(
                count >= 1,
                "seed {seed}: {queue:?} {number} was not started"
            );
        }
    }
    for (queue, number) in refused {
        let phase = world.phase_everywhere(queue, number).await;
        assert_eq!(phase, None, "seed {seed}: {queue:?} {number}");
    }
    let others = QUEUES
        .into_iter()
        .flat_map(|it| (1..=5).map(move |at| (it, at)));
    for (queue, number) in others.filter(|it| !accepted.contains(it)) {
        let phase = world.phase_everywhere(queue, number).await;
        assert_eq!(phase, None, "seed {seed}: {queue:?} {number}");
    }
}
