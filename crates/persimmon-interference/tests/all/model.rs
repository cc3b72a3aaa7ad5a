use persimmon_interference::{ClassKey, InterferenceModel, ServiceKey};
use proptest::prelude::{prop, proptest};

const SERVICE: ServiceKey = ServiceKey(1);
const HARMFUL: ClassKey = ClassKey(1);
const HARMLESS: ClassKey = ClassKey(2);

/// Ratio of tail latency to target: half, raised by the harmful class and by the load factor.
fn ratio(harmful_share: f64, load: f64) -> f64 {
    0.5 * (6.0 * harmful_share).exp() * load
}

#[test]
fn learn_tells_classes_apart_that_run_together() {
    let mut model = InterferenceModel::default();
    for sample in 0_u32..300 {
        let harmful_share = f64::from(sample % 3) * 0.05;
        let harmless_share = f64::from(sample % 4) * 0.05;
        let load = 1.0 + f64::from(sample % 7) / 20.0 - 0.15;
        let shares = [(HARMFUL, harmful_share), (HARMLESS, harmless_share)];
        model.learn([(SERVICE, ratio(harmful_share, load))], &shares);
    }
    let (harmful_weight, harmless_weight) = (
        model.weight(SERVICE, HARMFUL),
        model.weight(SERVICE, HARMLESS),
    );
    assert!(
        harmful_weight > 3.0 && harmless_weight < 1.0,
        "{harmful_weight} and {harmless_weight}"
    );
}

#[test]
fn learn_keeps_services_apart() {
    let mut model = InterferenceModel::default();
    let other = ServiceKey(2);
    for sample in 0_u32..200 {
        let share = f64::from(sample % 3) * 0.06;
        model.learn([(SERVICE, ratio(share, 1.0))], &[(HARMFUL, share)]);
        model.learn([(other, 0.5)], &[(HARMFUL, share)]);
    }
    assert!(model.weight(SERVICE, HARMFUL) > 3.0);
    assert!(model.weight(other, HARMFUL) < 1.0);
}

proptest! {
    /// Measurements are inexact and may be far off; weights must stay within their range.
    #[test]
    fn learn_stays_bounded(samples in prop::collection::vec((0.0..1e9_f64, 0.0..1.0_f64), 1..200)) {
        let mut model = InterferenceModel::default();
        for (ratio, share) in samples {
            model.learn([(SERVICE, ratio)], &[(HARMFUL, share)]);
            let weight = model.weight(SERVICE, HARMFUL);
            assert!((0.0..=12.0).contains(&weight), "{weight}");
        }
    }
}
