use super::RetryBudget;

#[test]
fn retries_stay_in_proportion_to_requests() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!(spent <= 105, "{spent} retries for 1,000 requests");
    assert!(spent >= 100, "{spent} retries for 1,000 requests");
}
