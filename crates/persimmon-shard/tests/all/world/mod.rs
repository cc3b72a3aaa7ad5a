//! A shard's record, its workers, and up to three owners one after another, of which earlier ones
//! may wake from a freeze. Calls are late, lost or answered late; writes lose their answers.

mod model;
mod worker;

use model::{Step, World};
use proptest::prelude::*;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..2_500u64).prop_map(Step::Pass),
        4 => (0..3usize, any::<bool>())
            .prop_map(|(class, answer_lost)| Step::Submit { class, answer_lost }),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => any::<usize>().prop_map(Step::Evict),
        12 => any::<bool>().prop_map(|answer_lost| Step::Round { answer_lost }),
        4 => (0..4usize, any::<bool>()).prop_map(|(worker, lost)| Step::Sync { worker, lost }),
        2 => (0..4usize).prop_map(Step::SendLate),
        2 => Just(Step::DeliverLate),
        1 => (0..4usize, any::<bool>()).prop_map(|(worker, cut)| Step::Cut { worker, cut }),
        1 => (0..4usize).prop_map(Step::RestartWorker),
        1 => (0..4usize, any::<bool>()).prop_map(|(worker, fails)| Step::Fails { worker, fails }),
        1 => (0..4usize, any::<bool>())
            .prop_map(|(worker, leaving)| Step::Leaving { worker, leaving }),
        1 => Just(Step::Takeover),
        1 => Just(Step::WakeOld),
    ]
}

proptest! {
    #[test]
    fn world_nothing_lost_or_doubled(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        for step in steps {
            world.take(step);
            world.check();
        }
        world.settle();
        world.check_settled();
    }
}
