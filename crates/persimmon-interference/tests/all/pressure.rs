use persimmon_interference::{ClassKey, Pressure, ServiceKey};
use proptest::prelude::{prop, proptest};

const SERVICE: ServiceKey = ServiceKey(1);
const HARMFUL: ClassKey = ClassKey(1);
const HARMLESS: ClassKey = ClassKey(2);

/// A tail at half its target that one class raises, whatever the load does to it besides.
fn ratio(harmful: f64, load: f64) -> f64 {
    0.5 * (6.0 * harmful).exp() * load
}

#[test]
fn learn_tells_classes_apart_that_run_together() {
    let mut pressure = Pressure::default();
    for round in 0_u32..300 {
        let harmful = f64::from(round % 3) * 0.05;
        let harmless = f64::from(round % 4) * 0.05;
        let load = 1.0 + f64::from(round % 7) / 20.0 - 0.15;
        let used = [(HARMFUL, harmful), (HARMLESS, harmless)];
        pressure.learn(SERVICE, ratio(harmful, load), &used);
    }
    let (bad, good) = (
        pressure.weight(SERVICE, HARMFUL),
        pressure.weight(SERVICE, HARMLESS),
    );
    assert!(bad > 3.0 && good < 1.0, "{bad} and {good}");
}

#[test]
fn learn_keeps_services_apart() {
    let mut pressure = Pressure::default();
    let other = ServiceKey(2);
    for round in 0_u32..200 {
        let part = f64::from(round % 3) * 0.06;
        pressure.learn(SERVICE, ratio(part, 1.0), &[(HARMFUL, part)]);
        pressure.learn(other, 0.5, &[(HARMFUL, part)]);
    }
    assert!(pressure.weight(SERVICE, HARMFUL) > 3.0);
    assert!(pressure.weight(other, HARMFUL) < 1.0);
}

proptest! {
    /// Figures are rough and may be nonsense.
    #[test]
    fn learn_stays_bounded(samples in prop::collection::vec((0.0..1e9_f64, 0.0..1.0_f64), 1..200)) {
        let mut pressure = Pressure::default();
        for (ratio, part) in samples {
            pressure.learn(SERVICE, ratio, &[(HARMFUL, part)]);
            let weight = pressure.weight(SERVICE, HARMFUL);
            assert!((0.0..=12.0).contains(&weight), "{weight}");
        }
    }
}
