//! Demands that fit on no runner in a placement pass, so that those at least as large are skipped.

use crate::fleet::ImageKey;
use persimmon_types::Size;

/// Requirements of a task on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Demand {
    pub(crate) service: String,
    /// Image of a best-effort task: the runners that it may use depend on how it interferes with
    /// the latency-critical images on them.
    pub(crate) image: Option<ImageKey>,
    pub(crate) size: Size,
    pub(crate) best_effort_cpu_millis: u32,
    /// Whether the task has constraints besides resources; then its failure to fit implies nothing
    /// about other demands.
    pub(crate) has_placement_constraints: bool,
}

impl Demand {
    /// Returns whether `other` cannot fit on any runner if this demand does not.
    fn rules_out(&self, other: &Self) -> bool {
        !self.has_placement_constraints
            && self.service == other.service
            && self.image == other.image
            && self.size.fits(other.size)
            && self.best_effort_cpu_millis <= other.best_effort_cpu_millis
    }
}

/// Demands that did not fit. Free resources only shrink within a placement pass.
#[derive(Debug, Default)]
pub(crate) struct InfeasibleDemands(Vec<Demand>);

impl InfeasibleDemands {
    pub(crate) fn rules_out(&self, demand: &Demand) -> bool {
        self.0.iter().any(|it| it.rules_out(demand))
    }

    pub(crate) fn insert(&mut self, demand: Demand) {
        self.0.push(demand);
    }
}
