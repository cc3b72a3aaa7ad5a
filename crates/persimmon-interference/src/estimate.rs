use crate::{Band, ClassKey, Sample, ServiceKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A service at a load, and a batch class beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pairing {
    /// The service.
    pub service: ServiceKey,
    /// The batch class.
    pub class: ClassKey,
    /// The load of the service.
    pub band: Band,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Latency ratio without batch tasks, or the ratio added by one unthrottled task.
    value: f64,
    /// Number of samples behind the value, decayed by age.
    weight: f64,
    updated_at: Instant,
}

/// Latency ratio that a task of each class adds to each service, with the confidence in it.
///
/// Used by [`Controller`](crate::Controller), whose samples state the load of the service and the
/// CPU limit of each task. [`InterferenceModel`](crate::InterferenceModel) needs neither.
#[derive(Debug, Clone)]
pub struct Estimates {
    pairings: BTreeMap<Pairing, Estimate>,
    /// Latency ratio without batch tasks.
    baseline: BTreeMap<(ServiceKey, Band), Estimate>,
    half_life: Duration,
}

/// Fraction of the prediction error corrected by one sample.
const LEARNING_RATE: f64 = 0.2;
/// Latency ratio that a class without samples is assumed to add.
const DEFAULT_SLOPE: f64 = 0.15;
/// Latency ratio without batch tasks that is assumed for a service without samples.
const DEFAULT_BASELINE: f64 = 0.5;

impl Estimates {
    /// Creates empty estimates; samples lose half their weight in `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            pairings: BTreeMap::new(),
            baseline: BTreeMap::new(),
            half_life,
        }
    }

    /// Updates the estimates with a sample: its prediction error is distributed over the baseline
    /// and the tasks, in proportion to their CPU limits.
    pub fn learn(&mut self, sample: &Sample) {
        let shares: Vec<(Pairing, f64)> = sample
            .tasks
            .iter()
            .map(|task| task_share(sample, task))
            .collect();
        let total: f64 = shares.iter().map(|(_, share)| share * share).sum::<f64>() + 1.0;
        let baseline = self.baseline_ratio(sample.service, sample.band);
        let slopes = shares
            .iter()
            .map(|(pairing, share)| self.slope(*pairing) * share);
        let error = sample.latency_ratio - baseline - slopes.sum::<f64>();
        let step = LEARNING_RATE * error / total;
        let entry = self
            .baseline
            .entry((sample.service, sample.band))
            .or_insert(Estimate {
                value: DEFAULT_BASELINE,
                weight: 0.0,
                updated_at: sample.taken_at,
            });
        entry.add(step, sample.taken_at, self.half_life);
        for (pairing, share) in shares {
            let initial = Estimate {
                value: DEFAULT_SLOPE,
                weight: 0.0,
                updated_at: sample.taken_at,
            };
            let entry = self.pairings.entry(pairing).or_insert(initial);
            entry.add(step * share, sample.taken_at, self.half_life);
        }
    }

    /// Latency ratio added by an unthrottled task of the pairing.
    pub fn slope(&self, pairing: Pairing) -> f64 {
        self.pairings
            .get(&pairing)
            .map_or(DEFAULT_SLOPE, |known| known.value)
    }

    /// Upper bound of the latency ratio expected for `sample`'s tasks; its margin grows as samples
    /// age.
    pub fn upper_bound(&self, sample: &Sample, now: Instant) -> f64 {
        let baseline = self.baseline_ratio(sample.service, sample.band);
        let shares = sample.tasks.iter().map(|task| task_share(sample, task));
        let shares = shares
            .map(|(pairing, share)| share * (self.slope(pairing) + self.margin(pairing, now)));
        baseline + shares.sum::<f64>()
    }

    /// Margin on the slope of a pairing: small with many recent samples.
    fn margin(&self, pairing: Pairing, now: Instant) -> f64 {
        const MARGIN_MAX: f64 = 0.1;
        let weight = self.pairings.get(&pairing).map_or(0.0, |known| {
            known.weight
                * decay(
                    now.saturating_duration_since(known.updated_at),
                    self.half_life,
                )
        });
        MARGIN_MAX / (1.0 + weight)
    }

    fn baseline_ratio(&self, service: ServiceKey, band: Band) -> f64 {
        self.baseline
            .get(&(service, band))
            .map_or(DEFAULT_BASELINE, |known| known.value)
    }
}

impl Estimate {
    fn add(&mut self, step: f64, at: Instant, half_life: Duration) {
        // Neither batch tasks nor load make a service faster.
        self.value = (self.value + step).max(0.0);
        self.weight =
            self.weight * decay(at.saturating_duration_since(self.updated_at), half_life) + 1.0;
        self.updated_at = self.updated_at.max(at);
    }
}

fn task_share(sample: &Sample, task: &crate::Task) -> (Pairing, f64) {
    let pairing = Pairing {
        service: sample.service,
        class: task.class,
        band: sample.band,
    };
    (pairing, f64::from(task.cpu_limit_percent) / 100.0)
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE))
}
