use persimmon_route::share;
use proptest::prelude::*;

fn members(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

proptest! {
    #[test]
    fn share_sums_to_total(total in 1u32..100, count in 1usize..20, endpoint in "[a-z0-9]{1,8}") {
        let members = members(count);
        let parts: Vec<u32> =
            members.iter().map(|member| share(total, &endpoint, member, &members)).collect();
        prop_assert_eq!(parts.iter().sum::<u32>(), total);
        let (least, most) = (parts.iter().min().unwrap(), parts.iter().max().unwrap());
        prop_assert!(most - least <= 1);
    }
}

#[test]
fn share_of_a_stranger() {
    assert_eq!(share(8, "r1", "stranger", &members(3)), 0);
    assert_eq!(share(8, "r1", "stranger", &[]), 0);
}

#[test]
fn share_spreads_the_remainder() {
    let members = members(3);
    let with_more = |member: &str| {
        (0..300)
            .filter(|number| share(8, &format!("r{number}"), member, &members) == 3)
            .count()
    };
    for member in &members {
        let count = with_more(member);
        assert!(
            (150..250).contains(&count),
            "{member} has the larger part of {count} of 300"
        );
    }
}
