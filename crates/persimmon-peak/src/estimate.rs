use std::collections::BTreeMap;

/// Estimates the ratio of actual to declared run time for each class.
///
/// Declared run times are often far off, but by a similar ratio within a class. The mean ratio
/// estimates the amount of work; the upper bound determines when a task must start to meet its
/// deadline.
#[derive(Debug, Clone, Default)]
pub struct RunTimeEstimator {
    classes: BTreeMap<String, Ratio>,
}

#[derive(Debug, Clone, Copy)]
struct Ratio {
    mean_per_mille: u64,
    /// The maximum ratio, which decays with each observation.
    decayed_max_per_mille: u64,
    observations: u32,
}

impl RunTimeEstimator {
    /// The mean is an average over the first observations, then an exponential moving average in
    /// which a new ratio has the weight `1 / SMOOTHING`.
    const SMOOTHING: u64 = 16;
    /// With each observation the decayed maximum falls by the fraction `1 / DECAY_DIVISOR`, but
    /// never below the new ratio.
    const DECAY_DIVISOR: u64 = 256;
    /// The margin added to the decayed maximum to give the upper bound, in percent.
    const MARGIN_PERCENT: u64 = 10;

    /// Records the run time of a completed task.
    pub fn observe(&mut self, class: &str, declared_ms: u64, actual_ms: u64) {
        let ratio = actual_ms * 1000 / declared_ms.max(1);
        let initial = Ratio {
            mean_per_mille: ratio,
            decayed_max_per_mille: ratio,
            observations: 0,
        };
        let known = self.classes.entry(class.to_owned()).or_insert(initial);
        known.observations = known.observations.saturating_add(1);
        let weight = Self::SMOOTHING.min(u64::from(known.observations));
        known.mean_per_mille = (known.mean_per_mille * (weight - 1) + ratio) / weight;
        let decayed =
            known.decayed_max_per_mille - known.decayed_max_per_mille / Self::DECAY_DIVISOR;
        known.decayed_max_per_mille = ratio.max(decayed);
    }

    /// Returns the expected run time; the declared one for a class without observations.
    pub fn mean_ms(&self, class: &str, declared_ms: u64) -> u64 {
        let ratio = self
            .classes
            .get(class)
            .map_or(1000, |known| known.mean_per_mille);
        declared_ms * ratio / 1000
    }

    /// Returns the upper bound on the run time.
    ///
    /// For a class without observations it is `default_ratio_per_mille` thousandths of the declared
    /// one.
    pub fn upper_bound_ms(
        &self,
        class: &str,
        declared_ms: u64,
        default_ratio_per_mille: u64,
    ) -> u64 {
        let known = self.classes.get(class);
        let ratio = known.map_or(default_ratio_per_mille, |known| {
            known.decayed_max_per_mille * (100 + Self::MARGIN_PERCENT) / 100
        });
        declared_ms * ratio / 1000
    }
}
