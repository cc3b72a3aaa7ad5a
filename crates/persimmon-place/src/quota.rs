use persimmon_types::Size;
use std::collections::BTreeMap;

/// The resources that each team's running tasks claim, for comparison with its quota.
#[derive(Debug, Clone, Default)]
pub struct QuotaUsage {
    used: BTreeMap<String, Size>,
}

impl QuotaUsage {
    /// Returns whether `team` may claim another `size` under `quota`.
    pub fn admits(&self, team: &str, quota: Size, size: Size) -> bool {
        let used = self.used(team);
        used.checked_add(size).is_some_and(|sum| sum.fits(quota))
    }

    /// Adds a claim to the usage of `team`.
    pub fn add(&mut self, team: &str, size: Size) {
        let used = self.used(team);
        self.used
            .insert(team.to_owned(), used.checked_add(size).unwrap_or(used));
    }

    /// Subtracts a released claim from the usage of `team`.
    pub fn remove(&mut self, team: &str, size: Size) {
        let used = self.used(team).saturating_sub(size);
        self.used.insert(team.to_owned(), used);
    }

    /// Returns what the team's running tasks claim.
    pub fn used(&self, team: &str) -> Size {
        self.used.get(team).copied().unwrap_or(Size::ZERO)
    }
}
