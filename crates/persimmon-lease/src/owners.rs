/// The member that should own each of `shard_count` shards, as positions in `members`.
///
/// Each shard goes to the member that ranks highest for it among those that have not their part yet,
/// so that parts differ by one at most and few shards move when members change. All daemons compute
/// the same from the same members in the same order; without members nobody owns any.
pub fn owners(shard_count: u16, members: &[String]) -> Vec<Option<usize>> {
    let mut owned = vec![0; members.len()];
    let full = usize::from(shard_count) / members.len().max(1);
    let mut owners = Vec::with_capacity(usize::from(shard_count));
    for shard in 0..shard_count {
        // The even part first; what remains goes round once more.
        let least = owned.iter().min().copied().unwrap_or(0);
        let open = |at: &usize| owned[*at] < full || (least >= full && owned[*at] == least);
        let best = (0..members.len())
            .filter(open)
            .max_by_key(|at| rank(shard, &members[*at]));
        if let Some(at) = best {
            owned[at] += 1;
        }
        owners.push(best);
    }
    owners
}

/// 64-bit FNV-1a with a final mix, which every version must compute alike.
fn rank(shard: u16, member: &str) -> u64 {
    let bytes = member.bytes().chain([0]).chain(shard.to_be_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
