//! Decides when an instance that watches the store sends messages to its subscribers.

use monsoonspread_model::UnixMs;

use super::FeedTiming;

/// Message of a source to its subscribers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// Heartbeat: no new changes.
    Alive,
    /// The source no longer receives changes reliably.
    Unavailable,
}

/// Answer to a new subscriber.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubscribeAnswer {
    /// The revision that the source knows.
    Known,
    /// No answer yet: the source has just started to watch the store.
    Later,
    /// The instance is not a source.
    Unavailable,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedState {
    /// It receives changes from another instance.
    Subscriber,
    /// It started to watch the store and has to receive an answer before `until`.
    Starting { until: UnixMs },
    /// The store answered; the answer is stale from `stale_at`.
    Source { stale_at: UnixMs },
    /// It watches the store, which doesn't answer.
    Lost,
}

/// Decides when an instance that watches the store sends messages to its subscribers.
#[derive(Clone, Copy, Debug)]
pub struct Publisher {
    timing: FeedTiming,
    state: FeedState,
    sent_at: UnixMs,
}

impl Publisher {
    /// Starts as a subscriber of another instance.
    pub fn new(timing: FeedTiming) -> Self {
        Self {
            timing,
            state: FeedState::Subscriber,
            sent_at: UnixMs(0),
        }
    }

    /// The instance starts to watch the store.
    pub fn on_started(&mut self, now: UnixMs) {
        if self.state == FeedState::Subscriber {
            let until = now + self.timing.start_ms;
            self.state = FeedState::Starting { until };
        }
    }

    /// The store answered.
    pub fn on_read(&mut self, now: UnixMs) {
        let stale_at = now + self.timing.stale_ms;
        self.state = FeedState::Source { stale_at };
    }

    /// A call to the store failed; returns true if subscribers must be notified.
    ///
    /// A source stays one until its last answer is stale: the next call may succeed, and subscribers
    /// that lose their source would all call the store.
    pub fn on_failed(&mut self) -> bool {
        let is_starting = matches!(self.state, FeedState::Starting { .. });
        is_starting && self.on_lost()
    }

    /// The store is unreachable; returns true if subscribers must be notified.
    pub fn on_lost(&mut self) -> bool {
        let previous = std::mem::replace(&mut self.state, FeedState::Lost);
        !matches!(previous, FeedState::Subscriber | FeedState::Lost)
    }

    /// The instance subscribed to another one; returns true if its subscribers must be notified.
    pub fn on_subscribed(&mut self) -> bool {
        let previous = std::mem::replace(&mut self.state, FeedState::Subscriber);
        !matches!(previous, FeedState::Subscriber | FeedState::Lost)
    }

    /// A message was sent to the subscribers.
    pub fn on_sent(&mut self, now: UnixMs) {
        self.sent_at = now;
    }

    /// Returns the answer to a new subscriber.
    pub fn answer(&self, now: UnixMs) -> SubscribeAnswer {
        match self.state {
            FeedState::Source { stale_at } if now < stale_at => SubscribeAnswer::Known,
            FeedState::Starting { until } if now < until => SubscribeAnswer::Later,
            _ => SubscribeAnswer::Unavailable,
        }
    }

    /// Returns the message that is due now, if any.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::{Notice, FeedTiming, Publisher};
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut publisher = Publisher::new(FeedTiming::new(2_000));
    /// publisher.on_read(UnixMs(0));
    /// assert_eq!(publisher.notice(UnixMs(300)), Some(Notice::Alive));
    /// assert_eq!(publisher.notice(UnixMs(950)), Some(Notice::Unavailable));
    /// ```
    pub fn notice(&self, now: UnixMs) -> Option<Notice> {
        match self.state {
            // The watch call may hang; subscribers should read the store themselves.
            FeedState::Source { stale_at: until } | FeedState::Starting { until }
                if now >= until =>
            {
                Some(Notice::Unavailable)
            }
            FeedState::Source { .. } if now >= self.sent_at + self.timing.heartbeat_ms => {
                Some(Notice::Alive)
            }
            _ => None,
        }
    }
}
