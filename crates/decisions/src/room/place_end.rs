//! Ends of calls that had a place.

use serde::{Deserialize, Serialize};

/// Load that a server told in an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// Number of running calls.
    #[serde(rename = "r")]
    pub running: u32,
    /// Number of queued calls.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Number of calls that the server runs at once.
    #[serde(rename = "p")]
    pub places: u32,
    /// Current time per unit of work, in percent of the usual time.
    #[serde(rename = "s")]
    pub slowness_percent: u32,
}

impl ReportedLoad {
    /// Whether the server had no place free.
    ///
    /// ```
    /// # use monsoonspread_decisions::room::ReportedLoad;
    /// let load = ReportedLoad { running: 6, waiting: 0, places: 6, slowness_percent: 100 };
    /// assert!(load.is_full());
    /// ```
    pub fn is_full(&self) -> bool {
        self.running + self.waiting >= self.places
    }
}

/// How a call that had a place ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PlaceEnd {
    /// The server served it in this time, in milliseconds.
    #[serde(rename = "s")]
    Served(u64),
    /// The server rejected it.
    #[serde(rename = "r")]
    Rejected,
    /// The server couldn't be reached, or gave no answer.
    #[serde(rename = "f")]
    Failed,
    /// It was not sent, or tells nothing about the server.
    #[serde(rename = "u")]
    Unused,
}
