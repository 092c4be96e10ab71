//! Timestamps.

use std::ops::{Add, Sub};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A timestamp in milliseconds since 1970-01-01 UTC.
///
/// Deadlines are stored and sent as such timestamps. No safety property depends on synchronized
/// clocks; only liveness (when to give up, when to retry) does.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Returns the current time of the system clock.
    ///
    /// ```
    /// # use monsoonspread_model::UnixMs;
    /// assert!(UnixMs::now() > UnixMs(0));
    /// ```
    pub fn now() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(since.as_millis() as u64)
    }

    /// Returns the milliseconds since `earlier`, 0 if `earlier` is the later one.
    ///
    /// ```
    /// # use monsoonspread_model::UnixMs;
    /// assert_eq!(UnixMs(9).ms_since(UnixMs(4)), 5);
    /// assert_eq!(UnixMs(4).ms_since(UnixMs(9)), 0);
    /// ```
    pub fn ms_since(self, earlier: UnixMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for UnixMs {
    type Output = UnixMs;

    fn add(self, ms: u64) -> UnixMs {
        UnixMs(self.0.saturating_add(ms))
    }
}

impl Sub<u64> for UnixMs {
    type Output = UnixMs;

    fn sub(self, ms: u64) -> UnixMs {
        UnixMs(self.0.saturating_sub(ms))
    }
}
