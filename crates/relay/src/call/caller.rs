//! Who sent a request.

use monsoonspread_borders::relay::CallerMark;
use monsoonspread_decisions::route_table::RouteTable;
use monsoonspread_model::WorkspaceName;
use monsoonspread_model::fleet::{CallHead, CallerKey, Merit, PresentedKey, Route, TokenQuota};

/// Who sent a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Caller {
    /// Anybody: the configuration has no workspaces.
    Anybody,
    /// Somebody who needs no key on this route.
    Public,
    /// A caller of a workspace.
    Member(Box<Member>),
}

/// A caller of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Member {
    pub(super) workspace: WorkspaceName,
    /// Version of the configuration by which the workspace holds the key.
    pub(super) config_version: u64,
    /// The key that the request presented.
    pub(super) key: CallerKey,
    /// Rank of the workspace.
    pub(super) rank: u32,
    /// Quota of the workspace.
    pub(super) quota: Option<TokenQuota>,
}

impl Caller {
    /// How upstreams are told who called.
    pub(super) fn mark(&self) -> CallerMark<'_> {
        match self {
            Self::Anybody => CallerMark::AsSent,
            Self::Public => CallerMark::None,
            Self::Member(member) => CallerMark::Workspace(&member.workspace),
        }
    }

    /// The workspace that the caller belongs to, if any.
    pub(super) fn workspace(&self) -> Option<&WorkspaceName> {
        match self {
            Self::Anybody | Self::Public => None,
            Self::Member(member) => Some(&member.workspace),
        }
    }

    /// The order in which its request on `route` is served.
    pub(super) fn merit(&self, route: &Route) -> Merit {
        let merit = Merit::of_route(route.rank);
        match self {
            Self::Anybody | Self::Public => merit,
            Self::Member(member) => merit.with_workspace_rank(member.rank),
        }
    }
}

/// Finds out who sent a request on `route`; `None` if it needs a key and has none that a workspace holds.
pub(super) fn identify(routes: &RouteTable, route: &Route, head: &CallHead) -> Option<Caller> {
    if routes.config().workspaces.is_empty() {
        return Some(Caller::Anybody);
    }
    if route.is_public {
        return Some(Caller::Public);
    }
    let PresentedKey::One(key) = &head.key else {
        return None;
    };
    let workspace = routes.workspace_of(key)?;
    Some(Caller::Member(Box::new(Member {
        workspace: workspace.name.clone(),
        config_version: routes.config().version,
        key: key.clone(),
        rank: workspace.rank,
        quota: workspace.quota,
    })))
}
