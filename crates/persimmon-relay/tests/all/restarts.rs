//! Runners that restart under the same id, whose clock and numbers of ends start anew.

use crate::support::{end, report, Pair};
use persimmon_sched::Report;

/// Of the second incarnation, whose clock is behind that of the first.
fn restarted() -> Report {
    Report {
        incarnation_ms: 2,
        clock_ms: 100,
        ..report(vec![], vec![])
    }
}

/// The owner has granted a lease and acknowledged an end to the first incarnation.
fn granted() -> Pair {
    let mut pair = Pair::connected();
    pair.poll(Some(report(vec![], vec![end(1, 0)])));
    pair.exchange_news();
    pair.deliver_batch(1, Some(11_000)).expect("accepted");
    let poll = pair.begin_poll().expect("a poll");
    assert_eq!((poll.acknowledged_end, poll.deadline_ms), (1, Some(11_000)));
    pair
}

fn assert_nothing_granted(pair: &mut Pair) {
    let poll = pair.begin_poll().expect("a poll");
    assert_eq!((poll.acknowledged_end, poll.deadline_ms), (0, None));
}

/// The lease of the new incarnation would be extended without the owner, and its first ends lost.
#[test]
fn restarted_runner_is_granted_what_its_earlier_incarnation_was() {
    let mut pair = granted();
    pair.poll(Some(restarted()));
    assert_nothing_granted(&mut pair);
}

#[test]
fn batch_from_before_a_restart_grants_to_the_restarted_runner() {
    let mut pair = granted();
    let late = pair.batch(1, Some(12_000));
    pair.poll(Some(restarted()));
    pair.exchange_news();
    pair.relay.handle_batch(late, pair.now).expect("accepted");
    assert_nothing_granted(&mut pair);

    pair.deliver_batch(0, Some(6_100)).expect("accepted");
    let poll = pair.begin_poll().expect("a poll");
    assert_eq!((poll.acknowledged_end, poll.deadline_ms), (0, Some(6_100)));
}

/// Its answer tells whether it has restarted, so until then its ends are kept.
#[test]
fn runner_that_may_have_restarted_is_told_to_drop_ends() {
    let mut pair = granted();
    pair.poll(None);
    assert_eq!(pair.begin_poll().expect("a poll").acknowledged_end, 0);

    let mut pair = granted();
    pair.advance(2_900);
    let poll = pair.begin_poll().expect("a relay that was suspended");
    assert_eq!(poll.acknowledged_end, 0);
}
