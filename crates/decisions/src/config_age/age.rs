//! Decides which keys admit requests.

use monsoonspread_model::UnixMs;

use super::AgeBounds;

/// What becomes of a request with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyVerdict {
    /// The request may be served.
    Admitted,
    /// No workspace holds the key.
    Unknown,
    /// A newer configuration may say otherwise; another instance may know.
    Unconfirmed,
}

/// Whether known keys began or ceased to admit requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VouchChange {
    /// The knowledge is recent again.
    Resumed,
    /// The knowledge is too old.
    Stopped,
}

/// How recently the configuration in force was known to be the newest.
#[derive(Clone, Copy, Debug)]
pub struct ConfigAge {
    bounds: AgeBounds,
    confirmed_at: Option<UnixMs>,
    vouched: bool,
}

impl ConfigAge {
    /// Starts without a configuration.
    pub fn new(bounds: AgeBounds) -> Self {
        Self {
            bounds,
            confirmed_at: None,
            vouched: true,
        }
    }

    /// The configuration in force was the newest at `at`, a time before the store was asked.
    pub fn on_confirmed(&mut self, at: UnixMs) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns how long ago the configuration was known to be the newest, in milliseconds; `None` if it
    /// never was.
    pub fn age_ms(&self, now: UnixMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.ms_since(at))
    }

    /// Whether known keys admit requests.
    pub fn vouches(&self, now: UnixMs) -> bool {
        let Some(vouch_ms) = self.bounds.vouch_ms else {
            return true;
        };
        self.age_ms(now).is_some_and(|age_ms| age_ms <= vouch_ms)
    }

    /// Decides on a request whose key is held by a workspace of the configuration in force, or is not.
    ///
    /// A key that isn't known may have been added since the configuration was known to be the newest.
    ///
    /// ```
    /// use monsoonspread_decisions::config_age::{AgeBounds, ConfigAge, KeyVerdict};
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut age = ConfigAge::new(AgeBounds::new(3_000, Some(5_000)));
    /// age.on_confirmed(UnixMs(1_000));
    /// assert_eq!(age.verdict(UnixMs(2_000), true), KeyVerdict::Admitted);
    /// assert_eq!(age.verdict(UnixMs(2_000), false), KeyVerdict::Unknown);
    /// assert_eq!(age.verdict(UnixMs(4_500), false), KeyVerdict::Unconfirmed);
    /// assert_eq!(age.verdict(UnixMs(5_100), true), KeyVerdict::Unconfirmed);
    /// ```
    pub fn verdict(&self, now: UnixMs, is_held: bool) -> KeyVerdict {
        if is_held {
            return if self.vouches(now) {
                KeyVerdict::Admitted
            } else {
                KeyVerdict::Unconfirmed
            };
        }
        let age_ms = self.age_ms(now);
        if age_ms.is_some_and(|age_ms| age_ms <= self.bounds.current_ms) {
            KeyVerdict::Unknown
        } else {
            KeyVerdict::Unconfirmed
        }
    }

    /// Returns whether known keys began or ceased to admit requests since the last call.
    pub fn on_tick(&mut self, now: UnixMs) -> Option<VouchChange> {
        let vouches = self.vouches(now);
        let vouched = std::mem::replace(&mut self.vouched, vouches);
        match (vouched, vouches) {
            (true, false) => Some(VouchChange::Stopped),
            (false, true) => Some(VouchChange::Resumed),
            _ => None,
        }
    }
}
