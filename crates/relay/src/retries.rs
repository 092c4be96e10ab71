//! Retry budgets by service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use monsoonspread_decisions::retry_budget::RetryBudget;
use monsoonspread_model::ServiceName;

/// Fraction of its share that an instance uses. The operators' limit applies to a sliding window,
/// in which retries may be spent that requests before the window earned.
const SAFETY_FACTOR: f64 = 0.6;

/// This instance's share of the retries that each service may get.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: f64,
    slack: f64,
    instances: Cell<usize>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Allows `ratio` retries per request, and `slack` in total over all instances.
    pub fn new(ratio: f64, slack: f64) -> Self {
        Self {
            ratio: ratio * SAFETY_FACTOR,
            slack: slack * SAFETY_FACTOR,
            instances: Cell::new(1),
            budgets: RefCell::default(),
        }
    }

    /// Sets the number of instances that share the budgets.
    pub fn on_instances(&self, instances: usize) {
        self.instances.set(instances.max(1));
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_max_tokens(self.max_tokens());
        }
    }

    /// Earns budget for a request.
    pub fn earn(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Spends one retry; returns false if none is left.
    pub fn spend(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::spend)
    }

    /// Whether a retry is left.
    pub fn has_one(&self, service: &ServiceName) -> bool {
        self.with_budget(service, |budget| budget.tokens() >= 1.0)
    }

    fn max_tokens(&self) -> f64 {
        (self.slack / self.instances.get() as f64).max(1.0)
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        apply: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let budget = RetryBudget::new(self.ratio, self.max_tokens());
            budgets.insert(service.clone(), budget);
        }
        // Inserted above.
        apply(budgets.get_mut(service).expect("the service has a budget"))
    }
}
