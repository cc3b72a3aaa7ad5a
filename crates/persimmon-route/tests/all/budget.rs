use persimmon_route::RetryBudget;

#[test]
fn budget_a_tenth() {
    let mut budget = RetryBudget::new(10, 5);
    let spent = (0..1000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert_eq!(spent.count(), 100);
}

#[test]
fn budget_saves_up_to_its_burst() {
    let mut budget = RetryBudget::new(10, 5);
    (0..10_000).for_each(|_| budget.earn());
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 5);
}
