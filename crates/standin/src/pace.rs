//! Limits on a rate.

use std::time::Duration;

use tokio::time::Instant;

/// Spaces events so that no more than a rate goes through, after a burst.
#[derive(Clone, Debug)]
pub struct Pace {
    interval: Duration,
    burst: Duration,
    next: Instant,
}

impl Pace {
    /// Lets `burst` events through at once and then `rate_per_s`.
    ///
    /// ```
    /// # use monsoonspread_standin::pace::Pace;
    /// let now = tokio::time::Instant::now();
    /// let mut pace = Pace::new(10.0, 1, now);
    /// assert_eq!(pace.take(now), now);
    /// assert_eq!(pace.take(now).duration_since(now).as_millis(), 100);
    /// ```
    pub fn new(rate_per_s: f64, burst: u32, now: Instant) -> Self {
        let interval = Duration::from_secs_f64(1.0 / rate_per_s.max(0.001));
        Self {
            interval,
            burst: interval * burst.saturating_sub(1),
            next: now,
        }
    }

    /// Takes the next place and says when it comes.
    ///
    /// ```
    /// # use monsoonspread_standin::pace::Pace;
    /// let now = tokio::time::Instant::now();
    /// assert_eq!(Pace::new(1.0, 3, now).take(now), now);
    /// ```
    pub fn take(&mut self, now: Instant) -> Instant {
        let scheduled = self.next.max(now);
        self.next = scheduled + self.interval;
        (scheduled.checked_sub(self.burst).unwrap_or(now)).max(now)
    }
}
