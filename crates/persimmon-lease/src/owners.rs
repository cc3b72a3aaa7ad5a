/// Returns the member that should own each of `shard_count` shards, as indices into `members`.
///
/// Each shard goes to the member with the highest rank for it among those below their fair share
/// (rendezvous hashing with a capacity), so that the members' shard counts differ by one at most
/// and few shards move when the members change. All daemons compute the same assignment from the
/// same members in the same order; without members no shard has an owner.
pub fn owners(shard_count: u16, members: &[String]) -> Vec<Option<usize>> {
    let mut shard_counts = vec![0; members.len()];
    let fair_share = usize::from(shard_count) / members.len().max(1);
    let mut owners = Vec::with_capacity(usize::from(shard_count));
    for shard in 0..shard_count {
        // Members first get the fair share, rounded down; each then takes at most one of the rest.
        let min_count = shard_counts.iter().min().copied().unwrap_or(0);
        let is_eligible = |member: &usize| {
            shard_counts[*member] < fair_share
                || (min_count >= fair_share && shard_counts[*member] == min_count)
        };
        let highest_ranked = (0..members.len())
            .filter(is_eligible)
            .max_by_key(|member| rank(shard, &members[*member]));
        if let Some(member) = highest_ranked {
            shard_counts[member] += 1;
        }
        owners.push(highest_ranked);
    }
    owners
}

/// 64-bit FNV-1a with a final mix; every version must compute the same value, since members of
/// different versions have to agree on the owners.
fn rank(shard: u16, member: &str) -> u64 {
    let bytes = member.bytes().chain([0]).chain(shard.to_be_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
