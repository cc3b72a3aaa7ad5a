use persimmon_lease::owners;
use proptest::prelude::*;

fn members(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("entry-{number:02}"))
        .collect()
}

proptest! {
    #[test]
    fn owners_have_even_shard_counts(shards in 1u16..200, count in 1usize..30) {
        let owners = owners(shards, &members(count));
        let shard_count =
            |member: usize| owners.iter().filter(|owner| **owner == Some(member)).count();
        let shard_counts: Vec<usize> = (0..count).map(shard_count).collect();
        prop_assert_eq!(shard_counts.iter().sum::<usize>(), usize::from(shards));
        let (min_count, max_count) =
            (shard_counts.iter().min().unwrap(), shard_counts.iter().max().unwrap());
        prop_assert!(max_count - min_count <= 1, "{:?}", shard_counts);
    }
}

#[test]
fn owners_few_shards_move_when_a_member_leaves() {
    let before = owners(64, &members(8));
    let after = owners(64, &members(7));
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(old, new)| old != new)
        .count();
    // The 8 shards of the departed member must move; a random reassignment would move about 56.
    assert!((8..=32).contains(&moved), "{moved} of 64 moved");
}

#[test]
fn owners_without_members() {
    assert_eq!(owners(3, &[]), [None, None, None]);
}
