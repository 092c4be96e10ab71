//! When an instance that follows the store tells its followers something.

use monsoonspread_model::UnixMs;

use super::Pace;

/// What a source tells its followers now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// That it knows what it knew: no change has come.
    Alive,
    /// That it can't be relied on any more.
    NoNews,
}

/// When an instance that follows the store tells its followers something.
#[derive(Clone, Copy, Debug)]
pub struct Publisher {
    pace: Pace,
    stale_at: Option<UnixMs>,
    told_at: UnixMs,
}

impl Publisher {
    /// Nothing was read yet.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            stale_at: None,
            told_at: UnixMs(0),
        }
    }

    /// The store answered.
    pub fn on_read(&mut self, now: UnixMs) {
        self.stale_at = Some(now + self.pace.stale_ms);
    }

    /// Something was told.
    pub fn on_told(&mut self, now: UnixMs) {
        self.told_at = now;
    }

    /// The store is not followed any more; true when it was until now.
    pub fn on_lost(&mut self) -> bool {
        self.stale_at.take().is_some()
    }

    /// Whether followers may rely on this instance.
    pub fn is_source(&self, now: UnixMs) -> bool {
        self.stale_at.is_some_and(|stale_at| now < stale_at)
    }

    /// What to tell now, if anything.
    ///
    /// ```
    /// use monsoonspread_decisions::news_source::{Notice, Pace, Publisher};
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut publisher = Publisher::new(Pace::new(2_000));
    /// publisher.on_read(UnixMs(0));
    /// assert_eq!(publisher.notice(UnixMs(300)), Some(Notice::Alive));
    /// assert_eq!(publisher.notice(UnixMs(950)), Some(Notice::NoNews));
    /// ```
    pub fn notice(&self, now: UnixMs) -> Option<Notice> {
        let stale_at = self.stale_at?;
        if now >= stale_at {
            // The watch may hang; whoever follows had better ask the store.
            return Some(Notice::NoNews);
        }
        (now >= self.told_at + self.pace.sign_ms).then_some(Notice::Alive)
    }
}
