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
fn quota_usage_admits_up_to_the_quota() {
    let mut usage = QuotaUsage::default();
    assert!(usage.admits("a", TWO, TWO));
    usage.add("a", ONE);
    usage.add("a", ONE);
    assert!(!usage.admits("a", TWO, ONE));
    assert!(
        usage.admits("b", TWO, ONE),
        "the usage of each team is separate"
    );
    usage.remove("a", ONE);
    assert!(usage.admits("a", TWO, ONE));
}
