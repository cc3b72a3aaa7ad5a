//! Data centres that operators evacuate: nothing new starts there, and what runs there goes on.

use crate::support::{job, listed, policy, report, runner, starts, step, task, TestEngine};
use persimmon_sched::{Answer, Engine, Options, Order, RunnerInfo, RunnerState, StepSpec};
use std::time::{Duration, Instant};

const MAX_AGE_MS: u64 = 1_000;

fn options() -> Options {
    Options {
        follows_evacuations: true,
        ..Options::default()
    }
}

fn located(id: &str, data_centre: &str) -> RunnerInfo {
    RunnerInfo {
        data_centre: data_centre.to_owned(),
        labels: vec!["a".to_owned(), format!("rack-{data_centre}")],
        ..runner(id, 8_000)
    }
}

/// Runners "a1" and "a2" in data centre "a", "b1" in "b", with room for eight tasks each.
fn harness() -> TestEngine {
    let mut harness = TestEngine::new();
    harness.engine = Engine::new(options(), harness.now);
    harness.engine.configure(policy());
    for (id, data_centre) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
        harness
            .engine
            .update_runner(located(id, data_centre), harness.now);
        harness.report(id, vec![]);
    }
    confirm(&mut harness);
    harness
}

fn confirm(harness: &mut TestEngine) {
    harness.engine.confirm_listing(harness.now);
    harness.engine.confirm_evacuations(harness.now);
}

fn runners_of(orders: &[Order]) -> Vec<String> {
    starts(orders)
        .into_iter()
        .map(|(runner, ..)| runner)
        .collect()
}

fn start_all(harness: &mut TestEngine, orders: &[Order]) {
    for (_, id, run) in starts(orders) {
        harness.answer_start(id, run, Answer::Started);
    }
}

#[test]
fn task_starts_in_an_evacuated_data_centre() {
    let mut harness = harness();
    harness.engine.begin_evacuation("a", 5, harness.now);
    harness.submit(job(1, vec![step(16)]));
    assert_eq!(runners_of(&harness.round()), vec!["b1"; 8]);
}

#[test]
fn new_owner_starts_tasks_before_it_knows_the_evacuations() {
    let now = Instant::now();
    let mut engine = Engine::new(options(), now);
    engine.configure(policy());
    engine.update_runner(located("a1", "a"), now);
    engine.handle_report("a1", &report(1_000, vec![]), now, now);
    engine.confirm_listing(now);
    engine.add_job(job(1, vec![step(1)]), None, 0, now);
    engine.tick(0, now);
    assert!(engine.take_commits(10).is_empty());
    engine.confirm_evacuations(now);
    engine.tick(0, now);
    assert_eq!(engine.take_commits(10).len(), 1);
}

/// A watch that is cut, late or compacted, and a process that was paused.
#[test]
fn task_starts_on_evacuations_known_too_long_ago() {
    let mut harness = harness();
    harness.submit(job(1, vec![step(1)]));
    let orders = harness.round();
    assert_eq!(orders.len(), 1);
    harness.now += Duration::from_millis(MAX_AGE_MS);
    harness.engine.confirm_listing(harness.now);
    harness.report("a1", vec![]);
    let (engine, now) = (&mut harness.engine, harness.now);
    let withheld = Err(Answer::Withheld);
    let (runner, id, run) = starts(&orders).remove(0);
    assert_eq!(engine.start_deadline_ms(&runner, id, run, now), withheld);
    harness.submit(job(2, vec![step(1)]));
    assert!(starts(&harness.round()).is_empty());
    harness.engine.confirm_evacuations(harness.now);
    assert_eq!(starts(&harness.round()).len(), 1);
}

/// An ordered start may wait for a connection or a relay while the request arrives.
#[test]
fn ordered_start_is_sent_to_an_evacuated_data_centre() {
    let mut harness = harness();
    harness.submit(job(1, vec![step(24)]));
    let orders = harness.round();
    assert_eq!(orders.len(), 24);
    harness.engine.begin_evacuation("a", 5, harness.now);
    let now = harness.now;
    for (runner, id, run) in starts(&orders) {
        let sent = harness.engine.start_deadline_ms(&runner, id, run, now);
        assert_eq!(sent.is_ok(), runner == "b1", "{id} on {runner}: {sent:?}");
    }
}

/// The record may be committed after the request has arrived.
#[test]
fn placement_that_is_not_committed_stays_in_an_evacuated_data_centre() {
    let mut harness = harness();
    harness.submit(job(1, vec![step(8)]));
    harness.engine.tick(0, harness.now);
    harness.engine.begin_evacuation("a", 5, harness.now);
    harness.engine.begin_evacuation("b", 6, harness.now);
    harness.commit();
    assert!(harness.engine.take_orders().is_empty());
    harness.engine.end_evacuation("b", harness.now);
    assert_eq!(runners_of(&harness.round()), vec!["b1"; 8]);
}

#[test]
fn evacuation_ends_running_tasks() {
    let mut harness = harness();
    let long_running = StepSpec {
        long_running: true,
        disruptions_max: Some(0),
        ..step(8)
    };
    let gang = StepSpec {
        gang: true,
        ..step(8)
    };
    harness.submit(job(1, vec![long_running, gang, step(8)]));
    let orders = harness.round();
    assert_eq!(orders.len(), 24);
    start_all(&mut harness, &orders);
    for data_centre in ["a", "b"] {
        harness.engine.begin_evacuation(data_centre, 5, harness.now);
    }
    for _ in 0..200 {
        harness.now += Duration::from_millis(100);
        confirm(&mut harness);
        for id in ["a1", "a2", "b1"] {
            let runs = starts(&orders).into_iter();
            let runs = runs.filter(|(runner, ..)| runner == id);
            let running = runs.map(|(_, id, run)| listed(id, run)).collect();
            harness.report(id, running);
            let lease = harness.engine.lease_deadline_ms(id, harness.now);
            assert!(lease.is_some(), "the lease of {id} is not renewed");
        }
        assert!(harness.round().is_empty(), "at {:?}", harness.now);
    }
}

#[test]
fn gang_waits_for_room_in_one_evacuation_rather_than_start_in_part() {
    let mut harness = harness();
    harness.engine.begin_evacuation("a", 5, harness.now);
    let gang = StepSpec {
        gang: true,
        ..step(12)
    };
    harness.submit(job(1, vec![gang]));
    assert!(harness.round().is_empty(), "eight of twelve fit");
    harness.engine.end_evacuation("a", harness.now);
    assert_eq!(harness.round().len(), 12);
}

#[test]
fn affinity_to_an_evacuated_rack_holds_tasks_back() {
    let mut harness = harness();
    harness.engine.begin_evacuation("a", 5, harness.now);
    let affine = StepSpec {
        affinity: Some("rack-a".to_owned()),
        ..step(2)
    };
    harness.submit(job(1, vec![affine]));
    assert_eq!(runners_of(&harness.round()), ["b1", "b1"]);
}

/// The tasks that are left of a rack-local step share another rack.
#[test]
fn rest_of_a_rack_local_step_is_scattered_by_an_evacuation() {
    let mut harness = harness();
    for (id, data_centre) in [("b2", "b"), ("c1", "c")] {
        let info = located(id, data_centre);
        harness.engine.update_runner(info, harness.now);
        harness.report(id, vec![]);
    }
    harness.engine.begin_evacuation("b", 5, harness.now);
    harness.engine.begin_evacuation("c", 6, harness.now);
    let rack_local = StepSpec {
        rack_local: true,
        ..step(18)
    };
    harness.submit(job(1, vec![rack_local]));
    let orders = harness.round();
    assert_eq!(orders.len(), 16);
    start_all(&mut harness, &orders);
    harness.engine.begin_evacuation("a", 7, harness.now);
    harness.engine.end_evacuation("b", harness.now);
    harness.engine.end_evacuation("c", harness.now);
    // Where the least is left free: "b1" has room for one task, "c1" for two, "b2" for four.
    for (id, data_centre, cpu_millis) in
        [("b1", "b", 1_000), ("c1", "c", 2_000), ("b2", "b", 4_000)]
    {
        let info = RunnerInfo {
            capacity: runner(id, cpu_millis).capacity,
            ..located(id, data_centre)
        };
        harness.engine.update_runner(info, harness.now);
    }
    assert_eq!(runners_of(&harness.round()), ["b1", "b2"]);
}

#[test]
fn evacuation_that_is_taken_back_and_asked_for_again_is_lost() {
    let mut harness = harness();
    harness.engine.begin_evacuation("a", 5, harness.now);
    harness.engine.end_evacuation("a", harness.now);
    harness.engine.begin_evacuation("a", 7, harness.now);
    // A repeated report of the same request.
    harness.engine.begin_evacuation("a", 7, harness.now);
    harness.submit(job(1, vec![step(16)]));
    assert_eq!(runners_of(&harness.round()), vec!["b1"; 8]);
    harness.engine.end_evacuation("a", harness.now);
    assert_eq!(harness.round().len(), 8);
}

/// A runner that drains stays closed when its data centre is taken back, and one that is listed
/// later, or moves, is evacuated too.
#[test]
fn evacuation_beside_changes_of_the_instance_list_is_lost() {
    let mut harness = harness();
    harness.engine.begin_evacuation("a", 5, harness.now);
    let draining = RunnerInfo {
        state: RunnerState::Draining,
        ..located("a1", "a")
    };
    harness.engine.update_runner(draining, harness.now);
    harness
        .engine
        .update_runner(located("a3", "a"), harness.now);
    harness
        .engine
        .update_runner(located("b1", "a"), harness.now);
    harness.report("a3", vec![]);
    harness.submit(job(1, vec![step(32)]));
    assert!(harness.round().is_empty());
    harness.engine.end_evacuation("a", harness.now);
    let runners = runners_of(&harness.round());
    assert_eq!(runners.len(), 24);
    assert!(!runners.contains(&"a1".to_owned()));
}

/// Where the settings name no bound for evacuations, nobody follows them.
#[test]
fn scheduler_without_evacuations_waits_for_their_list() {
    let mut harness = TestEngine::with_runners(&["a1"], 8_000);
    harness.submit(job(1, vec![step(1)]));
    assert_eq!(harness.round().len(), 1);
}

#[test]
fn cold_runner_is_filled_before_warm_ones() {
    let mut harness = harness();
    let cold = |id: &str| RunnerInfo {
        cold_remaining: Duration::from_secs(2),
        ..located(id, "a")
    };
    harness.engine.update_runner(cold("a1"), harness.now);
    harness.engine.update_runner(cold("a2"), harness.now);
    harness.submit(job(1, vec![step(10)]));
    let runners = runners_of(&harness.round());
    let warm = runners.iter().filter(|id| *id == "b1").count();
    assert_eq!((runners.len(), warm), (10, 8));
    harness.now += Duration::from_secs(2);
    confirm(&mut harness);
    for id in ["a1", "a2"] {
        harness.report(id, vec![]);
    }
    // Tasks of one processor go where the least is left free.
    harness.submit(job(2, vec![step(2)]));
    let fullest = starts(&harness.round());
    assert!(fullest.iter().all(|(_, id, _)| *id != task(1, 0, 0)));
    assert_eq!(fullest.len(), 2);
}
