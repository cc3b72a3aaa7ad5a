//! Jobs of as many tasks as are allowed. No part of the owner's work may take so long that its session
//! ends meanwhile, and no job waits for the tasks of another while there is room for both.

use crate::support::{job, listed, policy, report, starts, step, task, TestEngine};
use persimmon_sched::{
    Answer, End, EndKind, JobId, JobSpec, Queue, Report, RunStatus, Schedule, StepSpec, TaskId,
};
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// An owner's session ends 1.4 s after its last renewal, and the smallest usual instance has a quarter
/// of a core.
const PART_MAX: Duration = Duration::from_millis(1_400 / 4);
const RUNNERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const RUNNER_CPU_MILLIS: u32 = 32_000;
/// A job with nothing running counts as lost after 3 s, in which its start is written and carried out.
const STARTS_WITHIN_MS: u64 = 2_000;
/// Tasks that one step may have; a job may have four times as many.
const TASKS: u32 = 10_000;

/// A step of small tasks, 10,000 of which fit on a runner.
fn small(count: u32) -> StepSpec {
    StepSpec {
        size: Size {
            cpu_millis: 2,
            memory_mib: 4,
            accelerators: 0,
        },
        ..step(count)
    }
}

fn latency_critical(image: &str, count: u32) -> StepSpec {
    StepSpec {
        image: image.to_owned(),
        tail_target_ms: 100,
        long_running: true,
        ..small(count)
    }
}

fn best_effort(image: &str, count: u32) -> StepSpec {
    StepSpec {
        image: image.to_owned(),
        best_effort: true,
        ..small(count)
    }
}

/// Does a part of the owner's work; returns how long it takes.
fn time(work: impl FnOnce()) -> Duration {
    let started_at = Instant::now();
    work();
    started_at.elapsed()
}

/// The runners of a [`TestEngine`] that start what they are told to, and list what runs.
struct World {
    harness: TestEngine,
    running: BTreeMap<String, BTreeSet<(TaskId, u32)>>,
    /// Starts that a round carries out; the others wait.
    starts_per_round: usize,
    waiting: VecDeque<(String, TaskId, u32)>,
    longest_part: Duration,
}

impl World {
    const ROUND_MS: u64 = 100;

    fn new() -> Self {
        Self {
            harness: TestEngine::with_runners(&RUNNERS, RUNNER_CPU_MILLIS),
            running: BTreeMap::new(),
            starts_per_round: usize::MAX,
            waiting: VecDeque::new(),
            longest_part: Duration::ZERO,
        }
    }

    fn time(&mut self, work: impl FnOnce(&mut TestEngine)) {
        let started_at = Instant::now();
        work(&mut self.harness);
        self.longest_part = self.longest_part.max(started_at.elapsed());
    }

    fn submit(&mut self, spec: JobSpec) {
        self.time(|it| it.submit(spec));
    }

    /// Does all parts of the owner's work once.
    fn round(&mut self) {
        for id in RUNNERS {
            let runs = self.running.get(id).into_iter().flatten();
            let runs = runs.map(|&(task, run)| listed(task, run)).collect();
            self.time(|it| it.report(id, runs));
        }
        let wall_ms = self.harness.clock_ms();
        self.time(|it| it.engine.settle(wall_ms, it.now));
        self.time(|it| it.engine.place(wall_ms, it.now));
        let mut commits = Vec::new();
        self.time(|it| commits = it.engine.take_commits(15));
        self.time(|it| {
            for commit in commits {
                let revision = commit.revision + 1;
                it.engine
                    .handle_commit(commit.job, commit.version, revision);
            }
        });
        let ordered = starts(&self.harness.engine.take_orders());
        self.waiting.extend(ordered);
        let carried_out = self.starts_per_round.min(self.waiting.len());
        for (runner, task, run) in self.waiting.drain(..carried_out) {
            self.harness.answer_start(task, run, Answer::Started);
            self.running.entry(runner).or_default().insert((task, run));
        }
        self.time(|it| {
            it.engine.stalled(Duration::from_secs(4), it.now);
            it.engine.load(it.now);
        });
        self.harness.advance(Self::ROUND_MS);
    }

    /// Number of runs of a job.
    fn running(&self, job: u64) -> usize {
        let runs = self.running.values().flatten();
        runs.filter(|(task, _)| task.job == JobId::new(job)).count()
    }

    #[track_caller]
    fn assert_parts_end_in_time(&self) {
        let longest = self.longest_part;
        assert!(longest < PART_MAX, "{longest:?}");
    }

    /// Plays rounds until so many tasks of a job run; returns after how long.
    #[track_caller]
    fn runs_after_ms(&mut self, job: u64, tasks: usize) -> u64 {
        const ROUNDS_MAX: u64 = 600;
        for round in 0..ROUNDS_MAX {
            if self.running(job) >= tasks {
                return round * Self::ROUND_MS;
            }
            self.round();
        }
        panic!("{} tasks of job {job} run", self.running(job));
    }
}

/// Guards against passes whose looks at a runner take longer the more claims there are on it.
#[test]
fn large_latency_critical_job_is_placed_in_time() {
    let mut world = World::new();
    world.submit(job(1, vec![latency_critical("i", TASKS); 3]));
    world.runs_after_ms(1, 3 * TASKS as usize);
    world.assert_parts_end_in_time();
}

/// Guards against passes that count the tasks of a step for each of them.
#[test]
fn large_steps_with_a_limit_for_each_runner_are_placed_in_time() {
    let mut world = World::new();
    let limited = StepSpec {
        per_runner_max: TASKS / 2,
        ..small(TASKS)
    };
    let rack_local = StepSpec {
        rack_local: true,
        ..small(TASKS)
    };
    world.submit(job(1, vec![limited.clone(), rack_local, limited]));
    world.runs_after_ms(1, 3 * TASKS as usize);
    world.assert_parts_end_in_time();
}

/// Guards against passes, and restarts of owners, that go through all members for each of them.
#[test]
fn large_gangs_are_placed_in_time() {
    let mut world = World::new();
    let gang = StepSpec {
        gang: true,
        ..small(TASKS)
    };
    let mut nowhere = gang.clone();
    nowhere.size.cpu_millis = 100;
    world.submit(job(1, vec![gang.clone(), nowhere, gang]));
    world.runs_after_ms(1, 2 * TASKS as usize);
    world.assert_parts_end_in_time();
}

/// Guards against jobs that wait until all members of a large gang, which are placed together, have
/// started.
#[test]
fn small_job_is_placed_while_a_large_gang_starts() {
    let mut world = World::new();
    world.starts_per_round = 0;
    let gang = StepSpec {
        gang: true,
        ..small(TASKS)
    };
    world.submit(job(1, vec![gang]));
    for _ in 0..3 {
        world.round();
    }
    world.submit(job(2, vec![step(1)]));
    for _ in 0..3 {
        world.round();
    }
    let is_placed = world.waiting.iter().any(|it| it.1 == task(2, 0, 0));
    assert!(is_placed, "it waits for {} starts", world.waiting.len());
}

/// Guards against passes that go through all tasks of a job for each of its steps.
#[test]
fn jobs_of_many_steps_that_fit_nowhere_do_not_hold_up_others() {
    let mut world = World::new();
    let mut nowhere = best_effort("i", 40);
    nowhere.size.cpu_millis = 2 * RUNNER_CPU_MILLIS;
    for id in 1..=6 {
        world.submit(job(id, vec![nowhere.clone(); 1_000]));
    }
    for _ in 0..30 {
        world.round();
    }
    world.submit(job(100, vec![step(1)]));
    assert!(world.runs_after_ms(100, 1) <= STARTS_WITHIN_MS);
    world.assert_parts_end_in_time();
}

/// Guards against passes that go through all claims, or all demands seen before, for each step.
#[test]
fn job_whose_steps_have_images_of_their_own_is_placed_in_time() {
    let mut world = World::new();
    let steps = (0..1_000).map(|at| {
        let image = format!("i{at}");
        if at % 2 == 0 {
            latency_critical(&image, 40)
        } else {
            best_effort(&image, 40)
        }
    });
    world.submit(job(1, steps.collect()));
    world.submit(job(2, vec![step(1)]));
    for _ in 0..100 {
        world.round();
    }
    assert_eq!(world.running(2), 1);
    assert!(world.running(1) > 10_000, "{}", world.running(1));
    world.assert_parts_end_in_time();
}

/// Guards against small jobs that wait until all tasks of a large one have started, which takes half
/// a minute here.
#[test]
fn small_jobs_start_beside_a_large_one() {
    for large in [
        small(TASKS),
        latency_critical("i", TASKS),
        best_effort("i", TASKS),
    ] {
        let mut world = World::new();
        world.starts_per_round = 100;
        world.submit(job(1, vec![large; 3]));
        for id in 2..20 {
            for _ in 0..5 {
                world.round();
            }
            world.submit(JobSpec {
                submitted_at_ms: world.harness.clock_ms(),
                ..job(id, vec![step(1)])
            });
            let after_ms = world.runs_after_ms(id, 1);
            assert!(
                after_ms <= STARTS_WITHIN_MS,
                "job {id} runs after {after_ms} ms"
            );
        }
        assert!(world.running(1) > 5_000, "{}", world.running(1));
        world.assert_parts_end_in_time();
    }
}

/// Guards against commits of which each holds the tasks of many large jobs.
#[test]
fn records_of_many_large_jobs_are_made_in_time() {
    let mut world = World::new();
    for id in 1..=15 {
        world.submit(job(id, vec![small(TASKS); 4]));
    }
    for _ in 0..30 {
        world.round();
    }
    world.assert_parts_end_in_time();
    for id in 1..=15 {
        assert!(world.running(id) > 0, "nothing of job {id} runs");
    }
}

/// Guards against jobs of a less urgent queue that wait while a large job of another one starts.
#[test]
fn less_urgent_jobs_start_beside_a_large_one() {
    let mut world = World::new();
    world.starts_per_round = 100;
    let mut policy = policy();
    policy.version += 1;
    policy.queues.push(Queue {
        name: "less urgent".to_owned(),
        priority: 3,
        ..policy.queues[0].clone()
    });
    world.harness.engine.configure(policy);
    world.submit(job(1, vec![small(TASKS); 4]));
    for id in 2..10 {
        world.submit(JobSpec {
            queue: "less urgent".to_owned(),
            ..job(id, vec![step(1)])
        });
        let after_ms = world.runs_after_ms(id, 1);
        assert!(
            after_ms <= STARTS_WITHIN_MS,
            "job {id} runs after {after_ms} ms"
        );
    }
    world.assert_parts_end_in_time();
}

/// Guards against failures of which each goes through the tasks of the step: the owner lost its
/// session while it counted them.
#[test]
fn failures_of_a_large_step_are_counted_in_time() {
    let mut world = World::new();
    world.submit(job(1, vec![small(TASKS)]));
    world.runs_after_ms(1, TASKS as usize);
    let clock_ms = world.harness.clock_ms();
    for id in RUNNERS {
        let runs = world.running.remove(id).unwrap_or_default();
        let ended = runs.into_iter().zip(1..).map(|((task, run), number)| End {
            number,
            task,
            run,
            kind: EndKind::Failed,
            checkpoint: String::new(),
        });
        let ended: Vec<_> = ended.collect();
        // A runner lists as many ends at a time.
        for part in ended.chunks(500) {
            let report = Report {
                ended: part.to_vec(),
                has_more_ends: true,
                ..report(clock_ms, Vec::new())
            };
            world.time(|it| it.engine.handle_report(id, &report, it.now, it.now));
        }
    }
    world.assert_parts_end_in_time();
}

/// Guards against ends of which each goes through all steps and occurrences of the job.
#[test]
fn ends_of_a_job_of_many_steps_are_handled_in_time() {
    let mut world = World::new();
    let steps = (0..400).map(|at| StepSpec {
        after: (0..at).collect(),
        ..small(1)
    });
    world.submit(JobSpec {
        schedule: Some(Schedule {
            first_at_ms: 0,
            interval_ms: 1,
            count: 100,
        }),
        ..job(1, steps.collect())
    });
    let mut ends = BTreeMap::<String, Vec<End>>::new();
    for _ in 0..20 {
        world.round();
        for (id, runs) in std::mem::take(&mut world.running) {
            let ended = ends.entry(id.clone()).or_default();
            ended.extend(runs.into_iter().zip(ended.len() as u64 + 1..).map(
                |((task, run), number)| End {
                    number,
                    task,
                    run,
                    kind: EndKind::Done,
                    checkpoint: String::new(),
                },
            ));
            let report = Report {
                ended: ended.clone(),
                ..report(world.harness.clock_ms(), Vec::new())
            };
            world.time(|it| it.engine.handle_report(&id, &report, it.now, it.now));
        }
    }
    let ended: usize = ends.values().map(Vec::len).sum();
    assert!(ended >= 1_500, "{ended} tasks are done");
    world.assert_parts_end_in_time();
}

/// Guards against reports whose handling takes longer than they are long: each tail latency was sought
/// among all, and compared with each best-effort run.
#[test]
fn report_of_many_runs_that_interfere_is_handled_in_time() {
    let mut harness = TestEngine::with_runners(&RUNNERS[..1], RUNNER_CPU_MILLIS);
    let steps = vec![latency_critical("i", TASKS), best_effort("j", TASKS)];
    harness.submit(job(1, steps));
    let ids = (0..2).flat_map(|step| (0..TASKS as u16).map(move |at| task(1, step, at)));
    let measured = ids.map(|id| RunStatus {
        // Latency-critical tasks are over their target.
        measurement: if id.step == 0 { 110 } else { 2 },
        percent: 100,
        ..listed(id, 1)
    });
    let running: Vec<_> = measured.collect();
    for _ in 0..10 {
        harness.round();
        harness.report("a", running.clone());
        harness.advance(100);
    }
    let duration = time(|| harness.report("a", running));
    assert!(duration < PART_MAX, "{duration:?}");
}
