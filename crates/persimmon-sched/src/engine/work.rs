/// How much work a placement pass has left, in looks at runners.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Work {
    left: usize,
}

/// Entries of a list, each of which takes a small part of what a look at a runner takes, that count as
/// one look.
const ENTRIES_PER_LOOK: usize = 8;

impl Work {
    pub(super) fn new(looks: usize) -> Self {
        Self { left: looks }
    }

    /// Adds this number of looks at runners.
    pub(super) fn add(&mut self, looks: usize) {
        self.left += looks;
    }

    /// Spends this number of looks at runners.
    pub(super) fn spend(&mut self, looks: usize) {
        self.left = self.left.saturating_sub(looks);
    }

    /// Spends what it takes to go through this number of entries.
    pub(super) fn spend_on_entries(&mut self, entries: usize) {
        self.spend(entries / ENTRIES_PER_LOOK);
    }

    pub(super) fn is_spent(self) -> bool {
        self.left == 0
    }
}
