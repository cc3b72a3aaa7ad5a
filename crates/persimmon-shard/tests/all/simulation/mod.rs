//! Simulates a shard's record, its workers and a sequence of owners, of which earlier ones may
//! resume after a pause. Calls are delayed or lost, responses are lost, and an owner may place more
//! jobs before a commit is confirmed.

mod model;
mod worker;

use model::{Simulation, Step};
use proptest::prelude::*;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..2_500u64).prop_map(Step::AdvanceTime),
        4 => (0..3usize, any::<bool>())
            .prop_map(|(class, response_lost)| Step::Submit { class, response_lost }),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => any::<usize>().prop_map(Step::Evict),
        12 => any::<bool>().prop_map(|response_lost| Step::Round { response_lost }),
        4 => (0..4usize, any::<bool>())
            .prop_map(|(worker, response_lost)| Step::Sync { worker, response_lost }),
        2 => (0..4usize).prop_map(Step::SendDelayed),
        2 => Just(Step::DeliverDelayed),
        1 => (0..4usize, any::<bool>())
            .prop_map(|(worker, partitioned)| Step::SetPartitioned { worker, partitioned }),
        1 => (0..4usize).prop_map(Step::RestartWorker),
        1 => (0..4usize, any::<bool>())
            .prop_map(|(worker, failing)| Step::SetFailing { worker, failing }),
        1 => (0..4usize, any::<bool>())
            .prop_map(|(worker, leaving)| Step::SetLeaving { worker, leaving }),
        1 => Just(Step::Takeover),
        1 => Just(Step::ResumeEarlierOwner),
    ]
}

proptest! {
    #[test]
    fn no_job_is_lost_or_run_twice(steps in prop::collection::vec(step(), 1..200)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
            simulation.check_invariants();
        }
        simulation.run_until_settled();
        simulation.check_settled();
    }
}
