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
        let groups = owned.get(key).copied().unwrap_or(0) + 1;
        let weight = shard_of(&format!("{key}#{}", group.0), u16::MAX);
        (
            member.capacity_millis / groups,
            weight,
            Reverse(key.to_owned()),
        )
    };
    let Some(mine) = members.get(own).map(|it| fitness(own, it)) else {
        return members.len() as u32;
    };
    let others = members.iter();
    others.filter(|(key, it)| fitness(key, it) > mine).count() as u32
}
