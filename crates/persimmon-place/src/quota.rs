use persimmon_types::Size;
use std::collections::BTreeMap;

/// What each team's running tasks claim, against its quota.
#[derive(Debug, Clone, Default)]
pub struct QuotaUsage {
    used: BTreeMap<String, Size>,
}

impl QuotaUsage {
    /// Tells whether `team` may claim `size` more under `quota`.
    pub fn admits(&self, team: &str, quota: Size, size: Size) -> bool {
        let used = self.used(team);
        used.checked_add(size).is_some_and(|sum| sum.fits(quota))
    }

    /// Counts a claim.
    pub fn add(&mut self, team: &str, size: Size) {
        let used = self.used(team);
        self.used
            .insert(team.to_owned(), used.checked_add(size).unwrap_or(used));
    }

    /// Counts a release.
    pub fn remove(&mut self, team: &str, size: Size) {
        let used = self.used(team).saturating_sub(size);
        self.used.insert(team.to_owned(), used);
    }

    /// What the team's tasks claim.
    pub fn used(&self, team: &str) -> Size {
        self.used.get(team).copied().unwrap_or(Size::ZERO)
    }
}
