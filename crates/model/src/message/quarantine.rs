//! Reports of requests that crash upstreams.

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, UnixMs, UpstreamName};

/// Reports that an upstream crashed while it ran the request with `fingerprint`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The upstream that crashed.
    pub upstream: UpstreamName,
    /// Identifies the run of the upstream that crashed; 0 if runs are not distinguished.
    #[serde(default)]
    pub incarnation: u64,
    /// When the request was sent to the upstream.
    pub sent_at_unix_ms: UnixMs,
    /// When the crash was detected.
    pub seen_at_unix_ms: UnixMs,
}
