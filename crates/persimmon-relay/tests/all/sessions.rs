//! Sessions that a relay has dropped.

use crate::support::{address, Pair, GROUP};
use persimmon_relay::{Link, Refusal, RunnerIndex};
use std::time::Duration;

/// Longer than a relay waits for an owner.
const SILENCE_MS: u64 = 4_000;

/// A session that was opened again would have none of its runners, and nobody would call them.
#[test]
fn batch_reopens_a_session_that_the_relay_has_dropped() {
    let mut pair = Pair::unanswered();
    pair.advance(SILENCE_MS);
    assert_eq!(pair.begin_poll(), None, "the owner was silent");
    let refused = pair.deliver_batch(0, None).map(|_| ());
    assert_eq!(refused, Err(Refusal::SessionLost));
}

#[test]
fn replaced_owner_is_served_once_the_newer_one_was_silent() {
    let mut pair = Pair::connected();
    let mut newer = Link::new(GROUP, 41, 1);
    newer.add_runner(address("a"));
    let end = |_: &str| 0;
    let batch = newer.take_batch(pair.now, 0, Duration::ZERO, end, |_| None);
    let key = batch.session_key();
    pair.relay.handle_batch(batch, pair.now).expect("accepted");
    pair.advance(SILENCE_MS);
    let poll = pair.relay.begin_poll(key, RunnerIndex(0), pair.now);
    assert_eq!(poll, None, "the newer owner was silent");
    pair.reopen();
    let refused = pair.deliver_batch(0, None).map(|_| ());
    assert_eq!(refused, Err(Refusal::Superseded(41)));
}
