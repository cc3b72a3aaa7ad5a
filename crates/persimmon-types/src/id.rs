use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Identifies a job by its home shard and its number in that shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// The index of the home shard.
    pub shard: u16,
    /// The job's number within the shard, counted from 1.
    pub number: u64,
}

/// The error returned when a job ID is not of the form `SHARD-NUMBER`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("job id {text:?} is not SHARD-NUMBER, for example 3-17")]
pub struct ParseJobIdError {
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for JobId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.shard, self.number)
    }
}

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once('-');
        let parsed = parts.and_then(|(shard, number)| {
            Some(Self {
                shard: shard.parse().ok()?,
                number: number.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| ParseJobIdError {
            text: text.to_owned(),
        })
    }
}

/// Returns a hash of a name that is the same on all instances and in all versions: 64-bit FNV-1a.
pub fn name_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Maps `name` (a rack or an idempotency key) to one of `shard_count` shards.
///
/// Uses 64-bit FNV-1a, with the upper half folded into the lower by XOR: daemons of all versions
/// must map a name to the same shard.
pub fn shard_of(name: &str, shard_count: u16) -> u16 {
    let hash = name_hash(name);
    ((hash ^ (hash >> 32)) % u64::from(shard_count.max(1))) as u16
}
