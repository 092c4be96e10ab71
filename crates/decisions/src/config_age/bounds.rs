//! How old the knowledge of a configuration may be.

/// Share of the time within which a removed key must admit nothing, in percent, for which an instance vouches
/// for the keys that it knows.
///
/// The rest is for the way of an admitted request to its upstream, where it may wait for half a second in a
/// congested link, and for a watch that hears of changes late while the store drops its history.
const VOUCH_PERCENT: u64 = 80;
/// Time within which changes are known everywhere, in percent of the time within which a removed key must admit
/// nothing.
///
/// The store is then asked so often that its last answer is at most a fifth of that time old: an instance that
/// is cut off just before the next answer still serves for three fifths.
const CHANGE_PERCENT: u64 = 50;

/// How old the knowledge of a configuration may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgeBounds {
    /// Maximum age at which known keys admit requests, in milliseconds; `None` without a limit.
    pub vouch_ms: Option<u64>,
    /// Maximum age at which a key that isn't known counts as held by nobody, in milliseconds.
    pub current_ms: u64,
}

impl AgeBounds {
    /// Returns the longest time within which changes may become known where a removed key must admit nothing
    /// later than `revoke_ms`, in milliseconds.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::FeedTiming;
    /// use monsoonspread_decisions::config_age::AgeBounds;
    ///
    /// let timing = FeedTiming::new(AgeBounds::max_change_ms(5_000));
    /// assert!(timing.coalesce_ms + timing.watch_ms < 1_000);
    /// ```
    pub fn max_change_ms(revoke_ms: u64) -> u64 {
        revoke_ms * CHANGE_PERCENT / 100
    }

    /// Returns the bounds for keys that must work within `config_ms` after they are added and, if
    /// `revoke_ms` is given, admit nothing later than that after they are removed.
    ///
    /// ```
    /// use monsoonspread_decisions::config_age::AgeBounds;
    ///
    /// let bounds = AgeBounds::new(3_000, Some(5_000));
    /// assert_eq!((bounds.current_ms, bounds.vouch_ms), (3_000, Some(4_000)));
    /// ```
    pub fn new(config_ms: u64, revoke_ms: Option<u64>) -> Self {
        let vouch_ms = revoke_ms.map(|ms| ms * VOUCH_PERCENT / 100);
        Self {
            vouch_ms,
            // An instance that admits no key that it knows turns none away for good either.
            current_ms: vouch_ms.map_or(config_ms, |ms| ms.min(config_ms)),
        }
    }
}
