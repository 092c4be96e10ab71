//! Cleanup and accounting at the end of an answer.

use std::pin::Pin;
use std::rc::Rc;

use monsoonspread_borders::relay::{IdentityPath, ServerLoad};
use monsoonspread_decisions::answer_end::{EndVerdict, Framing, ProcessEvidence};
use monsoonspread_decisions::event_splitter::StreamPosition;
use monsoonspread_decisions::room::PlaceEnd;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};

use super::request::part_list;
use crate::connection::{ConnectionEnd, PooledSender};
use crate::end_check::{EndQuestion, process_evidence};
use crate::event::{Line, kind};
use crate::holding::CopyRequestGuard;
use crate::room::Place;
use crate::shared::Shared;
use crate::suspects::InFlightRequest;

/// Pause in an answer, in milliseconds, after which a client that disconnects is assumed to have
/// given up on an unresponsive upstream: half of the shortest timeout of the platform's clients.
const STALL_MS: u64 = 1_000;

/// Check of an unconfirmed end.
pub(super) type EndCheck = Pin<Box<dyn Future<Output = ProcessEvidence>>>;

/// Bookkeeping of one call to a server of a plain service.
pub(super) struct ServiceSlot {
    pub(super) server: UpstreamName,
    pub(super) repeatable: bool,
    pub(super) sent_at: UnixMs,
    /// The place that a keeper granted; `None` if the call was sent without one.
    pub(super) place: Option<Place>,
}

/// Permission to send a request to an engine.
pub struct Grant {
    /// `None` if no copy was requested from a holder.
    pub guard: Option<CopyRequestGuard>,
    /// Requests that were running on the engine or about to run when the grant was issued.
    pub running: u32,
    /// Version of the copy, if its holder told it.
    pub version: Option<u64>,
}

/// Releases the resources held by an answer when it completes or is dropped, and logs its outcome.
pub(super) struct AnswerEnd {
    shared: Rc<Shared>,
    request_id: String,
    fingerprint: Fingerprint,
    route: String,
    upstream: UpstreamName,
    identity_path: Option<IdentityPath>,
    arrived_at: UnixMs,
    deadline: UnixMs,
    first_byte_at: Option<UnixMs>,
    last_byte_at: UnixMs,
    longest_pause_ms: u64,
    status: u16,
    framing: Framing,
    connection: ConnectionEnd,
    /// Where a stream of events ended.
    position: Option<StreamPosition>,
    /// The result of the check of an unconfirmed end.
    evidence: Option<ProcessEvidence>,
    outcome: &'static str,
    sender: Option<(PooledSender, Option<u64>)>,
    slot: Option<ServiceSlot>,
    /// Base model and adapter that the request ran on.
    adapter: Option<AdapterKey>,
    /// Version of it that the engine had to have; `None` for any.
    expected_version: Option<u64>,
    in_flight: Option<InFlightRequest>,
    guard: Option<CopyRequestGuard>,
    prompt_tokens: u32,
    prompt_parts: Vec<PromptPart>,
    granted_ms: u64,
    running: u32,
    slowness_percent: Option<u32>,
}

impl AnswerEnd {
    /// Starts tracking the answer to `request` from `upstream` with HTTP status `status`.
    pub(super) fn new(
        shared: &Rc<Shared>,
        request: &super::request::RelayRequest,
        upstream: &UpstreamName,
        status: u16,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            request_id: request.head.request_id.clone(),
            fingerprint: request.fingerprint,
            route: request.route.name.clone(),
            upstream: upstream.clone(),
            identity_path: request.identity_path.clone(),
            arrived_at: request.arrived_at,
            deadline: request.deadline,
            first_byte_at: None,
            last_byte_at: UnixMs(0),
            longest_pause_ms: 0,
            status,
            framing: Framing::Length,
            connection: ConnectionEnd::default(),
            position: None,
            evidence: None,
            outcome: "left",
            sender: None,
            slot: None,
            adapter: request.head.adapter.clone(),
            expected_version: None,
            in_flight: None,
            guard: None,
            prompt_tokens: request.head.prompt_tokens,
            prompt_parts: request.head.prompt_parts.clone(),
            granted_ms: 0,
            running: 0,
            slowness_percent: None,
        }
    }

    /// Sets the connection, which returns to the pool once the answer is complete.
    pub(super) fn with_sender(mut self, sender: PooledSender, keep_alive_ms: Option<u64>) -> Self {
        self.sender = Some((sender, keep_alive_ms));
        self
    }

    /// Sets the in-flight record of the request.
    pub(super) fn with_in_flight(mut self, in_flight: InFlightRequest) -> Self {
        self.in_flight = Some(in_flight);
        self
    }

    /// Sets the slot that the service router counts for this call.
    pub(super) fn with_slot(mut self, slot: Option<ServiceSlot>) -> Self {
        self.slot = slot;
        self
    }

    /// Sets the grant and the time from the request's arrival to it, in milliseconds.
    pub(super) fn with_grant(mut self, grant: Grant, granted_ms: u64) -> Self {
        self.guard = grant.guard;
        self.running = grant.running;
        self.granted_ms = granted_ms;
        self
    }

    /// Sets the version of the adapter that the engine had to have.
    pub(super) fn with_expected_version(mut self, version: Option<u64>) -> Self {
        self.expected_version = version;
        self
    }

    /// Sets how long work took at the upstream when it answered, in percent of the usual time.
    pub(super) fn with_slowness(mut self, slowness_percent: Option<u32>) -> Self {
        self.slowness_percent = slowness_percent;
        self
    }

    /// Sets the load that a server of a plain service reported when it answered.
    pub(super) fn with_load(mut self, load: Option<ServerLoad>) -> Self {
        if let Some(load) = load {
            self.running = load.running + load.waiting;
            self.slowness_percent = Some(load.slowness_percent);
        }
        self
    }

    /// Sets how the answer marks its end, and how its connection ends.
    pub(super) fn with_framing(mut self, framing: Framing, connection: ConnectionEnd) -> Self {
        self.framing = framing;
        self.connection = connection;
        self
    }

    /// Records that the bytes ended without a failure of the connection, at `position` in a stream of
    /// events. An unconfirmed end is settled with [`Self::on_end_checked`].
    pub(super) fn on_bytes_ended(&mut self, position: Option<StreamPosition>) -> EndVerdict {
        self.position = position;
        let verdict = EndVerdict::new(self.framing, position);
        match verdict {
            EndVerdict::Complete => self.on_complete(),
            EndVerdict::BrokenOff => self.on_upstream_disconnected(),
            EndVerdict::Unconfirmed => {}
        }
        verdict
    }

    /// Checks whether the upstream closed the connection on purpose, and its process runs on.
    pub(super) fn check_end(&self) -> EndCheck {
        let shared = Rc::clone(&self.shared);
        let upstream = self.in_flight.as_ref().map(|sent| sent.upstream.clone());
        let path = self.identity_path.as_ref();
        let question = upstream.zip(path).map(|(upstream, path)| {
            EndQuestion::new(&shared, upstream, path).with_give_up_at(self.deadline)
        });
        let connection = self.connection.clone();
        Box::pin(async move {
            let Some(question) = question else {
                return ProcessEvidence::NotAsked;
            };
            let evidence = process_evidence(shared, question).await;
            match connection.is_regular().await {
                true => evidence,
                false => ProcessEvidence::RequestUnread,
            }
        })
    }

    /// Settles an unconfirmed end, with the result of the check; returns whether the answer is complete.
    pub(super) fn on_end_checked(&mut self, evidence: ProcessEvidence) -> bool {
        self.evidence = Some(evidence);
        // Closes the socket.
        self.connection.ignore();
        let is_complete = self.in_flight.as_ref().is_some_and(|sent| {
            let fleet = self.shared.fleet.borrow();
            let listed = fleet.upstream(&self.upstream);
            let listed_start = listed.map(|record| record.started_unix_ms);
            evidence.confirms_end(sent.upstream.started_unix_ms, listed_start)
        });
        let outcome = if is_complete {
            "confirmed"
        } else {
            "unconfirmed"
        };
        self.shared.metrics.count("unframed_ends", outcome);
        self.shared.metrics.count("end_checks", evidence.name());
        if is_complete {
            self.on_complete();
        } else {
            self.on_upstream_disconnected();
        }
        is_complete
    }

    /// Records that bytes of the body arrived.
    pub(super) fn on_bytes(&mut self) {
        let now = self.shared.now();
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.on_bytes(now);
        }
        if self.first_byte_at.is_none() {
            self.first_byte_at = Some(now);
            self.on_started();
        } else {
            let pause_ms = now.ms_since(self.last_byte_at);
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_byte_at = now;
        if let Some(guard) = &mut self.guard {
            guard.on_event();
        }
    }

    /// Tells the engine's holder that the answer began. An error says nothing about the engine's speed.
    fn on_started(&self) {
        let is_success = (200..300).contains(&self.status);
        if let Some(guard) = self.guard.as_ref().filter(|_| is_success) {
            guard.on_started(self.slowness_percent);
        }
    }

    /// Records that the answer is complete and releases its resources.
    fn on_complete(&mut self) {
        if self.outcome == "complete" {
            return;
        }
        self.outcome = "complete";
        let is_success = (200..300).contains(&self.status);
        if let Some(in_flight) = self.in_flight.take().filter(|_| is_success) {
            in_flight.on_served();
        }
        if let Some((sender, keep_alive_ms)) = self.sender.take() {
            sender.return_to_pool(keep_alive_ms);
        }
        self.guard = None;
        if let Some(slot) = self.slot.take() {
            let now = self.shared.now();
            let latency_ms = now.ms_since(slot.sent_at);
            let mut router = self.shared.router.borrow_mut();
            router.on_end(now, &slot.server, slot.repeatable, Some(latency_ms));
            drop(router);
            // A server that answers errors quickly isn't fast.
            if let Some(place) = slot.place.filter(|_| is_success) {
                place.on_end(PlaceEnd::Served(latency_ms));
            }
        }
    }

    /// Records that the upstream disconnected before the answer was complete.
    pub(super) fn on_upstream_disconnected(&mut self) {
        self.outcome = "upstream broke off";
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.on_break();
        }
    }

    /// Records that the answer ended early with `outcome`, for a reason other than a disconnect.
    pub(super) fn on_aborted(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        let now = self.shared.now();
        let is_stalled = now.ms_since(self.last_byte_at) >= STALL_MS;
        if let Some(in_flight) = &self.in_flight
            && self.outcome == "left"
            && is_stalled
        {
            in_flight.on_no_answer();
        }
        if let Some(slot) = self.slot.take() {
            // A disconnecting client is no evidence about the server.
            let latency_ms = (self.outcome == "left").then(|| now.ms_since(slot.sent_at));
            let mut router = self.shared.router.borrow_mut();
            router.on_end(now, &slot.server, slot.repeatable, latency_ms);
        }
        let ms = now.ms_since(self.arrived_at);
        let first_ms = self.first_byte_at.map(|at| at.ms_since(self.arrived_at));
        self.shared.metrics.count("answers", self.outcome);
        self.shared.metrics.record_latency("answer", ms);
        if let Some(first_ms) = first_ms {
            self.shared.metrics.record_latency("first_byte", first_ms);
        }
        let parts = match self.outcome {
            "upstream broke off" => part_list(&self.prompt_parts),
            _ => String::new(),
        };
        let adapter = self
            .adapter
            .as_ref()
            .map_or(String::new(), AdapterKey::to_string);
        Line::new(if self.outcome == "left" {
            &kind::CLIENT_LEFT
        } else {
            &kind::CALL_ENDED
        })
        .field("id", &self.request_id)
        .field("route", &self.route)
        .field("upstream", &self.upstream)
        .field("status", self.status)
        .field("outcome", self.outcome)
        .field("framing", self.framing)
        .field(
            "ended",
            self.position.map_or(String::new(), |at| at.to_string()),
        )
        .field(
            "checked",
            self.evidence
                .map_or(String::new(), |found| found.to_string()),
        )
        .field("parts", parts)
        .field("adapter", adapter)
        .field("expected_version", self.expected_version.unwrap_or(0))
        .field("prompt_tokens", self.prompt_tokens)
        .field("granted_ms", self.granted_ms)
        .field("running", self.running)
        .field("slowness", self.slowness_percent.unwrap_or(0))
        .field("first_ms", first_ms.unwrap_or(0))
        .field("pause_ms", self.longest_pause_ms)
        .field("ms", ms)
        .field("fingerprint", self.fingerprint)
        .log();
    }
}
