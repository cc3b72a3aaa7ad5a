use persimmon_relay::{
    assign,
    assign::{Candidate, Member},
};
use std::collections::{BTreeMap, HashMap};

fn member(key: &str, capacity_millis: u32, data_centre: &str) -> Member {
    Member {
        key: key.to_owned(),
        capacity_millis,
        data_centre: data_centre.to_owned(),
    }
}

fn counts(assigned: &BTreeMap<&str, String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for key in assigned.values() {
        *counts.entry(key.clone()).or_default() += 1;
    }
    counts
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("r{at:03}")).collect()
}

fn candidates<'a>(ids: &'a [String], centres: &[&'a str]) -> Vec<Candidate<'a>> {
    let ids = ids.iter().enumerate();
    ids.map(|(at, id)| Candidate {
        id,
        data_centre: centres[at % centres.len()],
    })
    .collect()
}

#[test]
fn runners_go_to_the_largest_members_of_their_data_centre() {
    let members = [
        member("large-a", 500, "a"),
        member("small-a", 120, "a"),
        member("large-b", 500, "b"),
    ];
    let ids = ids(40);
    let assigned = assign(&candidates(&ids, &["a", "b"]), &members, &HashMap::new());
    let expected = [("large-a".to_owned(), 20), ("large-b".to_owned(), 20)];
    assert_eq!(counts(&assigned), BTreeMap::from(expected));
}

/// A data centre without instances of ours still has runners.
#[test]
fn runners_without_a_member_near_go_elsewhere() {
    let ids = ids(10);
    let members = [member("a", 500, "a")];
    let assigned = assign(&candidates(&ids, &["b"]), &members, &HashMap::new());
    assert_eq!(assigned.len(), 10);
    assert!(assign(&candidates(&ids, &["b"]), &[], &HashMap::new()).is_empty());
}

/// 18 instances of 0.12 core on links of 2 Mbit/s carry 192 runners only together.
#[test]
fn weak_members_share_the_runners_evenly() {
    let members: Vec<_> = (0..18)
        .map(|at| member(&format!("m{at:02}"), 20, "a"))
        .collect();
    let ids = ids(192);
    let assigned = assign(&candidates(&ids, &["a"]), &members, &HashMap::new());
    assert_eq!(assigned.len(), 192);
    let most = counts(&assigned).into_values().max();
    assert!(most <= Some(11), "{most:?} runners on one member");
}

#[test]
fn runners_move_only_from_members_that_left_or_are_full() {
    let members: Vec<_> = (0..6)
        .map(|at| member(&format!("m{at}"), 200, "a"))
        .collect();
    let ids = ids(150);
    let runners = candidates(&ids, &["a"]);
    let before = assign(&runners, &members, &HashMap::new());
    let current: HashMap<_, _> = before
        .iter()
        .map(|(id, key)| ((*id).to_owned(), key.clone()))
        .collect();
    assert_eq!(assign(&runners, &members, &current), before);
    let left = before["r000"].clone();
    let rest: Vec<_> = members.into_iter().filter(|it| it.key != left).collect();
    let after = assign(&runners, &rest, &current);
    for (id, key) in &after {
        assert_ne!(*key, left);
        assert!(before[id] == left || before[id] == *key, "{id} moved");
    }
}
