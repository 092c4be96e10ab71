//! Requests that were sent to an upstream and have not ended.

use std::rc::Rc;

use monsoonspread_model::fleet::UpstreamRecord;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use crate::shared::Shared;

/// How long after the first byte of an answer a crash still counts against the parts of its prompt, in
/// milliseconds: a part crashes an upstream as it begins to write.
const BEGINNING_MS: u64 = 1_000;

/// A request that was sent to an upstream; it ends when this is dropped.
pub struct InFlightRequest {
    shared: Rc<Shared>,
    pub fingerprint: Fingerprint,
    /// Prompt parts that other requests may have in common.
    parts: Rc<[Fingerprint]>,
    /// The upstream's entry when the request was sent.
    pub upstream: UpstreamRecord,
    sent_at: UnixMs,
    first_byte_at: Option<UnixMs>,
    last_byte_at: Option<UnixMs>,
    /// Whether the outcome is still unknown.
    is_open: bool,
}

impl InFlightRequest {
    /// Records that the request `fingerprint`, whose prompt has `parts`, is sent to `upstream` now.
    pub fn new(
        shared: &Rc<Shared>,
        fingerprint: Fingerprint,
        parts: &Rc<[Fingerprint]>,
        upstream: &UpstreamRecord,
    ) -> Self {
        shared.suspects.on_sent(shared.now(), fingerprint, parts);
        Self {
            shared: Rc::clone(shared),
            fingerprint,
            parts: Rc::clone(parts),
            upstream: upstream.clone(),
            sent_at: shared.now(),
            first_byte_at: None,
            last_byte_at: None,
            is_open: true,
        }
    }

    /// Records that bytes of the answer arrived.
    pub fn on_bytes(&mut self, now: UnixMs) {
        self.first_byte_at.get_or_insert(now);
        self.last_byte_at = Some(now);
    }

    /// Records that the connection failed before the answer was complete.
    pub fn on_break(&self) {
        let suspects = &self.shared.suspects;
        suspects.on_break(&self.shared, self.notice(), self.blamed_parts());
    }

    /// Records that no answer came in time.
    pub fn on_no_answer(&self) {
        let suspects = &self.shared.suspects;
        suspects.on_no_answer(&self.shared, self.notice(), self.blamed_parts());
    }

    /// Records that the outcome is known: an answer, or the notice that the request was not run.
    pub fn on_outcome(&mut self) {
        self.is_open = false;
    }

    /// Records that the upstream answered completely and with success.
    pub fn on_served(&self) {
        let suspects = &self.shared.suspects;
        suspects.on_served(&self.shared, self.fingerprint, &self.parts);
    }

    /// The prompt parts that may be the reason of a crash.
    fn blamed_parts(&self) -> Rc<[Fingerprint]> {
        let wrote_ms = match (self.first_byte_at, self.last_byte_at) {
            (Some(first), Some(last)) => last.ms_since(first),
            _ => 0,
        };
        if wrote_ms >= BEGINNING_MS {
            return Rc::default();
        }
        Rc::clone(&self.parts)
    }

    fn notice(&self) -> CrashNotice {
        CrashNotice {
            fingerprint: self.fingerprint,
            upstream: self.upstream.name.clone(),
            incarnation: self.upstream.started_unix_ms,
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
