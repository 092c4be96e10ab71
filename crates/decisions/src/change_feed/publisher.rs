//! When an instance that follows the store tells its followers something.

use monsoonspread_model::UnixMs;

use super::FeedTiming;

/// What a source tells its followers now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// That it knows what it knew: no change has come.
    Alive,
    /// That it can't be relied on any more.
    Unavailable,
}

/// What an instance that was just asked for the news says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubscribeAnswer {
    /// What it knows.
    Known,
    /// Nothing yet: it has just begun to follow the store.
    Later,
    /// That it has none to tell.
    Unavailable,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedState {
    /// It hears from another instance.
    Follower,
    /// It has begun to follow the store and is to have an answer by then.
    Begins { until: UnixMs },
    /// The store answered; the answer is stale by then.
    Source { stale_at: UnixMs },
    /// It follows the store, which doesn't answer.
    Lost,
}

/// When an instance that follows the store tells its followers something.
#[derive(Clone, Copy, Debug)]
pub struct Publisher {
    pace: FeedTiming,
    state: FeedState,
    sent_at: UnixMs,
}

impl Publisher {
    /// Nothing was read yet.
    pub fn new(pace: FeedTiming) -> Self {
        Self {
            pace,
            state: FeedState::Follower,
            sent_at: UnixMs(0),
        }
    }

    /// It follows the store from now on.
    pub fn on_started(&mut self, now: UnixMs) {
        if self.state == FeedState::Follower {
            let until = now + self.pace.start_ms;
            self.state = FeedState::Begins { until };
        }
    }

    /// The store answered.
    pub fn on_read(&mut self, now: UnixMs) {
        let stale_at = now + self.pace.stale_ms;
        self.state = FeedState::Source { stale_at };
    }

    /// The store did not answer one call; true when followers are to be told.
    ///
    /// A source stays one until its last answer is stale: the next call may be answered, and
    /// followers that leave it would all ask the store.
    pub fn on_failed(&mut self) -> bool {
        let begins = matches!(self.state, FeedState::Begins { .. });
        begins && self.on_lost()
    }

    /// The store is out of reach; true when followers are to be told.
    pub fn on_lost(&mut self) -> bool {
        let former = std::mem::replace(&mut self.state, FeedState::Lost);
        !matches!(former, FeedState::Follower | FeedState::Lost)
    }

    /// It hears from another instance from now on; true when followers are to be told.
    pub fn on_subscribed(&mut self) -> bool {
        let former = std::mem::replace(&mut self.state, FeedState::Follower);
        !matches!(former, FeedState::Follower | FeedState::Lost)
    }

    /// Something was told.
    pub fn on_sent(&mut self, now: UnixMs) {
        self.sent_at = now;
    }

    /// What to say to an instance that asks for the news.
    pub fn answer(&self, now: UnixMs) -> SubscribeAnswer {
        match self.state {
            FeedState::Source { stale_at } if now < stale_at => SubscribeAnswer::Known,
            FeedState::Begins { until } if now < until => SubscribeAnswer::Later,
            _ => SubscribeAnswer::Unavailable,
        }
    }

    /// What to tell now, if anything.
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
            // The watch may hang; whoever follows had better ask the store.
            FeedState::Source { stale_at: until } | FeedState::Begins { until } if now >= until => {
                Some(Notice::Unavailable)
            }
            FeedState::Source { .. } if now >= self.sent_at + self.pace.heartbeat_ms => {
                Some(Notice::Alive)
            }
            _ => None,
        }
    }
}
