//! Guards against routers that together exceed the retry budget of the fleet because each one
//! keeps its own window.

use std::time::{Duration, Instant};

use bamboospur_retries::{FleetBudget, FleetBudgetSettings};

#[test]
fn routers_together_stay_within_the_retry_budget() {
    const ROUTERS: u32 = 7;
    let settings = FleetBudgetSettings {
        ratio: 0.2,
        slack: 54.0,
        ..FleetBudgetSettings::default()
    };
    let start = Instant::now();
    let mut budgets = vec![FleetBudget::default(); 7];
    let mut retries = Vec::new();
    for step in 0..3_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let budget = &mut budgets[usize::try_from(step % 7).expect("a router")];
        budget.record_request(&settings, now);
        // Every request fails and is retried as often as the budget allows.
        while budget.try_retry(&settings, ROUTERS, now) {
            retries.push(now);
        }
    }
    let window = settings.window;
    for &from in &retries {
        let count = retries
            .iter()
            .filter(|&&at| at >= from && at < from + window)
            .count();
        // A window of ten seconds has 1,000 requests.
        assert!(count <= 200 + 54, "{count}");
    }
}
