//! What instances tell each other of a request.

use monsoonspread_decisions::quarantine::Suspect;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};
use serde::{Deserialize, Serialize};

/// What is held against one request. Times are spans, as instances' clocks differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSuspect {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Upstreams that ended under it.
    #[serde(rename = "c")]
    pub crashes: Vec<PeerCrash>,
    /// How long ago it was cleared, in milliseconds.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub cleared_ms_ago: Option<u64>,
}

/// An upstream that ended under a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerCrash {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Which of its starts.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// How long ago the request was sent there, in milliseconds.
    #[serde(rename = "t")]
    pub sent_ms_ago: u64,
    /// How long ago the end was seen, in milliseconds.
    #[serde(rename = "s")]
    pub seen_ms_ago: u64,
}

impl PeerSuspect {
    /// What is told of a request at `now`.
    pub fn new(now: UnixMs, fingerprint: Fingerprint, suspect: &Suspect) -> Self {
        let crash = |notice: &CrashNotice| PeerCrash {
            upstream: notice.upstream.clone(),
            incarnation: notice.incarnation,
            sent_ms_ago: now.ms_since(notice.sent_at_unix_ms),
            seen_ms_ago: now.ms_since(notice.seen_at_unix_ms),
        };
        Self {
            fingerprint,
            crashes: suspect.crashes().iter().map(crash).collect(),
            cleared_ms_ago: suspect.cleared_at().map(|at| now.ms_since(at)),
        }
    }

    /// The crashes, as seen by the clock of this instance.
    pub fn notices(&self, now: UnixMs) -> impl Iterator<Item = CrashNotice> {
        self.crashes.iter().map(move |crash| CrashNotice {
            fingerprint: self.fingerprint,
            upstream: crash.upstream.clone(),
            incarnation: crash.incarnation,
            sent_at_unix_ms: now - crash.sent_ms_ago,
            seen_at_unix_ms: now - crash.seen_ms_ago,
        })
    }
}
