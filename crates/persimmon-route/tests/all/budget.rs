use persimmon_route::RetryBudget;

#[test]
fn budget_allows_its_percentage() {
    let mut budget = RetryBudget::new(10, 5);
    let retries = (0..1000).filter(|_| {
        budget.deposit();
        budget.try_withdraw()
    });
    assert_eq!(retries.count(), 100);
}

#[test]
fn budget_accumulates_up_to_its_burst() {
    let mut budget = RetryBudget::new(10, 5);
    (0..10_000).for_each(|_| budget.deposit());
    assert_eq!((0..100).filter(|_| budget.try_withdraw()).count(), 5);
}
