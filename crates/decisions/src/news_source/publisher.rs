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

/// What an instance that was just asked for the news says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowAnswer {
    /// What it knows.
    Known,
    /// Nothing yet: it has just begun to follow the store.
    Later,
    /// That it has none to tell.
    NoNews,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
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
    pace: Pace,
    standing: Standing,
    told_at: UnixMs,
}

impl Publisher {
    /// Nothing was read yet.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            standing: Standing::Follower,
            told_at: UnixMs(0),
        }
    }

    /// It follows the store from now on.
    pub fn on_begun(&mut self, now: UnixMs) {
        if self.standing == Standing::Follower {
            let until = now + self.pace.begin_ms;
            self.standing = Standing::Begins { until };
        }
    }

    /// The store answered.
    pub fn on_read(&mut self, now: UnixMs) {
        let stale_at = now + self.pace.stale_ms;
        self.standing = Standing::Source { stale_at };
    }

    /// The store did not answer one call; true when followers are to be told.
    ///
    /// A source stays one until its last answer is stale: the next call may be answered, and
    /// followers that leave it would all ask the store.
    pub fn on_failed(&mut self) -> bool {
        let begins = matches!(self.standing, Standing::Begins { .. });
        begins && self.on_lost()
    }

    /// The store is out of reach; true when followers are to be told.
    pub fn on_lost(&mut self) -> bool {
        let former = std::mem::replace(&mut self.standing, Standing::Lost);
        !matches!(former, Standing::Follower | Standing::Lost)
    }

    /// It hears from another instance from now on; true when followers are to be told.
    pub fn on_follows(&mut self) -> bool {
        let former = std::mem::replace(&mut self.standing, Standing::Follower);
        !matches!(former, Standing::Follower | Standing::Lost)
    }

    /// Something was told.
    pub fn on_told(&mut self, now: UnixMs) {
        self.told_at = now;
    }

    /// What to say to an instance that asks for the news.
    pub fn answer(&self, now: UnixMs) -> FollowAnswer {
        match self.standing {
            Standing::Source { stale_at } if now < stale_at => FollowAnswer::Known,
            Standing::Begins { until } if now < until => FollowAnswer::Later,
            _ => FollowAnswer::NoNews,
        }
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
        match self.standing {
            // The watch may hang; whoever follows had better ask the store.
            Standing::Source { stale_at: until } | Standing::Begins { until } if now >= until => {
                Some(Notice::NoNews)
            }
            Standing::Source { .. } if now >= self.told_at + self.pace.sign_ms => {
                Some(Notice::Alive)
            }
            _ => None,
        }
    }
}
