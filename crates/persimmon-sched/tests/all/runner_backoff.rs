//! Which runners get new tasks after failures, refusals and missed reports.

use crate::support::{job, listed, report, starts, step, task, TestEngine};
use persimmon_sched::{Answer, End, EndKind, JobId, StepSpec, TaskId};

/// Interval between two scheduling passes, and between two reports of a runner.
const ROUND_MS: u64 = 20;
/// Time within which a long-running task must start without disturbances.
const LONG_RUNNING_START_MAX_MS: u64 = 3_000;
/// Time within which a task must start elsewhere; urgent work has 2.8 s in all.
const START_ELSEWHERE_MAX_MS: u64 = 1_000;
/// Longest time for which a failing runner is given no new task.
const BACKOFF_MAX_MS: u64 = 6_000;

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

/// An engine with runners that report in each round and answer starts as told.
struct Fleet {
    harness: TestEngine,
    runners: Vec<&'static str>,
    running: Vec<(String, TaskId, u32)>,
    /// Time and runner of each ordered start.
    starts: Vec<(u64, String)>,
}

impl Fleet {
    fn new(runners: &[(&'static str, u32)]) -> Self {
        let mut harness = TestEngine::new();
        for (id, cpu_millis) in runners {
            harness.add_runner(id, *cpu_millis);
            harness.report(id, vec![]);
        }
        Self {
            harness,
            runners: runners.iter().map(|it| it.0).collect(),
            running: Vec::new(),
            starts: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.harness.clock_ms()
    }

    fn report(&mut self, id: &str) {
        let runs = self.running.iter().filter(|it| it.0 == id);
        let runs = runs.map(|&(_, task, run)| listed(task, run)).collect();
        self.harness.report(id, runs);
    }

    /// Reports the end of a run.
    fn end(&mut self, number: u64, run: usize, kind: EndKind) {
        let (id, task, run) = self.running.remove(run);
        let mut report = report(self.harness.clock_ms(), vec![]);
        let runs = self.running.iter().filter(|it| it.0 == id);
        report.running = runs.map(|&(_, task, run)| listed(task, run)).collect();
        report.ended.push(End {
            number,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
        let now = self.harness.now;
        self.harness.engine.handle_report(&id, &report, now, now);
    }

    /// Performs rounds for `ms`; `is_up` tells whether a runner answers report requests, `answer`
    /// its answer to a start.
    fn run(&mut self, ms: u64, is_up: impl Fn(&str, u64) -> bool, answer: impl Fn(&str) -> Answer) {
        for _ in 0..ms / ROUND_MS {
            self.harness.advance(ROUND_MS);
            for id in self.runners.clone() {
                if is_up(id, self.now_ms()) {
                    self.report(id);
                }
            }
            for (id, task, run) in starts(&self.harness.round()) {
                self.starts.push((self.now_ms(), id.clone()));
                let answer = answer(&id);
                self.harness.answer_start(task, run, answer);
                if answer == Answer::Started {
                    self.running.push((id, task, run));
                }
            }
        }
    }

    fn run_calmly(&mut self, ms: u64) {
        self.run(ms, |_, _| true, |_| Answer::Started);
    }

    fn miss_reports(&mut self, id: &str, count: u32) {
        for _ in 0..count {
            let now = self.harness.now;
            self.harness.engine.handle_missed_report(id, now);
        }
    }

    fn starts_on(&self, id: &str, since_ms: u64) -> usize {
        let starts = self.starts.iter();
        starts.filter(|it| it.0 >= since_ms && it.1 == id).count()
    }
}

#[test]
fn missed_reports_are_forgotten_after_answered_ones() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.miss_reports("a", 12);
    fleet.run_calmly(30_000);
    fleet.miss_reports("a", 1);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.run_calmly(LONG_RUNNING_START_MAX_MS);
    assert_eq!(
        fleet.starts.len(),
        1,
        "it has answered for 30 s but for one"
    );
}

/// The last request for a report is sent just before the outage ends and times out after 0.7 s. The
/// task counts as lost 7 s after the outage: 4 s of calm, and 3 s in which it does not run. The last
/// second is left for its commit and its start.
#[test]
fn runner_that_was_unreachable_gets_tasks_before_they_count_as_lost() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    for _ in 0..10 {
        fleet.run(560, |_, _| false, |_| Answer::Unknown);
        fleet.miss_reports("a", 1);
    }
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.run(700, |_, _| false, |_| Answer::Unknown);
    fleet.miss_reports("a", 1);
    fleet.run_calmly(6_000 - 700);
    assert_eq!(fleet.running.len(), 1, "{:?}", fleet.starts);
}

/// A start is not sent when the last report is too old to grant a lease.
#[test]
fn starts_that_were_not_sent_are_forgotten_after_answered_reports() {
    let mut fleet = Fleet::new(&[("a", 40_000)]);
    fleet.harness.submit(job(1, vec![long_running(12)]));
    fleet.run(ROUND_MS, |_, _| true, |_| Answer::NotSent);
    assert_eq!(fleet.starts.len(), 12);
    fleet
        .harness
        .engine
        .cancel(JobId::new(1), fleet.harness.now);
    fleet.run_calmly(30_000);
    fleet.harness.submit(job(2, vec![long_running(1)]));
    fleet.run(ROUND_MS, |_, _| true, |_| Answer::NotSent);
    fleet.run_calmly(LONG_RUNNING_START_MAX_MS);
    assert_eq!(fleet.running.len(), 1, "{:?}", fleet.starts);
}

#[test]
fn refused_starts_are_forgotten_after_a_long_running_task_stayed() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.run(40_000, |_, _| true, |_| Answer::Refused);
    fleet.run_calmly(30_000);
    assert_eq!(fleet.running.len(), 1);
    fleet.harness.submit(job(2, vec![long_running(1)]));
    fleet.run(ROUND_MS, |_, _| true, |_| Answer::Refused);
    fleet.run_calmly(LONG_RUNNING_START_MAX_MS);
    assert_eq!(fleet.running.len(), 2, "{:?}", fleet.starts);
}

/// The smaller runner fits best.
fn starts_elsewhere_after(refusal: Answer) {
    let mut fleet = Fleet::new(&[("a", 1_000), ("b", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    let answer = |id: &str| if id == "a" { refusal } else { Answer::Started };
    fleet.run(START_ELSEWHERE_MAX_MS, |_, _| true, answer);
    assert_eq!(fleet.starts_on("b", 0), 1, "{:?}", fleet.starts);
    assert_eq!(fleet.starts_on("a", 0), 1, "{:?}", fleet.starts);
}

#[test]
fn task_starts_elsewhere_after_refusal_for_lack_of_room() {
    starts_elsewhere_after(Answer::Room);
}

#[test]
fn task_starts_elsewhere_after_refusal_as_old() {
    starts_elsewhere_after(Answer::Old);
}

/// A stop that overtakes its start makes the runner refuse the start.
#[test]
fn refusal_of_a_stopped_start_does_not_take_its_runner_out_of_placement() {
    for answer in [Answer::Old, Answer::Room, Answer::Refused, Answer::NotSent] {
        let mut fleet = Fleet::new(&[("a", 4_000)]);
        fleet.harness.submit(job(1, vec![long_running(1)]));
        assert_eq!(starts(&fleet.harness.round()).len(), 1);
        fleet
            .harness
            .engine
            .cancel(JobId::new(1), fleet.harness.now);
        fleet.harness.answer_start(task(1, 0, 0), 1, answer);
        fleet.harness.submit(job(2, vec![long_running(1)]));
        fleet.run_calmly(ROUND_MS);
        assert_eq!(fleet.running.len(), 1, "after {answer:?}");
    }
}

/// Starts in the last 24 s of a minute in which the only runner answers each start alike.
fn late_starts(answer: Answer) -> usize {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.run(60_000, |_, _| true, |_| answer);
    let since_ms = fleet.now_ms() - 4 * BACKOFF_MAX_MS;
    fleet.starts_on("a", since_ms)
}

#[test]
fn refusing_runner_is_not_tried_in_series() {
    for answer in [Answer::Room, Answer::Old, Answer::Refused] {
        let starts = late_starts(answer);
        assert!((1..=4).contains(&starts), "{starts} after {answer:?}");
    }
}

#[test]
fn larger_task_refused_for_lack_of_room_does_not_hold_up_smaller_ones() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    let mut large = long_running(1);
    large.size.cpu_millis = 3_000;
    fleet.harness.submit(job(1, vec![large]));
    fleet.run(ROUND_MS, |_, _| true, |_| Answer::Room);
    fleet.harness.submit(job(2, vec![long_running(1)]));
    fleet.run_calmly(ROUND_MS);
    assert_eq!(fleet.running, [("a".to_owned(), task(2, 0, 0), 1)]);
}

#[test]
fn refusals_of_starts_ordered_together_count_once() {
    let mut fleet = Fleet::new(&[("a", 40_000)]);
    fleet.harness.submit(job(1, vec![long_running(20)]));
    fleet.run(ROUND_MS, |_, _| true, |_| Answer::Room);
    assert_eq!(fleet.starts.len(), 20);
    fleet.run_calmly(LONG_RUNNING_START_MAX_MS);
    assert_eq!(fleet.running.len(), 20);
}

/// One moment in which a runner refuses or does not answer starts is one failure.
#[test]
fn failed_starts_ordered_together_count_as_many_failures() {
    for answer in [Answer::Refused, Answer::Old, Answer::Unknown] {
        let mut fleet = Fleet::new(&[("a", 40_000)]);
        fleet.harness.submit(job(1, vec![long_running(10)]));
        fleet.run(ROUND_MS, |_, _| true, |_| answer);
        assert_eq!(fleet.starts.len(), 10);
        fleet.harness.submit(job(2, vec![long_running(1)]));
        fleet.run_calmly(START_ELSEWHERE_MAX_MS);
        let has_started = fleet.running.iter().any(|it| it.1 == task(2, 0, 0));
        assert!(has_started, "after {answer:?}");
    }
}

#[test]
fn refused_task_starts_once_a_run_has_ended_there() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![step(1)]));
    fleet.run_calmly(ROUND_MS);
    fleet.harness.submit(job(2, vec![long_running(1)]));
    fleet.run(20_000, |_, _| true, |_| Answer::Room);
    fleet.starts.clear();
    fleet.end(1, 0, EndKind::Done);
    fleet.run_calmly(5 * ROUND_MS);
    assert_eq!(fleet.starts.len(), 1);
}

/// Time from the second of two failures to the next start.
fn backoff_after_two(mut fail: impl FnMut(&mut Fleet, u64)) -> u64 {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fail(&mut fleet, 1);
    fail(&mut fleet, 2);
    let failed_at_ms = fleet.now_ms();
    fleet.starts.clear();
    fleet.run_calmly(BACKOFF_MAX_MS);
    fleet.starts[0].0 - failed_at_ms
}

#[test]
fn failed_run_counts_as_one_failure() {
    let refused = backoff_after_two(|fleet, count| {
        while fleet.starts.len() < count as usize {
            fleet.run(ROUND_MS, |_, _| true, |_| Answer::Refused);
        }
    });
    let failed = backoff_after_two(|fleet, count| {
        while fleet.running.is_empty() {
            fleet.run_calmly(ROUND_MS);
        }
        fleet.end(count, 0, EndKind::Failed);
    });
    assert_eq!(failed, refused);
}

#[test]
fn runner_that_fails_all_runs_stays_backed_off_while_it_reports() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    let mut ends = 0;
    for _ in 0..120 {
        fleet.run_calmly(500);
        if !fleet.running.is_empty() {
            ends += 1;
            fleet.end(ends, 0, EndKind::Failed);
        }
    }
    let since_ms = fleet.now_ms() - 4 * BACKOFF_MAX_MS;
    assert!((1..=4).contains(&fleet.starts_on("a", since_ms)));
}

/// Long-running tasks from before the fault go on.
#[test]
fn runner_that_fails_new_runs_stays_backed_off_while_others_stay() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.run_calmly(20_000);
    fleet.harness.submit(job(2, vec![long_running(1)]));
    let mut ends = 0;
    for _ in 0..120 {
        fleet.run_calmly(500);
        if fleet.running.len() > 1 {
            ends += 1;
            fleet.end(ends, 1, EndKind::Failed);
        }
    }
    let since_ms = fleet.now_ms() - 4 * BACKOFF_MAX_MS;
    assert!((1..=4).contains(&fleet.starts_on("a", since_ms)));
}

#[test]
fn runner_that_answers_reports_but_no_starts_stays_backed_off() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    for _ in 0..3_000 {
        fleet.run(ROUND_MS, |_, _| true, |_| Answer::Unknown);
        for run in 1..=fleet.starts.len() as u32 {
            let now = fleet.harness.now;
            let engine = &mut fleet.harness.engine;
            engine.handle_stop_answer(task(1, 0, 0), run, now);
        }
    }
    let since_ms = fleet.now_ms() - 4 * BACKOFF_MAX_MS;
    assert!((1..=4).contains(&fleet.starts_on("a", since_ms)));
}

/// The runner is unreachable for 3 s and answers for 3 s by turns.
#[test]
fn flapping_runner_gets_no_task_while_it_answers_for_moments() {
    const PHASE_MS: u64 = 3_000;
    const RETRY_MS: u64 = 500;
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    for _ in 0..3 {
        for _ in 0..PHASE_MS / RETRY_MS {
            fleet.run(RETRY_MS, |_, _| false, |_| Answer::Unknown);
            fleet.miss_reports("a", 1);
        }
        fleet.run_calmly(PHASE_MS);
    }
    fleet.harness.submit(job(1, vec![long_running(1)]));
    for _ in 0..5 {
        for _ in 0..PHASE_MS / RETRY_MS {
            fleet.run(RETRY_MS, |_, _| false, |_| Answer::Unknown);
            fleet.miss_reports("a", 1);
        }
        fleet.run_calmly(PHASE_MS);
    }
    assert_eq!(fleet.starts_on("a", 0), 0, "{:?}", fleet.starts);
}

/// It is the runner that fits best.
#[test]
fn task_that_failed_on_a_runner_is_tried_on_another_one() {
    let mut fleet = Fleet::new(&[("a", 1_000), ("b", 4_000)]);
    fleet.harness.submit(job(1, vec![step(1)]));
    fleet.run_calmly(ROUND_MS);
    assert_eq!(fleet.starts_on("a", 0), 1);
    fleet.end(1, 0, EndKind::Failed);
    fleet.run_calmly(START_ELSEWHERE_MAX_MS);
    assert_eq!(fleet.starts_on("b", 0), 1, "{:?}", fleet.starts);
}

#[test]
fn task_that_failed_on_the_only_runner_is_tried_there_again() {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    fleet.harness.submit(job(1, vec![step(1)]));
    fleet.run_calmly(ROUND_MS);
    fleet.end(1, 0, EndKind::Failed);
    fleet.run_calmly(START_ELSEWHERE_MAX_MS);
    assert_eq!(fleet.starts_on("a", 0), 2, "{:?}", fleet.starts);
}

/// A runner that has failed its first tasks, half a second after the end of its backoff; more wait.
fn probed(failed: u64) -> Fleet {
    let mut fleet = Fleet::new(&[("a", 4_000)]);
    for id in 1..=20 {
        fleet.harness.submit(job(id, vec![step(1)]));
    }
    fleet.run_calmly(ROUND_MS);
    assert_eq!(fleet.running.len(), 4);
    for number in 1..=failed {
        fleet.end(number, 0, EndKind::Failed);
    }
    for number in failed + 1..=4 {
        fleet.end(number, 0, EndKind::Cut);
    }
    run_past_backoff(&mut fleet);
    fleet
}

fn run_past_backoff(fleet: &mut Fleet) {
    let failed_at_ms = fleet.now_ms();
    while fleet.running.is_empty() {
        fleet.run_calmly(ROUND_MS);
        assert!(fleet.now_ms() - failed_at_ms <= BACKOFF_MAX_MS);
    }
    fleet.run_calmly(500);
}

#[test]
fn runner_that_failed_all_it_started_is_given_one_task_first() {
    let mut fleet = probed(4);
    assert_eq!(fleet.running.len(), 1);
    for number in 5..=15 {
        fleet.end(number, 0, EndKind::Failed);
        run_past_backoff(&mut fleet);
        assert_eq!(fleet.running.len(), 1);
    }
}

#[test]
fn runner_whose_first_task_succeeds_after_a_backoff_is_given_all_that_fits() {
    let mut fleet = probed(4);
    fleet.end(5, 0, EndKind::Done);
    fleet.run_calmly(2 * ROUND_MS);
    assert_eq!(fleet.running.len(), 4);
}

/// The first task after a backoff may take long.
#[test]
fn runner_is_not_kept_to_one_task_for_longer_than_a_backoff() {
    let mut fleet = probed(4);
    fleet.run_calmly(BACKOFF_MAX_MS);
    assert_eq!(fleet.running.len(), 4);
}

/// Jobs that fail by their own fault fail two runs in a row by chance.
#[test]
fn runner_that_failed_two_tasks_is_given_all_that_fits_after_its_backoff() {
    let fleet = probed(2);
    assert_eq!(fleet.running.len(), 4);
}
