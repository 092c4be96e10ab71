//! Workspaces: callers that share keys, a rank and a quota.

use serde::{Deserialize, Serialize};

use super::{CallerKey, TokenQuota};
use crate::WorkspaceName;

/// Callers that share keys, a rank and a quota.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Keys of its callers.
    pub keys: Vec<CallerKey>,
    /// Rank of its requests, which goes before that of the route; 0 is served first.
    pub rank: u32,
    /// What its requests may use; `None` without a limit.
    pub quota: Option<TokenQuota>,
}
