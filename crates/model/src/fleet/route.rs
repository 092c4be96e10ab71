//! One route of the operators' configuration.

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatRule {
    /// A call that may run more than once.
    Repeatable,
    /// A call that may run once at the most.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another upstream may go on after a given event.
        resumable: bool,
    },
}

impl RepeatRule {
    /// Whether a request may be sent again after an upstream may have run it.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::RepeatRule;
    /// assert!(!RepeatRule::Once.may_run_again());
    /// assert!(RepeatRule::Stream { resumable: true }.may_run_again());
    /// ```
    pub fn may_run_again(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Upstreams that one client attempt may be sent to.
    pub max_attempts: u32,
    /// Longest time that a client is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time for an answer, or for the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Rank among the requests of a service, 0 first.
    pub rank: u32,
}
