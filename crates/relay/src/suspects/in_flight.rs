//! A request on its way to an upstream or running there.

use std::rc::Rc;

use monsoonspread_model::fleet::UpstreamRecord;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};

use crate::shared::Shared;

/// A request on its way to an upstream or running there, until this is dropped.
pub struct InFlightRequest {
    shared: Rc<Shared>,
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Which of its starts.
    pub incarnation: u64,
    sent_at: UnixMs,
    /// Nobody knows yet what became of it.
    is_open: bool,
}

impl InFlightRequest {
    /// The request `fingerprint` goes to `upstream` now.
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

    /// The connection broke before the answer was complete.
    pub fn on_break(&self) {
        self.shared.suspects.on_break(&self.shared, self.notice());
    }

    /// No answer came in time.
    pub fn on_unanswered(&self) {
        self.shared
            .suspects
            .on_unanswered(&self.shared, self.notice());
    }

    /// Something came of it: an answer, or word that it was not run.
    pub fn on_outcome(&mut self) {
        self.is_open = false;
    }

    /// The upstream answered with success, to the end.
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
            // Its client left before anything came.
            self.on_unanswered();
        }
        self.shared.suspects.on_ended(self.fingerprint);
    }
}
