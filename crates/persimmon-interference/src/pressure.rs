use crate::{ClassKey, ServiceKey};

/// The part of a prediction's error that one sample corrects.
const GAIN: f64 = 0.15;
/// Use below this share of a worker says nothing about a class.
const USE_MIN: f64 = 0.01;
/// The logarithm of a service's ratio of tail latency to target while nothing is known of it.
const UNKNOWN_ALONE: f64 = -0.7;
/// The weight of a class that was never seen beside a service: enough that one task of it is tried
/// before several are.
const UNKNOWN_WEIGHT: f64 = 2.0;
/// Samples are cut to this range of logarithms, so that a few of them can't swing an estimate.
const RATIO_MIN: f64 = -2.0;
const RATIO_MAX: f64 = 1.5;
/// A weight at most; more would follow from a single sample with little use.
const WEIGHT_MAX: f64 = 12.0;
/// Weight of the part that is not the batch classes': a service's own load moves its tail too.
const ALONE_PART: f64 = 0.3;

/// How strongly the processor use of a batch class raises a service's tail latency, learned from
/// samples of services whose load is not known.
///
/// The logarithm of the tail's ratio to its target is taken to rise by a weight times the class's use,
/// as a share of the worker. Each sample spreads its error over what ran (normalised least mean
/// squares); weights are never negative, since batch work helps no service.
#[derive(Debug, Clone, Default)]
pub struct Pressure {
    /// By service: keys are small numbers, and a placement looks up a weight for each tail of each runner.
    services: Vec<Learned>,
}

/// What was learned of one service.
#[derive(Debug, Clone, Default)]
struct Learned {
    alone: Option<f64>,
    /// By class.
    weights: Vec<Option<f64>>,
}

impl Learned {
    fn weight_mut(&mut self, class: ClassKey) -> &mut Option<f64> {
        let at = class.0 as usize;
        if at >= self.weights.len() {
            self.weights.resize(at + 1, None);
        }
        &mut self.weights[at]
    }
}

impl Pressure {
    /// Learns that `service` had a tail of `ratio` times its target while each class of `used` had
    /// that share of the worker's processors.
    pub fn learn(&mut self, service: ServiceKey, ratio: f64, used: &[(ClassKey, f64)]) {
        let measured = ratio
            .max(f64::MIN_POSITIVE)
            .ln()
            .clamp(RATIO_MIN, RATIO_MAX);
        let learned = self.services.get(service.0 as usize);
        let alone = learned.and_then(|it| it.alone).unwrap_or(UNKNOWN_ALONE);
        let parts = used.iter().filter(|(_, part)| *part >= USE_MIN);
        let parts: Vec<_> = parts.copied().collect();
        let predicted = alone + self.rise(service, &parts);
        let squares: f64 = parts.iter().map(|(_, part)| part * part).sum();
        let step = GAIN * (measured - predicted) / (ALONE_PART * ALONE_PART + squares);
        let learned = self.learned_mut(service);
        learned.alone = Some(alone + step * ALONE_PART * ALONE_PART);
        for (class, part) in parts {
            let weight = learned.weight_mut(class);
            let known = weight.unwrap_or(UNKNOWN_WEIGHT);
            *weight = Some((known + step * part).clamp(0.0, WEIGHT_MAX));
        }
    }

    fn learned_mut(&mut self, service: ServiceKey) -> &mut Learned {
        let at = service.0 as usize;
        if at >= self.services.len() {
            self.services.resize_with(at + 1, Learned::default);
        }
        &mut self.services[at]
    }

    /// What a whole worker's use by `class` adds to the logarithm of `service`'s ratio.
    pub fn weight(&self, service: ServiceKey, class: ClassKey) -> f64 {
        let learned = self.services.get(service.0 as usize);
        let weight = learned.and_then(|it| *it.weights.get(class.0 as usize)?);
        weight.unwrap_or(UNKNOWN_WEIGHT)
    }

    /// All weights that were learned.
    pub fn iter(&self) -> impl Iterator<Item = (ServiceKey, ClassKey, f64)> + '_ {
        let services = self.services.iter().enumerate();
        services.flat_map(|(service, learned)| {
            let weights = learned.weights.iter().enumerate();
            weights.filter_map(move |(class, weight)| {
                Some((
                    ServiceKey(service as u32),
                    ClassKey(class as u32),
                    (*weight)?,
                ))
            })
        })
    }

    /// Takes a weight that was learned elsewhere.
    pub fn recall(&mut self, service: ServiceKey, class: ClassKey, weight: f64) {
        let weight = weight.clamp(0.0, WEIGHT_MAX);
        *self.learned_mut(service).weight_mut(class) = Some(weight);
    }

    /// What several classes add together.
    pub fn rise(&self, service: ServiceKey, used: &[(ClassKey, f64)]) -> f64 {
        let each = used.iter();
        each.map(|&(class, part)| self.weight(service, class) * part)
            .sum()
    }
}
