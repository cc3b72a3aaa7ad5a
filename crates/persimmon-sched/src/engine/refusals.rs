//! What found no room in a round of decisions, so that what asks for as much is not tried again.

use crate::fleet::Image;
use persimmon_types::Size;

/// What a task asks of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Demand {
    pub(crate) service: String,
    /// What it runs, if it fills: where that may go depends on what serves there.
    pub(crate) image: Option<Image>,
    pub(crate) size: Size,
    pub(crate) fill_cpu_millis: u32,
    /// It asks for more than room, which says nothing of others.
    pub(crate) is_picky: bool,
}

impl Demand {
    /// Tells whether no runner has room for `other` if none has for this.
    fn rules_out(&self, other: &Self) -> bool {
        !self.is_picky
            && self.service == other.service
            && self.image == other.image
            && self.size.fits(other.size)
            && self.fill_cpu_millis <= other.fill_cpu_millis
    }
}

/// The demands that found no room. Room only shrinks within a round.
#[derive(Debug, Default)]
pub(crate) struct Refusals(Vec<Demand>);

impl Refusals {
    pub(crate) fn rule_out(&self, demand: &Demand) -> bool {
        self.0.iter().any(|it| it.rules_out(demand))
    }

    pub(crate) fn insert(&mut self, demand: Demand) {
        self.0.push(demand);
    }
}
