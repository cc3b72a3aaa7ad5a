use persimmon_interference::{relieve, Disturber};
use proptest::{collection::vec, prelude::*};

fn disturber(cost: u32, rises: &[f64]) -> Disturber<u32> {
    Disturber {
        cost,
        rises: rises.to_vec(),
    }
}

#[test]
fn no_more_give_way_than_are_needed() {
    let all = [
        disturber(1, &[0.3]),
        disturber(0, &[0.3]),
        disturber(2, &[0.3]),
    ];
    assert_eq!(relieve(&all, &[0.2]), [1]);
    assert_eq!(relieve(&all, &[0.5]), [1, 0]);
}

#[test]
fn largest_rise_gives_way_first_among_equal_costs() {
    let all = [disturber(0, &[0.2]), disturber(0, &[0.6])];
    assert_eq!(relieve(&all, &[0.5]), [1]);
}

/// One that disturbs no service whose tail latency is too high goes on, however cheap.
#[test]
fn run_that_does_not_help_goes_on() {
    let all = [disturber(0, &[0.0, 0.9]), disturber(1, &[0.4, 0.0])];
    assert_eq!(relieve(&all, &[0.3, 0.0]), [1]);
}

proptest! {
    /// Either each excess is covered, or nothing that would help is left; and none of those chosen last
    /// could have been left out.
    #[test]
    fn chosen_runs_are_enough_and_the_last_is_needed(
        all in vec((0..3_u32, vec(0.0..1.0_f64, 2)), 0..8),
        excesses in vec(0.0..2.0_f64, 2),
    ) {
        let all: Vec<_> = all.iter().map(|(cost, rises)| disturber(*cost, rises)).collect();
        let chosen = relieve(&all, &excesses);
        let left = |chosen: &[usize], at: usize| {
            let ended: f64 = chosen.iter().map(|&it| all[it].rises[at]).sum();
            excesses[at] - ended
        };
        let covered = |chosen: &[usize]| (0..2).all(|at| left(chosen, at) <= 1e-9);
        prop_assert!(covered(&chosen) || chosen.len() == all.len());
        if let Some((_, earlier)) = chosen.split_last() {
            prop_assert!(!covered(earlier));
        }
    }
}
