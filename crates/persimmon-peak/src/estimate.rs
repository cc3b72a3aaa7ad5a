use std::collections::BTreeMap;

/// The thousandths of the declared run time that tasks of each class really take.
///
/// Declared run times are often far off, but alike within a class. The mean tells how much work a
/// class is; the high mark, when one of its tasks must start to be surely in time.
#[derive(Debug, Clone, Default)]
pub struct RunTimeEstimator {
    classes: BTreeMap<String, Ratio>,
}

#[derive(Debug, Clone, Copy)]
struct Ratio {
    mean_per_mille: u64,
    high_per_mille: u64,
    seen: u32,
}

impl RunTimeEstimator {
    /// The weight of a new ratio in the mean once enough were seen, as a divisor.
    const SMOOTHING: u64 = 16;
    /// The high mark falls by this divisor at each ratio below it.
    const DECAY: u64 = 256;
    /// Added to the high mark, in hundredths.
    const MARGIN_PERCENT: u64 = 10;

    /// Notes a task that completed.
    pub fn observe(&mut self, class: &str, declared_ms: u64, actual_ms: u64) {
        let ratio = actual_ms * 1000 / declared_ms.max(1);
        let first = Ratio {
            mean_per_mille: ratio,
            high_per_mille: ratio,
            seen: 0,
        };
        let known = self.classes.entry(class.to_owned()).or_insert(first);
        known.seen = known.seen.saturating_add(1);
        let weight = Self::SMOOTHING.min(u64::from(known.seen));
        known.mean_per_mille = (known.mean_per_mille * (weight - 1) + ratio) / weight;
        let fallen = known.high_per_mille - known.high_per_mille / Self::DECAY;
        known.high_per_mille = ratio.max(fallen);
    }

    /// The run time to plan with.
    pub fn mean_ms(&self, class: &str, declared_ms: u64) -> u64 {
        let ratio = self
            .classes
            .get(class)
            .map_or(1000, |known| known.mean_per_mille);
        declared_ms * ratio / 1000
    }

    /// The run time to be safe with; `unknown_per_mille` of the declared one for a class not seen.
    pub fn upper_bound_ms(&self, class: &str, declared_ms: u64, unknown_per_mille: u64) -> u64 {
        let known = self.classes.get(class);
        let ratio = known.map_or(unknown_per_mille, |known| {
            known.high_per_mille * (100 + Self::MARGIN_PERCENT) / 100
        });
        declared_ms * ratio / 1000
    }
}
