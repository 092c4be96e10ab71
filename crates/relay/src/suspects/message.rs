//! Exchange of suspect requests between instances.

use monsoonspread_decisions::quarantine::Suspect;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};
use serde::{Deserialize, Serialize};

/// The evidence against one request. Times are durations, as the instances' clocks differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerSuspect {
    /// Fingerprint of the request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// Upstreams that crashed while running it.
    #[serde(rename = "c")]
    pub crashes: Vec<PeerCrash>,
    /// How long ago it was cleared, in milliseconds.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub cleared_ms_ago: Option<u64>,
}

/// A crash of an upstream while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerCrash {
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Start time of the upstream process, which distinguishes its restarts.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// How long ago the request was sent there, in milliseconds.
    #[serde(rename = "t")]
    pub sent_ms_ago: u64,
    /// How long ago the crash was detected, in milliseconds.
    #[serde(rename = "s")]
    pub seen_ms_ago: u64,
}

impl PeerSuspect {
    /// Converts the evidence against a request to a message sent at `now`.
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

    /// Returns the crashes, with times on this instance's clock.
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
