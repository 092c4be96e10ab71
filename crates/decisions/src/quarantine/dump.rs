//! State dump of the quarantine.

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{UnixMs, UpstreamName};
use serde::Serialize;

/// State of the quarantine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct QuarantineDump {
    /// Number of fingerprints that crashed an upstream recently.
    pub suspected: usize,
    /// Fingerprints that are refused now, in hexadecimal digits.
    pub quarantined: Vec<String>,
}

/// State of one suspect request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SuspectDump {
    /// Its fingerprint, in hexadecimal digits.
    pub fingerprint: String,
    /// Number of crashes that count against it.
    pub counted: usize,
    /// Until when it is refused; `None` if it is not quarantined.
    pub refused_until: Option<UnixMs>,
    /// When it was last cleared; `None` if never.
    pub cleared_at: Option<UnixMs>,
    /// Remembered crashes, oldest first.
    pub crashes: Vec<CrashDump>,
}

/// One crash.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct CrashDump {
    /// The upstream that crashed.
    pub upstream: UpstreamName,
    /// The incarnation of the upstream that crashed.
    pub incarnation: u64,
    /// When the crash was seen.
    pub seen_at: UnixMs,
}

impl CrashDump {
    /// Describes the crash in `notice`.
    pub(super) fn new(notice: &CrashNotice) -> Self {
        Self {
            upstream: notice.upstream.clone(),
            incarnation: notice.incarnation,
            seen_at: notice.seen_at_unix_ms,
        }
    }
}
