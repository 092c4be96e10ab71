//! Routes of the operators' configuration.

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// Whether requests on a route may be sent more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatRule {
    /// A call that may run more than once.
    Repeatable,
    /// A call that may run at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another upstream can resume the stream after a given event.
        resumable: bool,
    },
}

impl RepeatRule {
    /// Returns whether a request may be sent again after an upstream may have run it.
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

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// A route from host and path to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of matching requests.
    pub host: String,
    /// Path prefix of matching requests, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may be sent more than once.
    pub repeat: RepeatRule,
    /// The services that requests are distributed to.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of upstreams that one client attempt is sent to.
    pub max_attempts: u32,
    /// Maximum time that a client is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Target time for an answer, or for the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Rank of its requests within a service; 0 is served first.
    pub rank: u32,
    /// Whether its requests need no key, also where there are workspaces.
    #[serde(default)]
    pub is_public: bool,
}
