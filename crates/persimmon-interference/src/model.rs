use crate::{ClassKey, ServiceKey};

/// Fraction of the prediction error corrected by one sample.
const LEARNING_RATE: f64 = 0.15;
/// Processor share below which the use by a class is ignored.
const SHARE_MIN: f64 = 0.01;
/// Logarithm of the ratio of tail latency to target that is assumed for a service without samples.
const DEFAULT_BASELINE: f64 = -0.7;
/// Weight of a class never observed beside a service: high enough that a single task is tried
/// before several are placed.
const DEFAULT_WEIGHT: f64 = 2.0;
/// Logarithms of samples are clamped to this range, so that a few outliers can't swing an estimate.
const LN_RATIO_MIN: f64 = -2.0;
const LN_RATIO_MAX: f64 = 1.5;
/// Maximum weight; a single sample with little use could otherwise yield a larger one.
const WEIGHT_MAX: f64 = 12.0;
/// How strongly a sample corrects the baseline, as if the baseline were a class with this processor
/// share; above 0 because the service's own load varies and moves its tail latency too.
const BASELINE_INPUT: f64 = 0.3;

/// How strongly the processor use of each batch class raises the tail latency of each service,
/// learned from samples of services whose load is unknown.
///
/// The logarithm of the ratio of tail latency to target is modelled as a baseline plus, for each
/// class, a weight times its share of the worker's processors. The weights are fitted by normalised
/// least mean squares. They are never negative, since batch work does not make a service faster.
///
/// Used where the load of the services is not known; [`Estimates`](crate::Estimates) is used with
/// samples that state it.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    /// Indexed by service key. Keys are small numbers, and each placement looks up a weight for
    /// every tail latency of every runner.
    services: Vec<ServiceModel>,
}

/// Baseline and weights of one service.
#[derive(Debug, Clone, Default)]
struct ServiceModel {
    baseline: Option<f64>,
    /// Indexed by class key.
    weights: Vec<Option<f64>>,
}

impl ServiceModel {
    fn weight_mut(&mut self, class: ClassKey) -> &mut Option<f64> {
        let at = class.0 as usize;
        if at >= self.weights.len() {
            self.weights.resize(at + 1, None);
        }
        &mut self.weights[at]
    }
}

impl InterferenceModel {
    /// Updates the model with samples that were taken at the same time: the tail latency of each service
    /// was so many times its target while each class used the given share of the worker's processors.
    pub fn learn(
        &mut self,
        samples: impl IntoIterator<Item = (ServiceKey, f64)>,
        shares: &[(ClassKey, f64)],
    ) {
        let shares = shares.iter().filter(|(_, share)| *share >= SHARE_MIN);
        let shares: Vec<_> = shares.copied().collect();
        let squares: f64 = shares.iter().map(|(_, share)| share * share).sum();
        for (service, ratio) in samples {
            self.learn_sample(service, ratio, &shares, squares);
        }
    }

    fn learn_sample(
        &mut self,
        service: ServiceKey,
        ratio: f64,
        shares: &[(ClassKey, f64)],
        squares: f64,
    ) {
        let ln_ratio = ratio
            .max(f64::MIN_POSITIVE)
            .ln()
            .clamp(LN_RATIO_MIN, LN_RATIO_MAX);
        let model = self.services.get(service.0 as usize);
        let baseline = model.and_then(|it| it.baseline).unwrap_or(DEFAULT_BASELINE);
        let predicted = baseline + self.predicted_rise(service, shares);
        let step =
            LEARNING_RATE * (ln_ratio - predicted) / (BASELINE_INPUT * BASELINE_INPUT + squares);
        let model = self.service_mut(service);
        model.baseline = Some(baseline + step * BASELINE_INPUT * BASELINE_INPUT);
        for &(class, share) in shares {
            let weight = model.weight_mut(class);
            let current = weight.unwrap_or(DEFAULT_WEIGHT);
            *weight = Some((current + step * share).clamp(0.0, WEIGHT_MAX));
        }
    }

    fn service_mut(&mut self, service: ServiceKey) -> &mut ServiceModel {
        let at = service.0 as usize;
        if at >= self.services.len() {
            self.services.resize_with(at + 1, ServiceModel::default);
        }
        &mut self.services[at]
    }

    /// Rise of the logarithm of `service`'s ratio if `class` uses all processors of a worker.
    pub fn weight(&self, service: ServiceKey, class: ClassKey) -> f64 {
        let model = self.services.get(service.0 as usize);
        let weight = model.and_then(|it| *it.weights.get(class.0 as usize)?);
        weight.unwrap_or(DEFAULT_WEIGHT)
    }

    /// Returns all learned weights.
    pub fn iter(&self) -> impl Iterator<Item = (ServiceKey, ClassKey, f64)> + '_ {
        let services = self.services.iter().enumerate();
        services.flat_map(|(service, model)| {
            let weights = model.weights.iter().enumerate();
            weights.filter_map(move |(class, weight)| {
                Some((
                    ServiceKey(service as u32),
                    ClassKey(class as u32),
                    (*weight)?,
                ))
            })
        })
    }

    /// Sets a weight that was learned by another instance of the model.
    pub fn set_weight(&mut self, service: ServiceKey, class: ClassKey, weight: f64) {
        let weight = weight.clamp(0.0, WEIGHT_MAX);
        *self.service_mut(service).weight_mut(class) = Some(weight);
    }

    /// Predicted rise of the logarithm of `service`'s ratio for the given processor shares.
    pub fn predicted_rise(&self, service: ServiceKey, shares: &[(ClassKey, f64)]) -> f64 {
        let each = shares.iter();
        each.map(|&(class, share)| self.weight(service, class) * share)
            .sum()
    }
}
