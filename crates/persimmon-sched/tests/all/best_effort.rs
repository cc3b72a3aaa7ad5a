//! Best-effort tasks run within a bound, beside latency-critical tasks that they may slow down.

use crate::support::{job, report, runner, size, step, task, TestEngine};
use persimmon_sched::{
    Answer, End, EndKind, JobId, JobSpec, Learned, Order, Phase, RunStatus, StepSpec, TaskId,
};
use std::{collections::VecDeque, time::Duration};

/// Time within which a task runs while there are no faults and a runner has room for it.
const PLACED_WITHIN_MS: u64 = 3_000;
/// Time for which the tail latency of a task may be over its target because of best-effort work.
const HARM_MAX_MS: u64 = 4_000;
const ROUND_MS: u64 = 100;
/// Rounds between two reports of a runner.
const REPORT_ROUNDS: u64 = 3;
/// Rounds that a measurement covers.
const MEASURED_ROUNDS: usize = 5;
const TARGET_MS: u64 = 1_000;
const RUNNER_CPU_MILLIS: u32 = 10_000;
/// Largest weight that is learned.
const WEIGHT_MAX: f64 = 12.0;

fn serving_step() -> StepSpec {
    StepSpec {
        image: "serving".to_owned(),
        tail_target_ms: TARGET_MS,
        long_running: true,
        per_runner_max: 1,
        ..step(1)
    }
}

fn best_effort(count: u32, cpu_millis: u32) -> StepSpec {
    StepSpec {
        image: "batch".to_owned(),
        best_effort: true,
        size: size(cpu_millis),
        ..step(count)
    }
}

struct Run {
    task: TaskId,
    run: u32,
    percent: u64,
    cpu_millis: u32,
    /// Time until it is done at full use.
    left_ms: Option<u64>,
}

impl Run {
    fn used_millis(&self) -> u64 {
        u64::from(self.cpu_millis) * self.percent / 100
    }
}

/// A runner whose tail latencies rise with the processor use of best-effort runs.
struct Worker {
    id: String,
    runs: Vec<Run>,
    ends: Vec<End>,
    /// Ratio of tail latency to target without best-effort work.
    own_ratio: f64,
    /// Ratio and best-effort use in the latest rounds.
    measured: VecDeque<(f64, u64)>,
    fails_all: bool,
    /// For how long a tail has been over its target because of best-effort work.
    harm_ms: u64,
    harm_most_ms: u64,
}

struct Fleet {
    harness: TestEngine,
    workers: Vec<Worker>,
    /// Logarithm of the rise of the tails by best-effort work that uses all processors.
    weight: f64,
    /// Run time of best-effort tasks at full use.
    run_ms: u64,
    rounds: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut harness = TestEngine::new();
        let worker = |at| Worker {
            id: format!("w{at}"),
            runs: Vec::new(),
            ends: Vec::new(),
            own_ratio: 0.5,
            measured: VecDeque::new(),
            fails_all: false,
            harm_ms: 0,
            harm_most_ms: 0,
        };
        let workers: Vec<_> = (0..count).map(worker).collect();
        for worker in &workers {
            harness.add_runner(&worker.id, RUNNER_CPU_MILLIS);
        }
        Self {
            harness,
            workers,
            weight: 0.0,
            run_ms: 1_000,
            rounds: 0,
        }
    }

    /// As [`Self::new`], with a latency-critical task on each runner.
    fn serving(count: usize) -> Self {
        let mut fleet = Self::new(count);
        for at in 0..count {
            let label = format!("w{at}");
            let mut info = runner(&label, RUNNER_CPU_MILLIS);
            info.labels.push(label.clone());
            fleet.harness.engine.update_runner(info, fleet.harness.now);
            let serving = StepSpec {
                constraint: Some(label),
                ..serving_step()
            };
            fleet.harness.submit(job(1_000 + at as u64, vec![serving]));
        }
        fleet.rounds(1_000);
        assert!(fleet.workers.iter().all(|it| it.runs.len() == 1));
        fleet
    }

    fn restore_weight(&mut self, weight: f64) {
        let weight = ("serving".to_owned(), "batch".to_owned(), weight);
        self.harness.engine.restore_learned(Learned {
            interference_weights: vec![weight],
            ..Learned::default()
        });
    }

    fn rounds(&mut self, ms: u64) {
        for _ in 0..ms / ROUND_MS {
            self.round();
        }
    }

    fn round(&mut self) {
        self.harness.advance(ROUND_MS);
        self.rounds += 1;
        for at in 0..self.workers.len() {
            let weight = self.weight;
            self.workers[at].work(weight);
            if self.rounds % REPORT_ROUNDS == at as u64 % REPORT_ROUNDS {
                self.report(at);
            }
        }
        for order in self.harness.round() {
            self.execute(order);
        }
    }

    fn report(&mut self, at: usize) {
        let worker = &self.workers[at];
        let rounds = worker.measured.len().max(1);
        let tail: f64 = worker.measured.iter().map(|it| it.0).sum::<f64>() / rounds as f64;
        let status = |run: &Run| RunStatus {
            task: run.task,
            run: run.run,
            checkpoint: String::new(),
            measurement: if run.task.job.number >= 1_000 {
                (tail * TARGET_MS as f64) as u64
            } else {
                run.used_millis()
            },
            percent: run.percent as u8,
        };
        let mut report = report(
            self.harness.clock_ms(),
            worker.runs.iter().map(status).collect(),
        );
        report.ended.clone_from(&worker.ends);
        let (id, now) = (worker.id.clone(), self.harness.now);
        self.harness.engine.lease_deadline_ms(&id, now);
        self.harness.engine.handle_report(&id, &report, now, now);
    }

    fn execute(&mut self, order: Order) {
        let now = self.harness.now;
        let runner = order.runner().to_owned();
        let found = self.workers.iter_mut().find(|it| it.id == runner);
        let worker = found.expect("a known runner");
        match order {
            Order::Start { task, run, job, .. } => {
                let step = &job.steps[usize::from(task.step)];
                worker.runs.push(Run {
                    task,
                    run,
                    percent: 100,
                    cpu_millis: step.size.cpu_millis,
                    left_ms: (!step.long_running).then_some(self.run_ms),
                });
                let engine = &mut self.harness.engine;
                engine.handle_start_answer(task, run, Answer::Started, now);
            }
            Order::Stop { task, run, .. } => {
                worker.runs.retain(|it| (it.task, it.run) != (task, run));
                self.harness.engine.handle_stop_answer(task, run, now);
            }
            Order::Throttle {
                task, run, percent, ..
            } => {
                let mut runs = worker.runs.iter_mut();
                if let Some(it) = runs.find(|it| (it.task, it.run) == (task, run)) {
                    it.percent = u64::from(percent);
                }
                let engine = &mut self.harness.engine;
                engine.handle_throttle_answer(task, run, percent, now);
            }
        }
    }

    fn is_running(&self, id: TaskId) -> bool {
        let mut runs = self.workers.iter().flat_map(|it| &it.runs);
        runs.any(|it| it.task == id)
    }

    fn runs_of(&self, job: u64) -> usize {
        let runs = self.workers.iter().flat_map(|it| &it.runs);
        runs.filter(|it| it.task.job == JobId::new(job)).count()
    }

    fn phase(&self, id: u64) -> Option<Phase> {
        self.harness.engine.phase(JobId::new(id))
    }

    fn harm_most_ms(&self) -> u64 {
        let each = self.workers.iter().map(|it| it.harm_most_ms);
        each.max().unwrap_or(0)
    }
}

impl Worker {
    /// Lets its runs go on for a round.
    fn work(&mut self, weight: f64) {
        let is_serving = |run: &&Run| run.task.job.number >= 1_000;
        let batch_runs = self.runs.iter().filter(|it| !is_serving(it));
        let used: u64 = batch_runs.map(Run::used_millis).sum();
        let share = used as f64 / f64::from(RUNNER_CPU_MILLIS);
        let ratio = self.own_ratio * (weight * share).exp();
        self.measured.push_back((ratio, used));
        if self.measured.len() > MEASURED_ROUNDS {
            self.measured.pop_front();
        }
        let is_harmed = ratio > 1.0 && self.own_ratio < 1.0 && used > 0;
        self.harm_ms = if is_harmed {
            self.harm_ms + ROUND_MS
        } else {
            0
        };
        self.harm_most_ms = self.harm_most_ms.max(self.harm_ms);
        let fails_all = self.fails_all;
        let mut ended = Vec::new();
        self.runs.retain_mut(|run| {
            let Some(left_ms) = &mut run.left_ms else {
                return true;
            };
            *left_ms = left_ms.saturating_sub(ROUND_MS * run.percent / 100);
            let ends = fails_all || *left_ms == 0;
            if ends {
                ended.push((run.task, run.run));
            }
            !ends
        });
        for (task, run) in ended {
            self.ends.push(End {
                number: self.ends.len() as u64 + 1,
                task,
                run,
                kind: if fails_all {
                    EndKind::Failed
                } else {
                    EndKind::Done
                },
                checkpoint: String::new(),
            });
        }
    }
}

#[test]
fn weight_that_is_too_high_does_not_keep_an_image_off_all_runners() {
    let mut fleet = Fleet::serving(3);
    fleet.restore_weight(WEIGHT_MAX);
    fleet.harness.submit(job(1, vec![best_effort(1, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    let ran = fleet.is_running(task(1, 0, 0)) || fleet.phase(1) == Some(Phase::Completed);
    assert!(ran);
}

/// Each run shows that the image does not interfere.
#[test]
fn weight_that_is_too_high_is_corrected_by_runs_of_the_image() {
    let mut fleet = Fleet::serving(3);
    fleet.restore_weight(WEIGHT_MAX);
    fleet.harness.submit(job(1, vec![best_effort(30, 3_000)]));
    fleet.rounds(60_000);
    assert_eq!(fleet.phase(1), Some(Phase::Completed));
}

#[test]
fn trials_of_an_image_that_interferes_harm_no_tail_for_long() {
    for checkpointing in [false, true] {
        let mut fleet = Fleet::serving(3);
        fleet.run_ms = 3_000;
        fleet.weight = 4.0;
        for id in 1..=10 {
            let batch = StepSpec {
                checkpointing,
                ..best_effort(4, 3_000)
            };
            fleet.harness.submit(job(id, vec![batch]));
        }
        fleet.rounds(60_000);
        let harm_ms = fleet.harm_most_ms();
        assert!(harm_ms < HARM_MAX_MS, "{harm_ms} ms");
    }
}

/// Reserved processor time is left to best-effort work while it is not used.
#[test]
fn reserved_but_idle_processors_do_not_shut_best_effort_work_out() {
    let mut fleet = Fleet::new(1);
    let reserving = StepSpec {
        long_running: true,
        size: size(RUNNER_CPU_MILLIS),
        ..step(1)
    };
    fleet.harness.submit(job(1, vec![reserving]));
    fleet.rounds(1_000);
    fleet.workers[0].runs[0].percent = 1;
    fleet.rounds(1_000);
    fleet.harness.submit(job(2, vec![best_effort(1, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    assert!(fleet.is_running(task(2, 0, 0)) || fleet.phase(2) == Some(Phase::Completed));
}

#[test]
fn best_effort_task_that_asks_for_more_than_a_runner_has_runs_on_what_is_idle() {
    let mut fleet = Fleet::serving(2);
    let large = best_effort(1, 2 * RUNNER_CPU_MILLIS);
    fleet.harness.submit(job(1, vec![large]));
    fleet.rounds(PLACED_WITHIN_MS);
    assert!(fleet.is_running(task(1, 0, 0)) || fleet.phase(1) == Some(Phase::Completed));
}

#[test]
fn tail_over_its_target_without_best_effort_work_does_not_shut_it_out() {
    let mut fleet = Fleet::serving(3);
    for worker in &mut fleet.workers {
        worker.own_ratio = 1.3;
    }
    fleet.rounds(2_000);
    fleet.harness.submit(job(1, vec![best_effort(1, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    let ran = fleet.is_running(task(1, 0, 0)) || fleet.phase(1) == Some(Phase::Completed);
    assert!(ran);
}

#[test]
fn run_beside_a_tail_over_its_target_without_it_is_not_paused_for_ever() {
    for own_ratio in [0.9, 0.97, 1.3] {
        let mut fleet = Fleet::serving(1);
        fleet.restore_weight(0.0);
        fleet.run_ms = 5_000;
        fleet.harness.submit(job(1, vec![best_effort(1, 3_000)]));
        fleet.rounds(1_000);
        assert!(fleet.is_running(task(1, 0, 0)));
        fleet.weight = 1.0;
        fleet.workers[0].own_ratio = 1.3;
        fleet.rounds(5_000);
        fleet.workers[0].own_ratio = own_ratio;
        fleet.rounds(120_000);
        assert_eq!(fleet.phase(1), Some(Phase::Completed), "{own_ratio}");
        assert!(fleet.harm_most_ms() < HARM_MAX_MS, "{own_ratio}");
    }
}

/// The tail was over its target without best-effort work, then only with it.
#[test]
fn best_effort_work_gives_way_once_a_tail_would_be_under_its_target_without_it() {
    for rounds_over in 0..40 {
        let mut fleet = Fleet::serving(2);
        fleet.run_ms = 600_000;
        fleet.weight = 3.0;
        for worker in &mut fleet.workers {
            worker.own_ratio = 1.3;
        }
        fleet.rounds(2_000);
        fleet.harness.submit(job(1, vec![best_effort(4, 3_000)]));
        fleet.rounds(4_000 + rounds_over * ROUND_MS);
        for worker in &mut fleet.workers {
            worker.own_ratio = 0.8;
        }
        fleet.rounds(20_000);
        let harm_ms = fleet.harm_most_ms();
        assert!(harm_ms < HARM_MAX_MS, "{harm_ms} ms after {rounds_over}");
    }
}

#[test]
fn job_is_not_starved_by_more_urgent_jobs_that_use_all_idle_processors() {
    let mut fleet = Fleet::new(2);
    for id in 1..=60 {
        fleet.harness.submit(job(id, vec![best_effort(10, 3_000)]));
    }
    fleet.rounds(1_000);
    fleet.harness.submit(job(900, vec![best_effort(2, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    assert!(fleet.runs_of(900) > 0 || fleet.phase(900) == Some(Phase::Completed));
    assert!(fleet.runs_of(900) < 2, "the others go first");
}

/// A runner that fails all it starts is the one with the most idle processors.
#[test]
fn failed_task_does_not_go_back_to_a_runner_that_fails_all_it_starts() {
    let mut fleet = Fleet::new(20);
    fleet.workers[7].fails_all = true;
    for (at, worker) in fleet.workers.iter().enumerate().filter(|it| it.0 != 7) {
        let label = worker.id.clone();
        let mut info = runner(&label, RUNNER_CPU_MILLIS);
        info.labels.push(label.clone());
        fleet.harness.engine.update_runner(info, fleet.harness.now);
        let busy = StepSpec {
            long_running: true,
            constraint: Some(label),
            ..step(1)
        };
        fleet.harness.submit(job(100 + at as u64, vec![busy]));
    }
    fleet.rounds(1_000);
    let mut failed = Vec::new();
    for id in 1..=40 {
        fleet.harness.submit(job(id, vec![best_effort(2, 1_000)]));
        fleet.rounds(500);
    }
    fleet.rounds(10_000);
    failed.extend((1..=40).filter(|&id| fleet.phase(id) != Some(Phase::Completed)));
    assert!(failed.is_empty(), "jobs {failed:?} are not completed");
}

#[test]
fn starved_job_waits_again_after_each_of_its_runs() {
    let mut fleet = Fleet::new(2);
    for id in 1..=60 {
        fleet.harness.submit(job(id, vec![best_effort(10, 3_000)]));
    }
    fleet.rounds(1_000);
    fleet.harness.submit(job(900, vec![best_effort(20, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    let mut idle_ms = 0;
    for _ in 0..100 {
        fleet.round();
        idle_ms = if fleet.runs_of(900) > 0 {
            0
        } else {
            idle_ms + ROUND_MS
        };
        assert!(idle_ms < 1_000);
    }
}

/// A best-effort job of an image of its own that is taken to interfere.
fn held_back_job(fleet: &mut Fleet, id: u64, batch: StepSpec) -> JobSpec {
    let image = format!("batch-{id}");
    let weight = ("serving".to_owned(), image.clone(), WEIGHT_MAX);
    fleet.harness.engine.restore_learned(Learned {
        interference_weights: vec![weight],
        ..Learned::default()
    });
    job(id, vec![StepSpec { image, ..batch }])
}

/// Each runner is the only place to learn about one image at a time.
#[test]
fn waiting_images_are_tried_as_soon_as_those_before_them_are_measured() {
    const MEASURED_WITHIN_MS: u64 = 1_500;
    let mut fleet = Fleet::serving(3);
    for id in 1..=9 {
        let spec = held_back_job(&mut fleet, id, best_effort(1, 3_000));
        fleet.harness.submit(spec);
    }
    fleet.rounds(PLACED_WITHIN_MS + 2 * MEASURED_WITHIN_MS);
    let has_run =
        |id: &u64| fleet.is_running(task(*id, 0, 0)) || fleet.phase(*id) == Some(Phase::Completed);
    let waiting: Vec<_> = (1..=9).filter(|id| !has_run(id)).collect();
    assert!(waiting.is_empty(), "jobs {waiting:?} have not run");
}

#[test]
fn trials_of_images_that_only_interfere_together_harm_no_tail_for_long() {
    let mut fleet = Fleet::serving(3);
    fleet.run_ms = 10_000;
    fleet.weight = 3.0;
    for id in 1..=20 {
        let spec = held_back_job(&mut fleet, id, best_effort(2, 1_500));
        fleet.harness.submit(spec);
    }
    fleet.rounds(60_000);
    let harm_ms = fleet.harm_most_ms();
    assert!(harm_ms > 0, "the images do interfere");
    assert!(harm_ms < HARM_MAX_MS, "{harm_ms} ms");
}

/// A runner has one trial at a time, and more urgent jobs than that ask for one.
#[test]
fn trial_of_a_job_is_not_put_off_for_good_by_more_urgent_jobs() {
    const QUEUED_TRIALS_MS: u64 = 12_000;
    let mut fleet = Fleet::serving(3);
    fleet.run_ms = 3_000;
    fleet.weight = 4.0;
    fleet.restore_weight(4.0);
    fleet.harness.submit(job(900, vec![best_effort(1, 3_000)]));
    for id in 1..=3 {
        fleet.harness.submit(job(id, vec![best_effort(1, 3_000)]));
    }
    for id in 4..200 {
        fleet.harness.submit(job(id, vec![best_effort(1, 3_000)]));
        fleet.rounds(300);
        if fleet.is_running(task(900, 0, 0)) {
            break;
        }
        assert!(fleet.rounds < QUEUED_TRIALS_MS / ROUND_MS);
    }
}

/// An evicted run starts from nothing until its first checkpoint.
#[test]
fn run_that_interferes_everywhere_is_not_evicted_for_good_before_its_first_checkpoint() {
    let mut fleet = Fleet::serving(3);
    fleet.run_ms = 5_000;
    fleet.weight = 4.0;
    let batch = StepSpec {
        checkpointing: true,
        ..best_effort(1, 3_000)
    };
    fleet.harness.submit(job(1, vec![batch]));
    fleet.rounds(60_000);
    assert_eq!(fleet.phase(1), Some(Phase::Completed));
    let harm_ms = fleet.harm_most_ms();
    assert!(harm_ms < HARM_MAX_MS, "{harm_ms} ms");
}

#[test]
fn job_does_not_wait_for_the_end_of_a_pause_after_a_harmful_trial_that_has_ended() {
    let mut fleet = Fleet::serving(1);
    fleet.run_ms = 500;
    fleet.weight = 4.0;
    fleet.restore_weight(WEIGHT_MAX);
    fleet.harness.submit(job(1, vec![best_effort(1, 3_000)]));
    fleet.rounds(1_500);
    fleet.harness.submit(job(2, vec![best_effort(1, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    assert_eq!(fleet.phase(1), Some(Phase::Completed));
    assert!(fleet.harm_most_ms() > 0, "the first trial did harm");
    assert!(fleet.is_running(task(2, 0, 0)) || fleet.phase(2) == Some(Phase::Completed));
}

/// The jobs that are submitted use less than half of the processors.
const SUBMIT_INTERVAL_MS: u64 = 200;
/// Time in which a job that is held back runs beside others that are.
const STARVED_MAX_MS: u64 = 30_000;

#[test]
fn held_back_job_is_not_starved_by_trials_of_more_urgent_ones() {
    let mut fleet = Fleet::serving(3);
    let batch = best_effort(1, 2_000);
    let waits_from = PLACED_WITHIN_MS / SUBMIT_INTERVAL_MS;
    let mut has_run = false;
    for id in 1..=waits_from + STARVED_MAX_MS / SUBMIT_INTERVAL_MS {
        let spec = held_back_job(&mut fleet, id, batch.clone());
        fleet.harness.submit(spec);
        if id == waits_from {
            let spec = held_back_job(&mut fleet, 999, batch.clone());
            fleet.harness.submit(JobSpec {
                submitted_at_ms: 1_000,
                ..spec
            });
        }
        fleet.rounds(SUBMIT_INTERVAL_MS);
        has_run |= fleet.is_running(task(999, 0, 0));
    }
    assert!(has_run, "nothing of it ran for {STARVED_MAX_MS} ms");
}

/// Each of its members needs a runner without another trial.
#[test]
fn held_back_gang_is_not_starved_by_trials_of_less_urgent_tasks() {
    let mut fleet = Fleet::serving(3);
    let batch = best_effort(1, 1_000);
    for id in 1..=10 {
        let spec = held_back_job(&mut fleet, id, batch.clone());
        fleet.harness.submit(spec);
    }
    fleet.rounds(PLACED_WITHIN_MS);
    let gang = StepSpec {
        gang: true,
        per_runner_max: 1,
        ..best_effort(3, 1_000)
    };
    let spec = held_back_job(&mut fleet, 900, gang);
    fleet.harness.submit(spec);
    let mut has_run = false;
    for at in 1..=STARVED_MAX_MS / SUBMIT_INTERVAL_MS {
        let spec = held_back_job(&mut fleet, 10 + at, batch.clone());
        fleet.harness.submit(JobSpec {
            submitted_at_ms: 1_000,
            ..spec
        });
        fleet.rounds(SUBMIT_INTERVAL_MS);
        has_run |= fleet.runs_of(900) == 3;
    }
    assert!(has_run, "it did not run for {STARVED_MAX_MS} ms");
}

/// More jobs than runners, beside tails over their target without best-effort work, and beside tails
/// that it harms.
#[test]
fn jobs_of_which_nothing_runs_do_not_wait_for_trials_of_others() {
    for (own_ratio, weight) in [(1.3, 0.0), (0.5, 4.0)] {
        let mut fleet = Fleet::serving(3);
        fleet.weight = weight;
        fleet.run_ms = 10_000;
        for worker in &mut fleet.workers {
            worker.own_ratio = own_ratio;
        }
        fleet.rounds(6_000);
        for id in 1..=12 {
            fleet.harness.submit(job(id, vec![best_effort(1, 3_000)]));
        }
        fleet.rounds(PLACED_WITHIN_MS);
        let waiting: Vec<_> = (1..=12).filter(|&id| fleet.runs_of(id) == 0).collect();
        assert!(waiting.is_empty(), "{own_ratio}: {waiting:?} have not run");
    }
}

/// A second run on a runner is predicted to come too close to the target, so tasks wait.
#[test]
fn job_of_many_tasks_has_a_run_while_predictions_hold_its_other_tasks_back() {
    let mut fleet = Fleet::serving(3);
    fleet.run_ms = 5_000;
    fleet.weight = 0.5;
    fleet.restore_weight(0.5);
    fleet.harness.submit(job(1, vec![best_effort(20, 3_000)]));
    fleet.rounds(PLACED_WITHIN_MS);
    let (mut idle_ms, mut has_waited) = (0, false);
    while fleet.phase(1) != Some(Phase::Completed) {
        fleet.round();
        idle_ms = if fleet.runs_of(1) > 0 {
            0
        } else {
            idle_ms + ROUND_MS
        };
        assert!(idle_ms < PLACED_WITHIN_MS && fleet.rounds * ROUND_MS < 60_000);
        let min = Duration::from_millis(PLACED_WITHIN_MS);
        let now = fleet.harness.now;
        has_waited |= !fleet.harness.engine.stalled(min, now).is_empty();
    }
    assert!(has_waited, "a task of a job that runs may wait for longer");
}

/// One paused run at a time is resumed beside a tail that is over its target without any.
#[test]
fn paused_runs_are_resumed_in_turn() {
    let mut fleet = Fleet::serving(1);
    fleet.restore_weight(0.0);
    fleet.run_ms = 600_000;
    fleet.harness.submit(job(1, vec![best_effort(3, 3_000)]));
    fleet.rounds(1_000);
    assert_eq!(fleet.runs_of(1), 3);
    fleet.weight = 1.0;
    fleet.workers[0].own_ratio = 1.3;
    fleet.rounds(60_000);
    let used_ms = |run: &Run| run.left_ms.map_or(0, |left_ms| 600_000 - left_ms);
    let before: Vec<_> = fleet.workers[0].runs.iter().map(used_ms).collect();
    fleet.rounds(60_000);
    let after: Vec<_> = fleet.workers[0].runs.iter().map(used_ms).collect();
    let runs = before.iter().zip(&after).skip(1);
    for (before, after) in runs {
        assert!(after > before, "a run stays paused");
    }
}
