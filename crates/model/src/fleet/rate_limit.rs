//! Limits on the rate of requests.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of requests that an upstream accepts per second, from all instances together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RateLimit {
    milli_per_s: u64,
}

impl RateLimit {
    /// Highest limit, in requests per second; higher ones are reduced to it.
    pub const MAX_PER_S: f64 = 1_000_000.0;

    /// Creates a limit of `per_s` requests per second; `None` if that is negative or not a finite
    /// number.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::RateLimit;
    /// let limit = RateLimit::new(2.2).expect("a limit");
    /// assert_eq!(limit.per_s(), 2.2);
    /// assert_eq!(RateLimit::new(-1.0), None);
    /// assert_eq!(RateLimit::new(f64::NAN), None);
    /// ```
    pub fn new(per_s: f64) -> Option<Self> {
        if !per_s.is_finite() || per_s < 0.0 {
            return None;
        }
        let milli_per_s = (per_s.min(Self::MAX_PER_S) * 1_000.0).round() as u64;
        Some(Self { milli_per_s })
    }

    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.per_s())
    }
}
