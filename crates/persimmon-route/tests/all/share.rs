use persimmon_route::share;
use proptest::prelude::*;

fn members(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

proptest! {
    #[test]
    fn share_is_even_and_sums_to_total(
        total in 1u32..100,
        count in 1usize..20,
        endpoint in "[a-z0-9]{1,8}",
    ) {
        let members = members(count);
        let shares: Vec<u32> =
            members.iter().map(|member| share(total, &endpoint, member, &members)).collect();
        prop_assert_eq!(shares.iter().sum::<u32>(), total);
        let (smallest, largest) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
        prop_assert!(largest - smallest <= 1);
    }
}

#[test]
fn share_is_zero_for_a_non_member() {
    assert_eq!(share(8, "r1", "stranger", &members(3)), 0);
    assert_eq!(share(8, "r1", "stranger", &[]), 0);
}

#[test]
fn share_remainders_are_spread_over_members() {
    let members = members(3);
    let larger_share_count = |member: &str| {
        (0..300)
            .filter(|number| share(8, &format!("r{number}"), member, &members) == 3)
            .count()
    };
    for member in &members {
        let count = larger_share_count(member);
        assert!(
            (150..250).contains(&count),
            "{member} has the larger share of {count} of 300 endpoints"
        );
    }
}
