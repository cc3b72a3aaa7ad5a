use persimmon_place::QuotaUsage;
use persimmon_types::Size;

const ONE: Size = Size {
    cpu_millis: 1,
    memory_mib: 1,
    accelerators: 0,
};
const TWO: Size = Size {
    cpu_millis: 2,
    memory_mib: 2,
    accelerators: 0,
};

#[test]
fn quotas_up_to_the_limit() {
    let mut quotas = QuotaUsage::default();
    assert!(quotas.admits("a", TWO, TWO));
    quotas.add("a", ONE);
    quotas.add("a", ONE);
    assert!(!quotas.admits("a", TWO, ONE));
    assert!(quotas.admits("b", TWO, ONE), "teams are counted apart");
    quotas.remove("a", ONE);
    assert!(quotas.admits("a", TWO, ONE));
}
