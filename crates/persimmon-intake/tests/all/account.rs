use persimmon_intake::{Account, Full, Key, Limits};
use proptest::{collection::vec, prelude::*};
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits {
    connections: 4,
    bytes: 1_000,
    in_progress: 2,
};

fn account() -> (Account, Instant) {
    (Account::new(LIMITS), Instant::now())
}

fn open(account: &mut Account, now: Instant) -> Key {
    account.open(now).expect("room").0
}

#[test]
fn oldest_idle_connection_gives_way_to_a_new_one() {
    let (mut account, now) = account();
    let later = now + Duration::from_secs(1);
    let first = open(&mut account, later);
    let oldest = open(&mut account, now);
    open(&mut account, later);
    open(&mut account, later);
    let (_, closed) = account.open(later).expect("room");
    assert_eq!(closed, Some(oldest));
    account.end(first, later + Duration::from_secs(1));
    assert_eq!(account.connections(), LIMITS.connections);
}

#[test]
fn large_unfinished_request_gives_way_to_a_small_one() {
    let (mut account, now) = account();
    let large = open(&mut account, now);
    let small = open(&mut account, now);
    assert_eq!(account.hold(large, 900), Ok(vec![]));
    assert_eq!(account.hold(small, 200), Ok(vec![large]));
    assert_eq!(account.bytes(), 200);
    assert_eq!(account.hold(large, 1), Err(Full), "it is closed");
}

#[test]
fn largest_request_is_refused_rather_than_others_closed() {
    let (mut account, now) = account();
    let small = open(&mut account, now);
    let large = open(&mut account, now);
    account.hold(small, 200).expect("room");
    assert_eq!(account.hold(large, 801), Err(Full));
    assert_eq!(account.bytes(), 200);
}

#[test]
fn request_in_progress_is_not_closed() {
    let (mut account, now) = account();
    let complete = open(&mut account, now);
    account.hold(complete, 900).expect("room");
    account.begin(complete).expect("room");
    let other = open(&mut account, now);
    assert_eq!(account.hold(other, 200), Err(Full));
    account.end(complete, now);
    assert_eq!(account.hold(other, 200), Ok(vec![]));
}

#[test]
fn requests_in_progress_are_bounded() {
    let (mut account, now) = account();
    let keys: Vec<_> = (0..3).map(|_| open(&mut account, now)).collect();
    assert_eq!(account.begin(keys[0]), Ok(()));
    assert_eq!(account.begin(keys[1]), Ok(()));
    assert_eq!(account.begin(keys[2]), Err(Full));
    account.close(keys[0]);
    assert_eq!(account.begin(keys[2]), Ok(()));
    assert_eq!(account.in_progress(), 2);
}

#[derive(Debug, Clone)]
enum Event {
    Open,
    Hold(usize, usize),
    Begin(usize),
    End(usize),
    Close(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let at = 0..6_usize;
    prop_oneof![
        Just(Event::Open),
        (at.clone(), 0..700_usize).prop_map(|(at, bytes)| Event::Hold(at, bytes)),
        at.clone().prop_map(Event::Begin),
        at.clone().prop_map(Event::End),
        at.prop_map(Event::Close),
    ]
}

proptest! {
    /// Whatever a crowd does, the sums stay within the limits, and unless all connections are of
    /// requests in progress a new one with a small request gets in at once.
    #[test]
    fn limits_hold_and_a_small_request_gets_in(events in vec(event(), 0..60)) {
        let (mut account, now) = account();
        let mut keys = Vec::new();
        for (number, event) in events.into_iter().enumerate() {
            let now = now + Duration::from_millis(number as u64);
            let key = |at: usize| keys.iter().rev().nth(at).copied();
            match event {
                Event::Open => keys.extend(account.open(now).map(|it| it.0)),
                Event::Hold(at, bytes) => {
                    let _ = key(at).map(|it| account.hold(it, bytes));
                }
                Event::Begin(at) => {
                    let _ = key(at).map(|it| account.begin(it));
                }
                Event::End(at) => key(at).into_iter().for_each(|it| account.end(it, now)),
                Event::Close(at) => key(at).into_iter().for_each(|it| account.close(it)),
            }
            prop_assert!(account.connections() <= LIMITS.connections);
            prop_assert!(account.bytes() <= LIMITS.bytes);
            prop_assert!(account.in_progress() <= LIMITS.in_progress);
        }
        let may_open = account.in_progress() < LIMITS.connections;
        let opened = account.open(now + Duration::from_secs(1));
        prop_assert_eq!(opened.is_ok(), may_open);
        if let Ok((key, _)) = opened {
            let is_held = account.hold(key, 1).is_ok();
            let is_full = account.bytes() == LIMITS.bytes;
            prop_assert!(is_held || is_full);
        }
    }
}
