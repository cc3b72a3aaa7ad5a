/// How many of a shard's witnesses must agree.
///
/// The owner is not a witness of its own shards, since a taker can't ask it once it is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    witness_count: usize,
}

impl Quorum {
    /// Creates the quorum rule for `witness_count` witnesses.
    pub fn of(witness_count: usize) -> Self {
        Self { witness_count }
    }

    /// The number of promises that a holder needs: a majority.
    pub fn promises_required(self) -> usize {
        if self.witness_count == 0 {
            return 0;
        }
        self.witness_count / 2 + 1
    }

    /// The number of releases that a taker needs: the fewest that intersect every majority.
    pub fn releases_required(self) -> usize {
        self.witness_count - self.promises_required() + usize::from(self.witness_count > 0)
    }
}
