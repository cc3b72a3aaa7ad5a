/// Returns how many of an endpoint's `total` slots or connections `member` may use.
///
/// All members compute the same split: equal shares, with the remainder going to the members that
/// rank first for this endpoint, so that the shares always sum to `total`. If there are more
/// members than slots, each endpoint serves only a subset of the members. A `member` that is not in
/// `members` gets nothing.
pub fn share(total: u32, endpoint: &str, member: &str, members: &[String]) -> u32 {
    if !members.iter().any(|other| other == member) {
        return 0;
    }
    let count = members.len() as u32;
    let own_rank = (rank(endpoint, member), member);
    let preceding = members
        .iter()
        .filter(|other| (rank(endpoint, other), other.as_str()) < own_rank)
        .count() as u32;
    total / count + u32::from(preceding < total % count)
}

/// 64-bit FNV-1a with a final mix; every version must compute the same value, since members of
/// different versions have to agree on the shares.
fn rank(endpoint: &str, member: &str) -> u64 {
    let bytes = endpoint.bytes().chain([0]).chain(member.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
