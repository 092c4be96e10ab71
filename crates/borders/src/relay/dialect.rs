//! Reading and writing the platform's request and answer headers.

use displaydoc::Display;
use hyper::http::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use monsoonspread_model::fleet::{CallHead, RateLimit, RelayService};
use monsoonspread_model::{UpstreamName, WorkspaceName};
use thiserror::Error;

/// Why the headers of a request are invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum BadCallHead {
    /// header "{0}" is missing
    Missing(&'static str),
    /// header "{0}" can't be read: "{1}"
    Unreadable(&'static str, String),
}

/// How a request tells an upstream who called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerMark<'a> {
    /// With the headers that the client sent, as there are no workspaces.
    AsSent,
    /// Not at all: the route is public.
    None,
    /// By the workspace, in place of the key.
    Workspace(&'a WorkspaceName),
}

/// Metadata that is sent to an upstream in addition to the client's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamHead<'a> {
    /// The intended upstream; any other upstream at the same address rejects the request.
    pub upstream: &'a UpstreamName,
    /// Who called.
    pub caller: CallerMark<'a>,
    /// How long the answer is useful, in milliseconds.
    pub remaining_ms: u64,
    /// Rank among requests, 0 is served first; `None` if the upstream doesn't support ranks.
    pub rank: Option<u8>,
    /// Adapter version that the upstream must have loaded; `None` for any.
    pub adapter_version: Option<u64>,
    /// The event after which to resume a stream; `None` to start at the beginning.
    pub resume_after: Option<u64>,
}

/// What an upstream announces about itself in any of its answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// The upstream is leaving and accepts no new work.
    pub is_leaving: bool,
    /// The upstream rejected the request and asks this instance to back off.
    pub backoff: Option<Backoff>,
    /// How many requests the upstream accepts.
    pub rate_limit: AnnouncedRate,
    /// Name of a header that belongs to an announcement of a kind that this system doesn't know.
    pub unknown: Option<String>,
}

/// The rate limit in an upstream's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum AnnouncedRate {
    /// The answer doesn't tell, as the upstream may not have made it.
    #[default]
    Unknown,
    /// The upstream has no limit.
    Unlimited,
    /// The limit over all instances.
    Limit(RateLimit),
    /// The value is malformed; the text as received.
    Malformed(String),
}

/// For how long an upstream asks this instance to back off.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Backoff {
    /// Duration in milliseconds.
    Ms(u64),
    /// The value is malformed; the text as received.
    Malformed(String),
}

/// Which request an answer names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AnswerId {
    /// The request that it was sent for.
    Same,
    /// Another one.
    Other,
    /// None.
    #[default]
    Absent,
}

/// Metadata from the status and headers of an upstream's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The upstream did not run the request and never will.
    pub not_run: bool,
    /// Another upstream answered, or this one doesn't hold the model that the request runs on.
    pub misdirected: bool,
    /// Which request the answer names.
    pub request_id: AnswerId,
    /// The answer carries the upstream's signature.
    pub signed: bool,
    /// How long the connection may be reused after this answer, in milliseconds; `None` if the
    /// answer doesn't limit it.
    pub keep_alive_ms: Option<u64>,
    /// The upstream closes the connection.
    pub closes: bool,
    /// Load of the upstream, if reported.
    pub load: Option<ServerLoad>,
    /// What the upstream announces about itself.
    pub announcement: UpstreamAnnouncement,
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that it runs at once; `None` if not reported.
    pub places: Option<u32>,
    /// Current time per unit of work, in percent of the usual time.
    pub slowness_percent: u32,
}

/// How the upstreams of a service are asked which process they are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdentityPath {
    /// Path of the GET request.
    pub path: String,
    /// Whether the body of the answer tells the start time of the process.
    pub has_start: bool,
}

/// A request to an upstream that it answers without running anything, to learn which process answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdentityRequest {
    /// Path of the GET request.
    pub path: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Whether the body of the answer tells the start time of the process.
    pub has_start: bool,
}

/// Which process answered an [`IdentityRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnsweredBy {
    /// The upstream that was asked.
    Upstream {
        /// Start time of its process; `None` if the answer doesn't tell.
        started_unix_ms: Option<u64>,
    },
    /// Another upstream, which has the address now.
    Other,
}

/// The platform's headers: how to read and write the metadata of requests and answers.
pub trait Dialect {
    /// Returns the id of a request; `None` if it has none that can be read.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Reads the metadata of a request.
    ///
    /// # Errors
    ///
    /// Returns the name of the header that is missing or invalid.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, BadCallHead>;

    /// Removes the headers that only this system may set, and adds those for the upstream.
    fn write_call(&self, headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Reads the metadata of an answer to the request `request_id`.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap, request_id: &str) -> AnswerHead;

    /// Returns how the upstreams of `service` are asked which process they are.
    fn identity_path(&self, service: &RelayService) -> IdentityPath;

    /// Returns the request that asks `upstream` at `path` which process it is; `None` if the upstream can't be named
    /// in one.
    fn identity_request(
        &self,
        upstream: &UpstreamName,
        path: &IdentityPath,
    ) -> Option<IdentityRequest>;

    /// Reads the answer to an [`IdentityRequest`] for `upstream`; `body` is empty if it wasn't read.
    fn read_identity(
        &self,
        upstream: &UpstreamName,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> AnsweredBy;

    /// Returns whether this is the platform's readiness probe, which asks whether the instance
    /// accepts new connections.
    fn is_readiness(&self, method: &Method, uri: &Uri) -> bool;
}
