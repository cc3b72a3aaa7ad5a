//! Which relay calls which runner.
//!
//! Runners stay where they are as long as they can; others go to the largest relay of their data
//! centre with room, so that few instances hold connections and bytes between data centres stay
//! low.

use persimmon_types::shard_of;
use std::collections::{BTreeMap, HashMap};

/// An instance that may carry runners.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Unique key of the instance.
    pub key: String,
    /// Capacity, in thousandths of a core.
    pub capacity_millis: u32,
    /// The data centre that it is in.
    pub data_centre: String,
}

/// A runner to be assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Id of the runner.
    pub id: &'a str,
    /// The data centre that it is in.
    pub data_centre: &'a str,
}

/// Capacity that a runner takes up, in thousandths of a core: about two polls and three other calls
/// a second of 0.2 ms each, and three times that in a burst.
const RUNNER_MILLIS: u32 = 4;
/// Most runners of a relay, so that one that fails takes few along.
const RUNNERS_MAX: usize = 48;
/// A relay keeps runners up to its limit times this, in percent.
const KEEP_PERCENT: usize = 125;

struct Load<'a> {
    member: &'a Member,
    limit: usize,
    count: usize,
}

/// Returns the key of the relay of each runner. `current` holds the present relays; without members
/// nothing is assigned.
pub fn assign<'a>(
    runners: &[Candidate<'a>],
    members: &[Member],
    current: &HashMap<String, String>,
) -> BTreeMap<&'a str, String> {
    let mut assigned = BTreeMap::new();
    if members.is_empty() {
        return assigned;
    }
    let mut loads = loads(runners.len(), members);
    let keys = members.iter().map(|member| member.key.as_str());
    let at_of: HashMap<_, _> = keys.enumerate().map(|(at, key)| (key, at)).collect();
    let mut unassigned = Vec::new();
    for runner in runners {
        let kept = current.get(runner.id).and_then(|key| {
            let load = &mut loads[*at_of.get(key.as_str())?];
            (load.count < load.limit * KEEP_PERCENT / 100).then_some(load)
        });
        match kept {
            Some(load) => {
                load.count += 1;
                assigned.insert(runner.id, load.member.key.clone());
            }
            None => unassigned.push(runner),
        }
    }
    for runner in unassigned {
        let best = loads.iter_mut().max_by_key(|it| it.fitness(runner));
        if let Some(load) = best {
            load.count += 1;
            assigned.insert(runner.id, load.member.key.clone());
        }
    }
    assigned
}

/// Limits of the members, raised in proportion until all runners fit.
fn loads(runner_count: usize, members: &[Member]) -> Vec<Load<'_>> {
    let limit = |it: &Member| ((it.capacity_millis / RUNNER_MILLIS) as usize).clamp(1, RUNNERS_MAX);
    let total: usize = members.iter().map(limit).sum();
    let scaled = |limit: usize| limit.max((limit * runner_count).div_ceil(total));
    let loads = members.iter().map(|member| Load {
        member,
        limit: scaled(limit(member)),
        count: 0,
    });
    loads.collect()
}

impl Load<'_> {
    /// How well the relay suits one more runner; higher is better.
    fn fitness(&self, runner: &Candidate<'_>) -> (bool, bool, usize, u16) {
        let has_room = self.count < self.limit;
        let is_near = self.member.data_centre == runner.data_centre;
        let size = if has_room {
            self.limit
        } else {
            usize::MAX - self.count
        };
        (
            has_room,
            is_near,
            size,
            shard_of(&self.member.key, u16::MAX),
        )
    }
}
