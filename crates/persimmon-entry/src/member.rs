//! Members, which are processes with a session, and the choice of a group's owner.

use crate::keys::GroupId;
use persimmon_types::shard_of;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// A process with a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    /// Distinguishes the incarnations of the process.
    pub(crate) incarnation: String,
    pub(crate) address: Option<SocketAddr>,
    /// Capacity, in thousandths of a core.
    pub(crate) capacity_millis: u32,
    /// Data centre; empty if the process does not state it.
    pub(crate) data_centre: String,
}

/// Capacity assumed for a process that does not state it, in thousandths of a core.
const CAPACITY_DEFAULT_MILLIS: u32 = 1;

impl Member {
    /// Returns the value of the process's key: incarnation, address, capacity and data centre.
    pub(crate) fn value(options: &crate::Options) -> String {
        format!(
            "{} {} {} {}",
            options.incarnation, options.peer_address, options.capacity_millis, options.data_centre
        )
    }

    pub(crate) fn parse(text: &str) -> Self {
        let mut words = text.split(' ');
        let mut next = || words.next().unwrap_or_default();
        Self {
            incarnation: next().to_owned(),
            address: next().parse().ok(),
            capacity_millis: next().parse().unwrap_or(CAPACITY_DEFAULT_MILLIS),
            data_centre: next().to_owned(),
        }
    }
}

/// Returns how many of `members` are preferred to `own_key` as the owner of `group`: those with
/// more capacity per group if they owned one more, or with as much and a higher weight in
/// rendezvous hashing.
pub(crate) fn count_preferred_processes(
    members: &BTreeMap<String, Member>,
    group_counts: &HashMap<String, u32>,
    group: GroupId,
    own_key: &str,
) -> u32 {
    let fitness = |key: &str, member: &Member| {
        let weight = shard_of(&format!("{key}#{}", group.0), u16::MAX);
        let millis =
            capacity_per_group_millis(member, group_counts.get(key).copied().unwrap_or(0) + 1);
        (millis, weight, Reverse(key.to_owned()))
    };
    let Some(own_fitness) = members.get(own_key).map(|it| fitness(own_key, it)) else {
        return members.len() as u32;
    };
    let others = members.iter();
    others
        .filter(|(key, it)| fitness(key, it) > own_fitness)
        .count() as u32
}

/// A group is handed over only to a process with this many times as much capacity for it, because
/// each move leaves its runners without decisions for a moment.
const HAND_OVER_CAPACITY_FACTOR: u32 = 2;

/// Returns whether `own_key` should hand a group over because another process has much more
/// capacity for it.
pub(crate) fn should_hand_over(
    members: &BTreeMap<String, Member>,
    group_counts: &HashMap<String, u32>,
    own_key: &str,
) -> bool {
    let groups = |key: &str| group_counts.get(key).copied().unwrap_or(0);
    let Some(own_member) = members.get(own_key) else {
        return false;
    };
    let own_millis = capacity_per_group_millis(own_member, groups(own_key).max(1));
    let others = members.iter().filter(|(key, _)| *key != own_key);
    let mut other_millis = others.map(|(key, it)| capacity_per_group_millis(it, groups(key) + 1));
    other_millis.any(|millis| millis >= own_millis.saturating_mul(HAND_OVER_CAPACITY_FACTOR))
}

/// Returns a member's capacity per group if it owns `groups` groups, in thousandths of a core.
fn capacity_per_group_millis(member: &Member, groups: u32) -> u32 {
    member.capacity_millis / groups
}
