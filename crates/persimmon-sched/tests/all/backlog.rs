//! More best-effort work is submitted than the idle processors can do.

use crate::support::{job, listed, report, runner, starts, step, task, TestEngine};
use persimmon_sched::{Answer, End, EndKind, JobSpec, Report, RunStatus, StepSpec, TaskId};

/// Nothing is reserved on the runner, so a job with nothing running counts as lost after this time.
const RUNS_WITHIN_MS: u64 = 10_000;
/// More than three times the time budget of a job.
const OVERDUE_AFTER_MS: u64 = 12_000;
const ROUND_MS: u64 = 100;
const RUNNER: &str = "a";
const RUNNER_CPU_MILLIS: u32 = 10_000;
const RUNNER_MEMORY_MIB: u32 = 100_000;
const SMALL_CPU_MILLIS: u32 = 1_000;

/// A runner whose processors are all used by small best-effort tasks. Whenever one of them ends,
/// another has been submitted.
struct Backlog {
    harness: TestEngine,
    running: Vec<(TaskId, u32)>,
    ended: Vec<End>,
    ends: u64,
    last_job: u64,
}

fn best_effort(image: &str, cpu_millis: u32) -> StepSpec {
    let mut step = StepSpec {
        image: image.to_owned(),
        best_effort: true,
        ..step(1)
    };
    step.size.cpu_millis = cpu_millis;
    step
}

impl Backlog {
    fn new() -> Self {
        let mut harness = TestEngine::new();
        let now = harness.now;
        harness
            .engine
            .update_runner(runner(RUNNER, RUNNER_CPU_MILLIS), now);
        let mut backlog = Self {
            harness,
            running: Vec::new(),
            ended: Vec::new(),
            ends: 0,
            last_job: 0,
        };
        for _ in 0..RUNNER_CPU_MILLIS / SMALL_CPU_MILLIS {
            backlog.submit("small", SMALL_CPU_MILLIS);
        }
        backlog.round();
        backlog
    }

    fn wall_ms(&self) -> u64 {
        (self.harness.now - self.harness.started_at).as_millis() as u64
    }

    fn submit(&mut self, image: &str, cpu_millis: u32) -> TaskId {
        self.submit_at(self.wall_ms(), image, cpu_millis)
    }

    fn submit_at(&mut self, submitted_at_ms: u64, image: &str, cpu_millis: u32) -> TaskId {
        let id = self.submit_steps(submitted_at_ms, vec![best_effort(image, cpu_millis)]);
        task(id, 0, 0)
    }

    fn submit_steps(&mut self, submitted_at_ms: u64, steps: Vec<StepSpec>) -> u64 {
        self.last_job += 1;
        let spec = job(self.last_job, steps);
        self.harness.submit(JobSpec {
            submitted_at_ms,
            ..spec
        });
        self.last_job
    }

    /// Ends the run at this position with this outcome.
    fn end(&mut self, at: usize, kind: EndKind) {
        let (task, run) = self.running.remove(at);
        self.ends += 1;
        self.ended.push(End {
            number: self.ends,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }

    fn round(&mut self) {
        let acknowledged = self.harness.engine.acknowledged(RUNNER);
        self.ended.retain(|end| end.number > acknowledged);
        let running = self.running.iter();
        let running = running.map(|&(task, run)| RunStatus {
            measurement: u64::from(SMALL_CPU_MILLIS),
            percent: 100,
            ..listed(task, run)
        });
        let report = Report {
            ended: self.ended.clone(),
            ..report(self.harness.clock_ms(), running.collect())
        };
        let (wall_ms, now) = (self.wall_ms(), self.harness.now);
        let engine = &mut self.harness.engine;
        engine.handle_report(RUNNER, &report, now, now);
        engine.tick(wall_ms, now);
        self.harness.commit();
        for (_, task, run) in starts(&self.harness.engine.take_orders()) {
            self.harness.answer_start(task, run, Answer::Started);
            self.running.push((task, run));
        }
        self.harness.advance(ROUND_MS);
    }

    /// Returns after how long a task runs, if it does within [`RUNS_WITHIN_MS`], while a small task
    /// ends and another is submitted in each round.
    fn runs_after_ms(&mut self, id: TaskId) -> Option<u64> {
        let since_ms = self.wall_ms();
        while self.wall_ms() < since_ms + RUNS_WITHIN_MS {
            self.end(0, EndKind::Done);
            self.submit("small", SMALL_CPU_MILLIS);
            self.round();
            if self.running.iter().any(|&(task, _)| task == id) {
                return Some(self.wall_ms() - since_ms);
            }
        }
        None
    }
}

#[test]
fn large_best_effort_task_is_not_kept_out_by_smaller_ones() {
    let mut backlog = Backlog::new();
    let large = backlog.submit("large", 5 * SMALL_CPU_MILLIS);
    assert!(
        backlog.runs_after_ms(large).is_some(),
        "nothing of its job runs for {RUNS_WITHIN_MS} ms"
    );
}

#[test]
fn failed_best_effort_task_is_not_kept_out_by_newer_ones() {
    let mut backlog = Backlog::new();
    let large = backlog.submit("large", 5 * SMALL_CPU_MILLIS);
    for _ in 0..5 {
        backlog.end(0, EndKind::Done);
    }
    backlog.round();
    let last = backlog.running.len() - 1;
    assert_eq!(backlog.running[last], (large, 1));
    backlog.end(last, EndKind::Failed);
    for _ in 0..5 {
        backlog.submit("small", SMALL_CPU_MILLIS);
    }
    assert!(
        backlog.runs_after_ms(large).is_some(),
        "nothing of its job runs again for {RUNS_WITHIN_MS} ms"
    );
}

#[test]
fn best_effort_task_of_the_usual_size_is_not_kept_out_by_newer_ones() {
    let mut backlog = Backlog::new();
    for _ in 0..5 {
        backlog.submit("small", SMALL_CPU_MILLIS);
    }
    let small = backlog.submit("small", SMALL_CPU_MILLIS);
    assert!(
        backlog.runs_after_ms(small).is_some(),
        "nothing of its job runs for {RUNS_WITHIN_MS} ms"
    );
}

#[test]
fn overdue_best_effort_task_is_not_kept_out_by_newer_ones() {
    let mut backlog = Backlog::new();
    for _ in 0..OVERDUE_AFTER_MS / ROUND_MS {
        backlog.round();
    }
    let overdue = backlog.submit_at(0, "small", SMALL_CPU_MILLIS);
    assert!(
        backlog.runs_after_ms(overdue).is_some(),
        "nothing of its job runs for {RUNS_WITHIN_MS} ms"
    );
}

/// The share of a job of which nothing runs is for its best-effort work.
#[test]
fn best_effort_step_is_not_kept_out_beside_a_long_running_step_of_its_job() {
    let mut backlog = Backlog::new();
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    let steps = vec![long_running, best_effort("large", 5 * SMALL_CPU_MILLIS)];
    let id = backlog.submit_steps(backlog.wall_ms(), steps);
    assert!(
        backlog.runs_after_ms(task(id, 0, 0)).is_some(),
        "the long-running task has its reserved processors"
    );
    assert!(
        backlog.runs_after_ms(task(id, 1, 0)).is_some(),
        "no best-effort task of its job runs for {RUNS_WITHIN_MS} ms"
    );
}

/// It needs as much memory as five of the small ones hold.
#[test]
fn latency_critical_task_is_not_kept_out_by_memory_of_best_effort_ones() {
    let mut backlog = Backlog::new();
    let mut small = best_effort("small", SMALL_CPU_MILLIS);
    small.size.memory_mib = RUNNER_MEMORY_MIB / 10;
    let mut latency_critical = StepSpec {
        tail_target_ms: 100,
        ..step(1)
    };
    latency_critical.size.memory_mib = RUNNER_MEMORY_MIB / 2;
    for _ in 0..10 {
        backlog.end(0, EndKind::Done);
        backlog.submit_steps(backlog.wall_ms(), vec![small.clone()]);
    }
    backlog.round();
    assert_eq!(backlog.running.len(), 10);
    let id = backlog.submit_steps(0, vec![latency_critical]);
    let until_ms = backlog.wall_ms() + RUNS_WITHIN_MS;
    // A run that has ended counts as well: each round ends the oldest one.
    let mut has_run = false;
    while backlog.wall_ms() < until_ms {
        backlog.end(0, EndKind::Done);
        backlog.submit_steps(backlog.wall_ms(), vec![small.clone()]);
        backlog.round();
        has_run |= backlog.running.iter().any(|it| it.0 == task(id, 0, 0));
    }
    assert!(has_run, "it does not run for {RUNS_WITHIN_MS} ms");
}

/// Each task of a long-running step counts, whether others of its job run or not.
#[test]
fn long_running_best_effort_task_is_not_kept_out_beside_another_of_its_step() {
    let mut backlog = Backlog::new();
    let long_running = StepSpec {
        long_running: true,
        count: 2,
        ..best_effort("large", 5 * SMALL_CPU_MILLIS)
    };
    let id = backlog.submit_steps(backlog.wall_ms(), vec![long_running]);
    assert!(backlog.runs_after_ms(task(id, 0, 0)).is_some());
    assert!(
        backlog.runs_after_ms(task(id, 0, 1)).is_some(),
        "it does not run for {RUNS_WITHIN_MS} ms"
    );
}
