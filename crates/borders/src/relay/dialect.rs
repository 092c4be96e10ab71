//! How requests and answers say what they say.

use displaydoc::Display;
use hyper::http::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::CallHead;
use thiserror::Error;

/// Why a request can't be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum BadCallHead {
    /// header "{0}" is missing
    Missing(&'static str),
    /// header "{0}" can't be read: "{1}"
    Unreadable(&'static str, String),
}

/// What an upstream is told besides what the client sent.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamHead<'a> {
    /// The upstream that is meant; another one at its address rejects the request.
    pub upstream: &'a UpstreamName,
    /// How long the answer is of use, in milliseconds.
    pub remaining_ms: u64,
    /// Rank among requests, 0 first; `None` where upstreams know no ranks.
    pub rank: Option<u8>,
    /// Version of the adapter that it must have.
    pub adapter_version: Option<u64>,
    /// The event after which to go on.
    pub resume_after: Option<u64>,
}

/// What an upstream says of itself in any of its answers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamAnnouncement {
    /// It leaves and wants no new work.
    pub is_leaving: bool,
    /// It turned this instance away for a while.
    pub backoff: Option<Backoff>,
}

/// For how long an upstream wants nothing from this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Backoff {
    /// So many milliseconds.
    Ms(u64),
    /// What it said can't be read.
    Malformed(String),
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The upstream didn't run the request and never will.
    pub not_run: bool,
    /// Another upstream answered, or this one lacks what the request runs on.
    pub misdirected: bool,
    /// The answer belongs to the request with the id that was asked about.
    pub id_matches: bool,
    /// The answer bears the upstream's signature.
    pub signed: bool,
    /// The connection may be used again for so long after this answer, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// The upstream closes the connection.
    pub closes: bool,
    /// How busy the upstream is.
    pub load: Option<ServerLoad>,
    /// What the upstream says of itself.
    pub announcement: UpstreamAnnouncement,
}

/// How busy an upstream says it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes at this moment, in percent of the usual time.
    pub slowness_percent: u32,
}

/// How requests and answers say what they say.
pub trait Dialect {
    /// Reads what a request says of itself.
    ///
    /// # Errors
    ///
    /// Names the header that is missing or can't be read.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, BadCallHead>;

    /// Removes what only this system may set, and adds what it tells an upstream.
    fn write_call(&self, headers: &mut HeaderMap, head: &UpstreamHead<'_>);

    /// Reads the head of an answer to the request `request_id`.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap, request_id: &str) -> AnswerHead;

    /// Whether the platform asks with this request if the instance takes new connections.
    fn is_readiness(&self, method: &Method, uri: &Uri) -> bool;
}
