//! An accepted job is run once and stays known, whatever happens around it.

use crate::platform::{phase, request, spec, submit, Cluster};
use persimmon_entry::{Accepted, Cancelled, Handle, Rejection};
use persimmon_sched::Phase;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::HashSet, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against jobs that never run after a takeover because their queue was removed meanwhile.
#[tokio::test(start_paused = true)]
async fn job_of_a_removed_queue_runs_after_a_takeover() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    for job in 1..=16 {
        let accepted = cluster
            .run_until(handles[0].submit(request(job), spec(4_000)))
            .await;
        accepted.expect("accepted");
    }
    cluster.write_policy(2, &[]);
    cluster.advance(SECOND).await;
    let rejected = cluster.run_until(handles[1].phase(request(1))).await;
    assert_eq!(rejected, Err(Rejection::NoQueue));
    let owner = cluster.owner_of(0).expect("an owner");
    cluster.kill(usize::from(owner == "two"));
    cluster.advance(30 * SECOND).await;
    for job in 1..=16 {
        assert_eq!(cluster.start_count(job), 1, "starts of job {job}");
    }
}

/// Guards against jobs that run again because their keys outlived their removal from memory.
#[tokio::test(start_paused = true)]
async fn expired_job_whose_keys_remain_does_not_run_again() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(500)))
        .await;
    accepted.expect("accepted");
    cluster.advance(125 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    cluster.state.store_is_down.set(true);
    cluster.advance(15 * SECOND).await;
    cluster.state.store_is_down.set(false);
    cluster.compact();
    cluster.advance(5 * SECOND).await;
    assert_eq!(cluster.start_count(1), 1);
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
}

/// Guards against answers that come after the caller has given up.
#[tokio::test(start_paused = true)]
async fn answers_come_before_the_callers_deadline_while_the_store_is_silent() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    let owner = cluster.owner_of(0).expect("an owner");
    let handle = &handles[usize::from(owner == "one")];
    let timeout = SECOND / 2;
    let mut request = request(1);
    request.timeout = Some(timeout);
    cluster.state.store_is_down.set(true);
    let started_at = tokio::time::Instant::now();
    let submitted = cluster
        .run_until(handle.submit(request.clone(), spec(100)))
        .await;
    assert_eq!(submitted, Err(Rejection::Unknown));
    assert!(started_at.elapsed() < timeout, "{:?}", started_at.elapsed());
    let started_at = tokio::time::Instant::now();
    let phase = cluster.run_until(handle.phase(request.clone())).await;
    assert!(matches!(phase, Err(Rejection::NotRun { .. })), "{phase:?}");
    assert!(started_at.elapsed() < timeout, "{:?}", started_at.elapsed());
    let started_at = tokio::time::Instant::now();
    request.path = crate::platform::PREFIX.to_owned();
    let waiting = cluster.run_until(handle.waiting(request)).await;
    assert!(
        matches!(waiting, Err(Rejection::NotRun { .. })),
        "{waiting:?}"
    );
    assert!(started_at.elapsed() < timeout, "{:?}", started_at.elapsed());
}

/// Guards against jobs that are accepted though the store did not take them: a submission names no
/// lease, so an answer about one comes from something else.
#[tokio::test(start_paused = true)]
async fn submission_is_not_accepted_on_an_answer_about_a_lease() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    cluster.state.denies_leases.set(true);
    let submitted = cluster
        .run_until(handle.submit(request(1), spec(100)))
        .await;
    assert_eq!(submitted, Err(Rejection::Unknown));
    let cancelled = cluster.run_until(handle.cancel(request(1))).await;
    assert_eq!(cancelled, Err(Rejection::Unknown));
}

const NAMES: [&str; 3] = ["one", "two", "three"];
const SEEDS: u64 = 8;
/// Processes that run on at all times; the others may be stopped, killed and started.
const PROCESSES_MIN: usize = 2;

/// Three processes that are stopped, killed and started while callers use them.
struct Soak {
    cluster: Cluster,
    random: ChaCha8Rng,
    /// The handle of each process and its number in the cluster.
    processes: [(Handle, usize); 3],
    accepted: Vec<u64>,
    completed: HashSet<u64>,
    next_job: u64,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let mut cluster = Cluster::new(&["a", "b", "c"]);
        let mut number = 0;
        let processes = NAMES.map(|name| {
            number += 1;
            (cluster.start(name), number - 1)
        });
        Self {
            cluster,
            random: ChaCha8Rng::seed_from_u64(seed),
            processes,
            accepted: Vec::new(),
            completed: HashSet::new(),
            next_job: 1,
        }
    }

    fn is_running(&self, at: usize) -> bool {
        self.cluster.processes[self.processes[at].1].is_some()
    }

    fn start(&mut self, at: usize) {
        let handle = self.cluster.start(NAMES[at]);
        self.processes[at] = (handle, self.cluster.processes.len() - 1);
    }

    /// Starts, stops or kills a process, or lets the store fail for a moment.
    async fn disturb(&mut self) {
        let at = self.random.random_range(0..NAMES.len());
        let running = self.processes.iter();
        let running = running
            .filter(|it| self.cluster.is_running_on(it.1))
            .count();
        if !self.is_running(at) {
            self.start(at);
            return;
        }
        match self.random.random_range(0..5) {
            0 | 1 if running > PROCESSES_MIN => self.cluster.stop(self.processes[at].1),
            2 if running > PROCESSES_MIN => self.cluster.kill(self.processes[at].1),
            3 => self.cluster.compact(),
            _ => {
                self.cluster.state.store_is_down.set(true);
                let time = SECOND.mul_f64(self.random.random());
                self.cluster.advance(time).await;
                self.cluster.state.store_is_down.set(false);
            }
        }
    }

    /// Submits a job at one process and asks for one at another.
    async fn call(&mut self) {
        let running = (0..NAMES.len()).filter(|&at| self.is_running(at));
        let running: Vec<_> = running.collect();
        let pick = |random: &mut ChaCha8Rng| running[random.random_range(0..running.len())];
        let handle = self.processes[pick(&mut self.random)].0.clone();
        let run_time_ms = self.random.random_range(50..3_000);
        let submitted = handle.submit(request(self.next_job), spec(run_time_ms));
        if self.cluster.run_until(submitted).await.is_ok() {
            self.accepted.push(self.next_job);
        }
        self.next_job += 1;
        if self.accepted.is_empty() {
            return;
        }
        let handle = self.processes[pick(&mut self.random)].0.clone();
        let job = self.accepted[self.random.random_range(0..self.accepted.len())];
        if let Ok(phase) = self.cluster.run_until(handle.phase(request(job))).await {
            self.check_phase(job, phase);
        }
    }

    fn check_phase(&mut self, job: u64, phase: Option<Phase>) {
        let phase = phase.unwrap_or_else(|| panic!("accepted job {job} is not known"));
        assert!(
            !matches!(phase, Phase::Failed | Phase::Cancelled),
            "job {job} is {phase:?}"
        );
        let was_completed = !self.completed.insert(job);
        if phase != Phase::Completed {
            assert!(!was_completed, "completed job {job} is {phase:?}");
            self.completed.remove(&job);
        }
    }

    /// Starts all processes and checks that all accepted jobs get done.
    async fn finish(&mut self) {
        // Processes that were stopped still drain.
        self.cluster.advance(5 * SECOND).await;
        let stopped: Vec<_> = (0..NAMES.len())
            .filter(|&at| !self.is_running(at))
            .collect();
        stopped.into_iter().for_each(|at| self.start(at));
        self.cluster.advance(60 * SECOND).await;
        for job in self.accepted.clone() {
            let handle = self.processes[job as usize % NAMES.len()].0.clone();
            let phase = phase(&mut self.cluster, &handle, job).await;
            assert_eq!(phase, Some(Phase::Completed), "job {job}");
        }
    }
}

/// Guards against accepted jobs that are not known, are shown as ended without cause or never run,
/// while processes are stopped, killed and started and the store fails for moments.
#[tokio::test(start_paused = true)]
async fn accepted_jobs_stay_known_through_restarts_and_outages() {
    for seed in 0..SEEDS {
        let mut soak = Soak::new(seed);
        soak.cluster.advance(2 * SECOND).await;
        for _ in 0..30 {
            soak.disturb().await;
            for _ in 0..8 {
                soak.call().await;
                let pause = SECOND.mul_f64(soak.random.random::<f64>() / 5.0);
                soak.cluster.advance(pause).await;
            }
        }
        soak.finish().await;
        println!("seed {seed}: {} accepted jobs", soak.accepted.len());
    }
}

/// Once a job has ended, the store keeps its phase in place of its specification.
#[tokio::test(start_paused = true)]
async fn ended_job_is_forgotten_or_run_again_after_a_takeover() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(4 * SECOND).await;
    for job in 1..=3 {
        submit(&mut cluster, &handles[0], job, 100).await;
    }
    submit(&mut cluster, &handles[0], 4, 60_000).await;
    cluster.advance(SECOND / 50).await;
    let cancelled = cluster.run_until(handles[1].cancel(request(4))).await;
    assert_eq!(cancelled, Ok(Cancelled::Known));
    cluster.advance(2 * SECOND).await;
    assert_eq!(cluster.keys("ps/job/0/st/"), Vec::<String>::new());
    assert_eq!(cluster.keys("ps/job/0/in/c/"), Vec::<String>::new());
    let owner = usize::from(cluster.owner_of(0).as_deref() == Some("two"));
    let check = async |cluster: &mut Cluster, handle: &Handle| {
        for job in 1..=3 {
            assert_eq!(phase(cluster, handle, job).await, Some(Phase::Completed));
            let again = cluster
                .run_until(handle.submit(request(job), spec(100)))
                .await;
            assert_eq!(again, Ok(Accepted { is_new: false }));
            let cancelled = cluster.run_until(handle.cancel(request(job))).await;
            assert_eq!(cancelled, Ok(Cancelled::Known));
        }
        assert_eq!(phase(cluster, handle, 4).await, Some(Phase::Cancelled));
    };
    check(&mut cluster, &handles[1 - owner]).await;
    cluster.kill(owner);
    check(&mut cluster, &handles[1 - owner]).await;
    cluster.advance(6 * SECOND).await;
    check(&mut cluster, &handles[1 - owner]).await;
    cluster.advance(2 * SECOND).await;
    let starts: Vec<_> = (1..=3).map(|job| cluster.start_count(job)).collect();
    assert_eq!(starts, [1, 1, 1]);
}
