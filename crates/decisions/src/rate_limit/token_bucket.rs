//! A token bucket that remembers a time in place of a level.

use monsoonspread_model::UnixMs;

/// Lowest refill of a bucket, in units per second, so that the time of the next credit is finite.
const MIN_PER_S: f64 = 1e-3;

/// Refill and depth of a [`TokenBucket`], which may change at any time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketTerms {
    /// Units per second.
    pub per_s: f64,
    /// Units that are kept while none are used.
    pub depth: f64,
}

impl BucketTerms {
    fn per_ms(&self) -> f64 {
        self.per_s.max(MIN_PER_S) / 1_000.0
    }
}

/// A token bucket. The level may fall below zero, which later refill pays back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Time up to which the refill is used, in Unix milliseconds. Fractional, as the time for a unit is.
    used_until_ms: f64,
}

impl TokenBucket {
    /// Creates a bucket that is empty at `at`.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::{BucketTerms, TokenBucket};
    /// # use monsoonspread_model::UnixMs;
    /// let terms = BucketTerms { per_s: 100.0, depth: 30.0 };
    /// let mut bucket = TokenBucket::new(UnixMs(1_000));
    /// assert_eq!(bucket.level(UnixMs(1_200), terms), 20.0);
    /// assert_eq!(bucket.ready_at(terms, 30.0), UnixMs(1_300));
    /// bucket.take(UnixMs(2_000), terms, 50.0);
    /// assert_eq!(bucket.level(UnixMs(2_000), terms), -20.0);
    /// ```
    pub fn new(at: UnixMs) -> Self {
        Self {
            used_until_ms: at.0 as f64,
        }
    }

    /// Returns the units in the bucket.
    pub fn level(&self, now: UnixMs, terms: BucketTerms) -> f64 {
        let refill = (now.0 as f64 - self.used_until_ms) * terms.per_ms();
        refill.min(terms.depth)
    }

    /// Returns when `cost` units may be taken. A cost beyond the depth must wait until as much has been
    /// refilled while nothing was taken.
    pub fn ready_at(&self, terms: BucketTerms, cost: f64) -> UnixMs {
        let ready_at_ms = self.used_until_ms + cost / terms.per_ms();
        UnixMs(ready_at_ms.max(0.0).ceil() as u64)
    }

    /// Takes units, also more than there are.
    pub fn take(&mut self, now: UnixMs, terms: BucketTerms, units: f64) {
        let full_ms = terms.depth / terms.per_ms();
        self.used_until_ms = self.used_until_ms.max(now.0 as f64 - full_ms);
        self.used_until_ms += units / terms.per_ms();
    }

    /// The terms change from `old`, which were in force at `old_at`, to `new`, at an unknown time since then: the
    /// refill since is the lesser of both.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::{BucketTerms, TokenBucket};
    /// # use monsoonspread_model::UnixMs;
    /// let whole = BucketTerms { per_s: 100.0, depth: 30.0 };
    /// let half = BucketTerms { per_s: 50.0, depth: 15.0 };
    /// let mut bucket = TokenBucket::new(UnixMs(1_000));
    /// bucket.take(UnixMs(1_000), whole, 40.0);
    /// bucket.rescale((UnixMs(1_000), whole), UnixMs(1_200), half);
    /// assert_eq!(bucket.level(UnixMs(1_200), half), -30.0);
    /// bucket.rescale((UnixMs(1_200), half), UnixMs(1_200), whole);
    /// assert_eq!(bucket.level(UnixMs(1_200), whole), -30.0);
    /// ```
    pub fn rescale(&mut self, (old_at, old): (UnixMs, BucketTerms), now: UnixMs, new: BucketTerms) {
        let refill = old.per_ms().min(new.per_ms()) * now.ms_since(old_at) as f64;
        let level = (self.level(old_at, old) + refill).min(new.depth);
        self.used_until_ms = now.0 as f64 - level / new.per_ms();
    }
}
