use persimmon_lease::owners;
use proptest::prelude::*;

fn members(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("entry-{number:02}"))
        .collect()
}

proptest! {
    #[test]
    fn owners_spread_evenly(shards in 1u16..200, count in 1usize..30) {
        let owners = owners(shards, &members(count));
        let part = |member: usize| owners.iter().filter(|it| **it == Some(member)).count();
        let parts: Vec<usize> = (0..count).map(part).collect();
        prop_assert_eq!(parts.iter().sum::<usize>(), usize::from(shards));
        let (least, most) = (parts.iter().min().unwrap(), parts.iter().max().unwrap());
        prop_assert!(most - least <= 1, "{:?}", parts);
    }
}

#[test]
fn owners_few_move() {
    let before = owners(64, &members(8));
    let after = owners(64, &members(7));
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(old, new)| old != new)
        .count();
    // The lost member's 8 must move; a fresh deal would move about 56.
    assert!((8..=32).contains(&moved), "{moved} of 64 moved");
}

#[test]
fn owners_nobody() {
    assert_eq!(owners(3, &[]), [None, None, None]);
}
