use crate::{Band, ClassKey, Sample, ServiceKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A service, a batch class, and the load at which they meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pairing {
    /// The service.
    pub service: ServiceKey,
    /// The batch class.
    pub class: ClassKey,
    /// The load.
    pub band: Band,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// What an unthrottled task adds to the latency ratio.
    slope: f64,
    /// How much evidence there is.
    weight: f64,
    seen_at: Instant,
}

/// What a task of each class adds to a service's latency ratio, and how sure that is.
#[derive(Debug, Clone)]
pub struct Estimates {
    pairings: BTreeMap<Pairing, Estimate>,
    /// The latency ratio without batch tasks.
    alone: BTreeMap<(ServiceKey, Band), Estimate>,
    half_life: Duration,
}

/// The part of a prediction's error that one sample corrects.
const GAIN: f64 = 0.2;
/// What a class that was never seen is taken to add.
const UNKNOWN_SLOPE: f64 = 0.15;
const UNKNOWN_ALONE: f64 = 0.5;

impl Estimates {
    /// Knows nothing; evidence loses half its weight in `half_life`.
    pub fn new(half_life: Duration) -> Self {
        Self {
            pairings: BTreeMap::new(),
            alone: BTreeMap::new(),
            half_life,
        }
    }

    /// Learns from a sample: its error is spread over what ran, by how much of it ran.
    pub fn learn(&mut self, sample: &Sample) {
        let parts: Vec<(Pairing, f64)> =
            sample.tasks.iter().map(|task| part(sample, task)).collect();
        let total: f64 = parts.iter().map(|(_, part)| part * part).sum::<f64>() + 1.0;
        let alone = self.alone_value(sample.service, sample.band);
        let slopes = parts
            .iter()
            .map(|(pairing, part)| self.slope(*pairing) * part);
        let error = sample.latency_ratio - alone - slopes.sum::<f64>();
        let step = GAIN * error / total;
        let entry = self
            .alone
            .entry((sample.service, sample.band))
            .or_insert(Estimate {
                slope: UNKNOWN_ALONE,
                weight: 0.0,
                seen_at: sample.taken_at,
            });
        entry.add(step, sample.taken_at, self.half_life);
        for (pairing, part) in parts {
            let unknown = Estimate {
                slope: UNKNOWN_SLOPE,
                weight: 0.0,
                seen_at: sample.taken_at,
            };
            let entry = self.pairings.entry(pairing).or_insert(unknown);
            entry.add(step * part, sample.taken_at, self.half_life);
        }
    }

    /// What an unthrottled task of the pairing adds to the latency ratio.
    pub fn slope(&self, pairing: Pairing) -> f64 {
        self.pairings
            .get(&pairing)
            .map_or(UNKNOWN_SLOPE, |known| known.slope)
    }

    /// The latency ratio expected for `sample`'s tasks, with a margin that grows as evidence ages.
    pub fn cautious(&self, sample: &Sample, now: Instant) -> f64 {
        let alone = self.alone_value(sample.service, sample.band);
        let parts = sample.tasks.iter().map(|task| part(sample, task));
        let parts =
            parts.map(|(pairing, part)| part * (self.slope(pairing) + self.margin(pairing, now)));
        alone + parts.sum::<f64>()
    }

    /// How much more than estimated a task may add: little with much fresh evidence.
    fn margin(&self, pairing: Pairing, now: Instant) -> f64 {
        const WIDEST: f64 = 0.1;
        let weight = self.pairings.get(&pairing).map_or(0.0, |known| {
            known.weight * decay(now.saturating_duration_since(known.seen_at), self.half_life)
        });
        WIDEST / (1.0 + weight)
    }

    fn alone_value(&self, service: ServiceKey, band: Band) -> f64 {
        self.alone
            .get(&(service, band))
            .map_or(UNKNOWN_ALONE, |known| known.slope)
    }
}

impl Estimate {
    fn add(&mut self, step: f64, at: Instant, half_life: Duration) {
        // Neither a task nor a load makes a service faster.
        self.slope = (self.slope + step).max(0.0);
        self.weight =
            self.weight * decay(at.saturating_duration_since(self.seen_at), half_life) + 1.0;
        self.seen_at = self.seen_at.max(at);
    }
}

fn part(sample: &Sample, task: &crate::Task) -> (Pairing, f64) {
    let pairing = Pairing {
        service: sample.service,
        class: task.class,
        band: sample.band,
    };
    (pairing, f64::from(task.throttle_percent) / 100.0)
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE))
}
