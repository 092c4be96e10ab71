//! Bounded record of requests and grants that ended.

use std::collections::{HashMap, VecDeque};

use monsoonspread_model::message::GrantId;
use monsoonspread_model::{Refusal, UnixMs};

use super::request_key::RequestKey;

/// How a request ended, for duplicates that arrive late.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Ending {
    /// Its grant was returned; it gets no second one.
    Returned,
    /// It was withdrawn.
    Withdrawn,
    /// It was refused.
    Refused(Refusal),
}

/// A bounded record of ended requests and returned grants.
#[derive(Debug)]
pub(super) struct Endings {
    rows: HashMap<RequestKey, (Ending, UnixMs)>,
    order: VecDeque<(RequestKey, UnixMs)>,
    returned: VecDeque<GrantId>,
    capacity: usize,
}

impl Endings {
    /// Creates an empty record of at most `capacity` requests and as many returned grants.
    pub fn new(capacity: usize) -> Self {
        Self {
            rows: HashMap::new(),
            order: VecDeque::new(),
            returned: VecDeque::new(),
            capacity,
        }
    }

    /// Records how a request ended; the entry expires at `until`.
    pub fn insert(&mut self, key: RequestKey, ending: Ending, until: UnixMs) {
        if self.order.len() == self.capacity {
            self.drop_oldest();
        }
        self.order.push_back((key.clone(), until));
        self.rows.insert(key, (ending, until));
    }

    /// How a request ended; `None` when it is unknown or the entry has expired.
    pub fn get(&self, key: &RequestKey, now: UnixMs) -> Option<&Ending> {
        self.rows
            .get(key)
            .filter(|(_, until)| *until > now)
            .map(|(ending, _)| ending)
    }

    /// Records that a grant was returned.
    pub fn insert_returned(&mut self, grant: GrantId) {
        if self.returned.len() == self.capacity {
            self.returned.pop_front();
        }
        self.returned.push_back(grant);
    }

    /// Whether a grant is among the most recently returned ones.
    pub fn is_returned(&self, grant: GrantId) -> bool {
        self.returned.contains(&grant)
    }

    /// Removes expired entries.
    pub fn sweep(&mut self, now: UnixMs) {
        while self.order.front().is_some_and(|(_, until)| *until <= now) {
            self.drop_oldest();
        }
    }

    /// Number of recorded requests.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    fn drop_oldest(&mut self) {
        let Some((key, until)) = self.order.pop_front() else {
            return;
        };
        if self.rows.get(&key).is_some_and(|(_, at)| *at == until) {
            self.rows.remove(&key);
        }
    }
}
