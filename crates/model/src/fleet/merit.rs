//! The order in which requests are served when there isn't room for all.

use serde::{Deserialize, Serialize};

/// Number of ranks of routes that are told apart below each rank of workspaces where both are one number.
const ROUTE_RANKS: u32 = 3;

/// Urgency of a request: the lower one is served first. The same order holds at engines and plain services.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Merit {
    /// Rank of its workspace; 0 without one.
    #[serde(rename = "w")]
    pub workspace_rank: u32,
    /// Rank of its route.
    #[serde(rename = "r")]
    pub route_rank: u32,
}

impl Merit {
    /// Creates the merit of a request without a workspace.
    pub fn of_route(route_rank: u32) -> Self {
        Self {
            workspace_rank: 0,
            route_rank,
        }
    }

    /// Sets the rank of the workspace.
    #[must_use]
    pub fn with_workspace_rank(mut self, workspace_rank: u32) -> Self {
        self.workspace_rank = workspace_rank;
        self
    }

    /// Returns both ranks as one number, 0 first, where a queue knows only one.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::Merit;
    /// assert_eq!(Merit::of_route(2).rank(), 2);
    /// assert_eq!(Merit::of_route(2).with_workspace_rank(1).rank(), 5);
    /// assert_eq!(Merit::of_route(8).with_workspace_rank(1).rank(), 5);
    /// ```
    pub fn rank(self) -> u32 {
        if self.workspace_rank == 0 {
            return self.route_rank;
        }
        let route_rank = self.route_rank.min(ROUTE_RANKS - 1);
        self.workspace_rank
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route_rank)
    }
}
