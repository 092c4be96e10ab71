//! Requests that crash upstreams.

use serde::{Deserialize, Serialize};

use crate::{UnixMs, UpstreamName};

/// Says that an upstream crashed while it ran the request with `fingerprint`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Hash of the request's adapter and body; never the text itself.
    pub fingerprint: u64,
    /// The upstream that crashed.
    pub upstream: UpstreamName,
    /// When it was seen.
    pub seen_at_unix_ms: UnixMs,
}
