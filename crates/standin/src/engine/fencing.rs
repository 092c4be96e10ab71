//! Fencing numbers.

/// The highest fencing number seen, on an engine that checks them.
#[derive(Debug)]
pub(super) struct Fencing {
    checks: bool,
    highest: u64,
}

impl Fencing {
    /// No number was seen; nothing is ever refused unless the engine `checks`.
    pub(super) fn new(checks: bool) -> Self {
        Self { checks, highest: 0 }
    }

    /// Notes an order's number; false when the order is to be refused.
    pub(super) fn accepts(&mut self, number: Option<u64>) -> bool {
        let Some(number) = number.filter(|_| self.checks) else {
            return true;
        };
        let is_old = number < self.highest;
        self.highest = self.highest.max(number);
        !is_old
    }
}
