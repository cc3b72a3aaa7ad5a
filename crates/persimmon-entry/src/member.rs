//! What processes write of themselves in the store, and which of them should own a group.

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
    /// Tells its incarnations apart.
    pub(crate) incarnation: String,
    pub(crate) address: Option<SocketAddr>,
    /// What it can carry, in thousandths of a core.
    pub(crate) capacity_millis: u32,
}

/// Assumed of a process that does not say what it can carry.
const CAPACITY_UNKNOWN: u32 = 1;

impl Member {
    /// The value of a process's key: its incarnation, address and capacity.
    pub(crate) fn value(options: &crate::Options) -> String {
        format!(
            "{} {} {}",
            options.incarnation, options.peer_address, options.capacity_millis
        )
    }

    pub(crate) fn parse(text: &str) -> Self {
        let mut words = text.split(' ');
        let mut next = || words.next().unwrap_or_default();
        Self {
            incarnation: next().to_owned(),
            address: next().parse().ok(),
            capacity_millis: next().parse().unwrap_or(CAPACITY_UNKNOWN),
        }
    }
}

/// How many of `members` should rather take `group` than `own`: each has more capacity left for one
/// more group, going by how many it owns, or as much and a higher weight in rendezvous hashing.
pub(crate) fn better(
    members: &BTreeMap<String, Member>,
    owned: &HashMap<String, u32>,
    group: GroupId,
    own: &str,
) -> u32 {
    let fitness = |key: &str, member: &Member| {
        let weight = shard_of(&format!("{key}#{}", group.0), u16::MAX);
        let left_millis = left_millis(member, owned.get(key).copied().unwrap_or(0) + 1);
        (left_millis, weight, Reverse(key.to_owned()))
    };
    let Some(mine) = members.get(own).map(|it| fitness(own, it)) else {
        return members.len() as u32;
    };
    let others = members.iter();
    others.filter(|(key, it)| fitness(key, it) > mine).count() as u32
}

/// A group moves only to whom has so many times as much left for it: each move costs its runners a
/// moment without decisions.
const MOVE_FACTOR: u32 = 2;

/// Tells whether `own` should give a group away: another has much more capacity left for it.
pub(crate) fn should_give_way(
    members: &BTreeMap<String, Member>,
    owned: &HashMap<String, u32>,
    own: &str,
) -> bool {
    let groups = |key: &str| owned.get(key).copied().unwrap_or(0);
    let Some(mine) = members.get(own) else {
        return false;
    };
    let kept_millis = left_millis(mine, groups(own).max(1));
    let others = members.iter().filter(|(key, _)| *key != own);
    let mut left = others.map(|(key, it)| left_millis(it, groups(key) + 1));
    left.any(|millis| millis >= kept_millis.saturating_mul(MOVE_FACTOR))
}

/// The share of a member's capacity that each of `groups` gets, in thousandths of a core.
fn left_millis(member: &Member, groups: u32) -> u32 {
    member.capacity_millis / groups
}
