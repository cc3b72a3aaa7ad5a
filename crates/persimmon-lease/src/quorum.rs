/// How many of a shard's witnesses must agree.
///
/// The owner is no witness of itself, since a taker could never ask it after its death.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    witnesses: usize,
}

impl Quorum {
    /// The quorum among `witnesses` members.
    pub fn of(witnesses: usize) -> Self {
        Self { witnesses }
    }

    /// The promises that a holder needs: a majority.
    pub fn promises(self) -> usize {
        if self.witnesses == 0 {
            return 0;
        }
        self.witnesses / 2 + 1
    }

    /// The releases that a taker needs: the fewest that meet every majority.
    pub fn releases(self) -> usize {
        self.witnesses - self.promises() + usize::from(self.witnesses > 0)
    }
}
