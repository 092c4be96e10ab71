//! Requests that were sent to an upstream and have not ended.

use std::rc::Rc;

use monsoonspread_model::fleet::UpstreamRecord;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};

use crate::shared::Shared;

/// A request that was sent to an upstream; it ends when this is dropped.
pub struct InFlightRequest {
    shared: Rc<Shared>,
    pub fingerprint: Fingerprint,
    pub upstream: UpstreamName,
    /// Start time of the upstream process, which distinguishes its restarts.
    pub incarnation: u64,
    sent_at: UnixMs,
    /// Whether the outcome is still unknown.
    is_open: bool,
}

impl InFlightRequest {
    /// Records that the request `fingerprint` is sent to `upstream` now.
    pub fn new(shared: &Rc<Shared>, fingerprint: Fingerprint, upstream: &UpstreamRecord) -> Self {
        shared.suspects.on_sent(fingerprint);
        Self {
            shared: Rc::clone(shared),
            fingerprint,
            upstream: upstream.name.clone(),
            incarnation: upstream.started_unix_ms,
            sent_at: shared.now(),
            is_open: true,
        }
    }

    /// Records that the connection failed before the answer was complete.
    pub fn on_break(&self) {
        self.shared.suspects.on_break(&self.shared, self.notice());
    }

    /// Records that no answer came in time.
    pub fn on_no_answer(&self) {
        self.shared
            .suspects
            .on_no_answer(&self.shared, self.notice());
    }

    /// Records that the outcome is known: an answer, or the notice that the request was not run.
    pub fn on_outcome(&mut self) {
        self.is_open = false;
    }

    /// Records that the upstream answered completely and with success.
    pub fn on_served(&self) {
        self.shared
            .suspects
            .on_served(&self.shared, self.fingerprint);
    }

    fn notice(&self) -> CrashNotice {
        CrashNotice {
            fingerprint: self.fingerprint,
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            sent_at_unix_ms: self.sent_at,
            seen_at_unix_ms: self.shared.now(),
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.is_open {
            // The client disconnected before any answer.
            self.on_no_answer();
        }
        self.shared.suspects.on_ended(self.fingerprint);
    }
}
