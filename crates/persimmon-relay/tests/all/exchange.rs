use crate::support::{address, calls, end, report, row, start, task, Pair, GROUP};
use persimmon_relay::{
    Event, Link, OrderCall, OrderKind, Outcome, Refusal, RunnerIndex, SessionKey,
};
use persimmon_sched::{Answer, JobId, Order, TaskId};
use std::time::Duration;

/// Oldest order that a start is sent for.
const START_AGE_MAX_MS: u64 = 700;

fn stop(index: u16) -> Order {
    Order::Stop {
        runner: "a".to_owned(),
        task: task(index),
        run: 1,
    }
}

#[test]
fn reports_arrive_whole_although_differences_are_sent() {
    let mut pair = Pair::connected();
    pair.advance(10);
    for (running, ended) in [
        (vec![row(0, 100), row(1, 100)], vec![]),
        (vec![row(0, 300), row(2, 100)], vec![end(1, 1)]),
        (vec![row(2, 100)], vec![end(1, 1), end(2, 0)]),
    ] {
        let expected = report(running.clone(), vec![]);
        pair.poll(Some(report(running, ended)));
        let events = pair.exchange_news();
        let [Event::Report { runner, report, .. }] = &events[..] else {
            panic!("{events:?}");
        };
        assert_eq!(runner, "a");
        assert_eq!(report.running, expected.running);
    }
}

/// Runners repeat ended runs until they are acknowledged.
#[test]
fn ended_runs_are_passed_on_once() {
    let mut pair = Pair::connected();
    pair.poll(Some(report(vec![], vec![end(1, 0)])));
    assert!(pair.relay.has_urgent_news(pair.session_key()));
    pair.exchange_news();
    pair.poll(Some(report(vec![], vec![end(1, 0)])));
    assert!(!pair.relay.has_urgent_news(pair.session_key()));
    let Some(Event::Report { report, .. }) = pair.exchange_news().pop() else {
        panic!("a report");
    };
    assert_eq!(report.ended, vec![]);
    let key = pair.session_key();
    let is_acknowledged = |pair: &Pair| pair.relay.is_acknowledged(key, pair.index, 1);
    assert!(!is_acknowledged(&pair));
    pair.deliver_batch(1, None).expect("accepted");
    assert!(is_acknowledged(&pair));
    assert_eq!(pair.begin_poll().expect("a poll").acknowledged_end, 1);
}

#[test]
fn full_report_is_passed_on_as_a_complete_one() {
    let mut pair = Pair::connected();
    let mut full = report(vec![], vec![end(1, 0)]);
    full.has_more_ends = true;
    pair.poll(Some(full));
    let Some(Event::Report { report, .. }) = pair.exchange_news().pop() else {
        panic!("a report");
    };
    assert!(report.has_more_ends);
}

/// A report counts as requested when the owner is known to have spoken before, not when it arrives.
#[test]
fn report_counts_as_requested_later_than_it_was() {
    let mut pair = Pair::connected();
    pair.advance(40);
    pair.deliver_batch(0, None).expect("accepted");
    let poll = pair.begin_poll().expect("a poll");
    pair.advance(60);
    pair.deliver_batch(0, None).expect("accepted");
    pair.relay
        .finish_poll(pair.index, &poll, Some(report(vec![], vec![])));
    let Some(Event::Report { requested_us, .. }) = pair.exchange_news().pop() else {
        panic!("a report");
    };
    assert_eq!(requested_us, 40_000);
}

/// A relay renews leases with the owner's deadlines only, and keeps the latest.
#[test]
fn relay_extends_a_lease_by_itself() {
    let mut pair = Pair::connected();
    assert_eq!(pair.begin_poll().expect("a poll").deadline_ms, None);
    pair.advance(1_000);
    pair.deliver_batch(0, Some(11_000)).expect("accepted");
    pair.advance(2_000);
    assert_eq!(pair.begin_poll().expect("a poll").deadline_ms, Some(11_000));
    pair.deliver_batch(0, Some(10_000)).expect("accepted");
    assert_eq!(pair.begin_poll().expect("a poll").deadline_ms, Some(11_000));
    pair.advance(3_000);
    assert_eq!(pair.begin_poll(), None, "the owner is silent");
}

#[test]
fn start_is_sent_by_a_relay_that_was_suspended() {
    let mut pair = Pair::connected();
    pair.advance(100);
    assert!(pair.link.push_order(start("a", 0)).is_none());
    let actions = pair.deliver_batch(0, None).expect("accepted");
    let call = calls(actions).pop().expect("a call");
    let OrderKind::Start { expires_at, .. } = &call.kind else {
        panic!("a start");
    };
    assert!(pair.now < *expires_at);
    let suspended_until = pair.now + Duration::from_millis(START_AGE_MAX_MS);
    assert!(suspended_until >= *expires_at);
}

/// A batch that a full link holds back for seconds is older than the relay can tell from its
/// arrival.
#[test]
fn start_is_sent_for_an_order_that_was_under_way_for_long() {
    let mut pair = Pair::connected();
    assert!(pair.link.push_order(start("a", 0)).is_none());
    let batch = pair.batch(0, None);
    pair.advance(START_AGE_MAX_MS);
    let actions = pair.relay.handle_batch(batch, pair.now).expect("accepted");
    let call = calls(actions).pop().expect("a call");
    let OrderKind::Start { expires_at, .. } = call.kind else {
        panic!("a start");
    };
    assert!(pair.now >= expires_at);
}

#[test]
fn relay_acts_for_an_owner_that_was_replaced() {
    let mut pair = Pair::connected();
    let mut newer = Link::new(GROUP, 41, 1);
    newer.add_runner(address("a"));
    let end = |_: &str| 0;
    let batch = newer.take_batch(pair.now, 0, Duration::ZERO, end, |_| None);
    pair.relay.handle_batch(batch, pair.now).expect("accepted");
    pair.link.push_order(start("a", 0));
    let refused = pair.deliver_batch(0, Some(20_000)).map(|_| ());
    assert_eq!(refused, Err(Refusal::Superseded(41)));
    assert_eq!(pair.begin_poll(), None, "the session of the earlier owner");
    let key = SessionKey {
        fencing_token: 41,
        ..pair.session_key()
    };
    let poll = pair.relay.begin_poll(key, RunnerIndex(0), pair.now);
    assert_eq!(poll.expect("a poll of the newer owner").deadline_ms, None);
}

/// Owners number their sessions independently, so the number alone does not tell them apart.
#[test]
fn answer_to_an_earlier_owner_reaches_the_newer_one() {
    let mut pair = Pair::connected();
    pair.link.push_order(start("a", 0));
    let call = calls(pair.deliver_batch(0, None).expect("accepted")).pop();
    let mut newer = Link::new(GROUP, 41, pair.session_key().number);
    let end = |_: &str| 0;
    let batch = newer.take_batch(pair.now, 0, Duration::ZERO, end, |_| None);
    let key = batch.session_key();
    pair.relay.handle_batch(batch, pair.now).expect("accepted");
    let outcome = Outcome::Start(Answer::Withheld);
    pair.relay.finish_order(&call.expect("a call"), outcome);
    let news = pair.relay.take_news(key, pair.now).expect("news");
    assert_eq!(newer.handle_news(news), vec![]);
}

#[test]
fn restarted_relay_goes_on_with_a_session_it_does_not_know() {
    let mut pair = Pair::connected();
    pair.relay = persimmon_relay::Relay::default();
    let refused = pair.deliver_batch(0, None).map(|_| ());
    assert_eq!(refused, Err(Refusal::SessionLost));
}

/// A start that was sent may have been carried out; one that was not certainly has not.
#[test]
fn failed_relay_leaves_starts_without_an_answer() {
    let mut pair = Pair::connected();
    pair.link.push_order(start("a", 0));
    pair.deliver_batch(0, None).expect("accepted");
    pair.link.push_order(start("a", 1));
    pair.link.push_order(stop(2));
    let late = pair.news().expect("news");
    let events = pair.reopen();
    let unknown = Event::Started(task(0), 1, Answer::Unknown);
    let withheld = Event::Started(task(1), 1, Answer::Withheld);
    assert_eq!(events, vec![unknown, withheld]);
    assert_eq!(pair.link.handle_news(late), vec![], "of the failed session");
    pair.deliver_batch(0, None).expect("accepted");
    assert!(pair.begin_poll().is_some() || pair.link.has_runner("a"));
}

#[test]
fn order_for_a_runner_of_another_relay_is_lost() {
    let mut pair = Pair::connected();
    let event = pair.link.push_order(start("b", 0));
    let withheld = Event::Started(task(0), 1, Answer::Withheld);
    assert_eq!(event, Some(withheld.clone()));
    pair.link.push_order(start("a", 0));
    assert_eq!(pair.link.remove_runner("a"), vec![withheld]);
    pair.deliver_batch(0, None).expect("accepted");
    assert_eq!(pair.begin_poll(), None);
}

/// With 2 Mbit/s an owner can't send the specification of each job to each relay.
#[test]
fn specification_of_a_job_travels_with_its_orders() {
    let mut pair = Pair::connected();
    pair.link.push_order(start("a", 0));
    let batch = pair.batch(0, None);
    let encoded = postcard::to_stdvec(&batch).expect("encoded").len();
    assert!(encoded < 100, "{encoded} bytes");
}

#[test]
fn answers_reach_the_owner() {
    let mut pair = Pair::connected();
    pair.link.push_order(start("a", 0));
    pair.link.push_order(stop(1));
    let calls = calls(pair.deliver_batch(0, None).expect("accepted"));
    for call in &calls {
        let outcome = match call.kind {
            OrderKind::Start { .. } => Outcome::Start(Answer::Room),
            OrderKind::Stop | OrderKind::Throttle(_) => Outcome::Acknowledged,
        };
        pair.relay.finish_order(call, outcome);
    }
    let events = pair.exchange_news();
    let expected = [
        Event::Started(task(0), 1, Answer::Room),
        Event::Stopped(task(1), 1),
    ];
    assert_eq!(events, expected);
}

/// The owner repeats a stop without an answer, also while the first one still waits for the link.
#[test]
fn repeated_stop_waits_beside_the_first_one() {
    let mut pair = Pair::connected();
    pair.link.push_order(stop(0));
    let first = calls(pair.deliver_batch(0, None).expect("accepted"));
    pair.link.push_order(stop(0));
    assert!(calls(pair.deliver_batch(0, None).expect("accepted")).is_empty());
    pair.relay.finish_order(&first[0], Outcome::Failed);
    pair.link.push_order(stop(0));
    assert_eq!(
        calls(pair.deliver_batch(0, None).expect("accepted")).len(),
        1
    );
}

/// What fills the link of the owner delays the renewals of all leases.
#[test]
fn batch_holds_more_orders_than_the_link_carries() {
    let mut pair = Pair::connected();
    for index in 0..40 {
        pair.link.push_order(start("a", index));
    }
    let mut batches = 0;
    while pair.link.has_orders() {
        let end = |_: &str| 0;
        let mut batch = pair
            .link
            .take_batch(pair.now, 0, Duration::ZERO, end, |_| None);
        let (bytes, events) = pair.link.add_orders(&mut batch, 400, |_, _, _| Ok(9_000));
        let encoded = postcard::to_stdvec(&batch).expect("encoded").len();
        assert!(
            bytes <= 600 && encoded <= 600,
            "{bytes} and {encoded} bytes"
        );
        assert_eq!(events, vec![]);
        batches += 1;
    }
    assert!(batches >= 4, "{batches} batches");
}

/// An order may wait for its turn while the runner leaves or the owner loses its rights.
#[test]
fn start_that_has_waited_is_sent_without_asking_again() {
    let mut pair = Pair::connected();
    pair.link.push_order(start("a", 0));
    pair.link.push_order(start("a", 1));
    let end = |_: &str| 0;
    let now = pair.now;
    let mut batch = pair.link.take_batch(now, 0, Duration::ZERO, end, |_| None);
    let (_, events) = pair
        .link
        .add_orders(&mut batch, usize::MAX, |_, task, _| match task.index {
            0 => Err(Answer::Withheld),
            _ => Ok(9_000),
        });
    let withheld = Event::Started(task(0), 1, Answer::Withheld);
    assert_eq!(events, vec![withheld]);
    let calls = calls(pair.relay.handle_batch(batch, now).expect("accepted"));
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].task, task(1));
}

fn order_of(job: u64, index: u16, order: fn(TaskId) -> Order) -> Order {
    order(TaskId {
        job: JobId::new(job),
        ..task(index)
    })
}

fn start_of(task: TaskId) -> Order {
    match start("a", task.index) {
        Order::Start {
            runner,
            run,
            job,
            checkpoint,
            ..
        } => Order::Start {
            runner,
            task,
            run,
            job,
            checkpoint,
        },
        other => other,
    }
}

fn stop_of(task: TaskId) -> Order {
    Order::Stop {
        runner: "a".to_owned(),
        task,
        run: 1,
    }
}

/// Delivers a batch with this number of orders at the most; returns the calls.
fn deliver_some(pair: &mut Pair, orders: usize) -> Vec<OrderCall> {
    let (end, now) = (|_: &str| 0, pair.now);
    let mut batch = pair.link.take_batch(now, 0, Duration::ZERO, end, |_| None);
    let bytes_max = 48 * orders;
    pair.link
        .add_orders(&mut batch, bytes_max, |_, _, _| Ok(9_000));
    calls(pair.relay.handle_batch(batch, now).expect("accepted"))
}

/// Guards against jobs that wait until all orders of a large one have been sent.
#[test]
fn orders_of_a_job_do_not_wait_for_those_of_a_large_one() {
    for order in [start_of, stop_of] {
        let mut pair = Pair::connected();
        for index in 0..10_000 {
            pair.link.push_order(order_of(1, index, order));
        }
        pair.link.push_order(order_of(2, 0, order));
        let sent = deliver_some(&mut pair, 4);
        assert!(
            sent.iter().any(|it| it.task.job == JobId::new(2)),
            "first {sent:?}"
        );
    }
}

/// Guards against starts that wait for the stops of a large job that was cancelled.
#[test]
fn starts_do_not_wait_for_many_stops() {
    let mut pair = Pair::connected();
    for index in 0..10_000 {
        pair.link.push_order(order_of(1, index, stop_of));
    }
    pair.link.push_order(order_of(1, 0, start_of));
    let sent = deliver_some(&mut pair, 4);
    let is_start = |it: &OrderCall| matches!(it.kind, OrderKind::Start { .. });
    assert!(sent.iter().any(is_start), "first {sent:?}");
}

/// Guards against starts that get too old while they wait at the relay for those before them.
#[test]
fn starts_wait_for_answers_to_earlier_ones() {
    let mut pair = Pair::connected();
    for index in 0..1_000 {
        pair.link.push_order(start("a", index));
    }
    let sent = calls(pair.deliver_batch(0, None).expect("accepted"));
    assert!((64..=256).contains(&sent.len()), "{} starts", sent.len());
    assert!(!pair.link.has_orders(), "the others wait");
    pair.link.push_order(stop(0));
    assert_eq!(
        calls(pair.deliver_batch(0, None).expect("accepted")).len(),
        1,
        "a stop does not"
    );
    for call in &sent[..10] {
        let started = Outcome::Start(Answer::Started);
        pair.relay.finish_order(call, started);
    }
    pair.exchange_news();
    assert!(pair.link.has_orders());
    let sent = calls(pair.deliver_batch(0, None).expect("accepted"));
    assert_eq!(sent.len(), 10);
}

/// Guards against a queue that grows while the engine repeats stops and limits that wait in it.
#[test]
fn repeated_orders_wait_once() {
    let mut pair = Pair::connected();
    for percent in [0, 50, 100] {
        pair.link.push_order(stop(0));
        pair.link.push_order(Order::Throttle {
            runner: "a".to_owned(),
            task: task(1),
            run: 1,
            percent,
        });
    }
    let sent = calls(pair.deliver_batch(0, None).expect("accepted"));
    assert_eq!(sent.len(), 2, "{sent:?}");
    let is_latest = |it: &OrderCall| matches!(it.kind, OrderKind::Throttle(100));
    assert!(sent.iter().any(is_latest), "{sent:?}");
    pair.relay.finish_order(&sent[0], Outcome::Failed);
    pair.link.push_order(stop(0));
    let again = calls(pair.deliver_batch(0, None).expect("accepted"));
    assert_eq!(again.len(), 1, "{again:?}");
}
