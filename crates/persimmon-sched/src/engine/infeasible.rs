//! Demands that fit on no runner in a placement pass, so that those at least as large are skipped.

use super::work::Work;
use crate::fleet::ImageKey;
use persimmon_types::Size;
use std::collections::HashMap;

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
    /// Demands of other services and images are not compared.
    fn kind(&self) -> (String, Option<ImageKey>) {
        (self.service.clone(), self.image)
    }

    /// Returns whether `other`, of the same kind, cannot fit on any runner if this demand does not.
    fn rules_out(&self, other: &Self) -> bool {
        self.size.fits(other.size) && self.best_effort_cpu_millis <= other.best_effort_cpu_millis
    }
}

/// Demands that did not fit. Free resources only shrink within a placement pass.
#[derive(Debug, Default)]
pub(crate) struct InfeasibleDemands(HashMap<(String, Option<ImageKey>), Vec<Demand>>);

impl InfeasibleDemands {
    pub(crate) fn rules_out(&self, demand: &Demand, work: &mut Work) -> bool {
        let known = self.0.get(&demand.kind()).map_or(&[][..], Vec::as_slice);
        work.spend_on_entries(known.len());
        known.iter().any(|it| it.rules_out(demand))
    }

    pub(crate) fn insert(&mut self, demand: Demand) {
        // One with constraints rules out no other.
        if !demand.has_placement_constraints {
            self.0.entry(demand.kind()).or_default().push(demand);
        }
    }
}
