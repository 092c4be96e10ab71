//! Requests for permits.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::rate_limit::PermitAnswer;
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{RateLimit, UpstreamRecord, UpstreamStage};

use crate::event::{Line, kind};
use crate::gossip::RateObservation;
use crate::peers::{PeerPermit, PeerPermitRequest};
use crate::shared::Shared;

/// How long to wait for the answer of an issuer, in milliseconds: a few round trips to another zone,
/// plus the queueing delay at a busy instance.
const ANSWER_TIMEOUT_MS: u64 = 150;
/// How long an upstream is left alone when its issuer gave no answer, in milliseconds.
const NO_ANSWER_MS: u64 = 500;

/// Permission to send a request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The request may not be sent to this upstream.
    Denied,
}

impl Shared {
    /// Obtains the permission to send the request `id` to `upstream`; waits for it until `wait_until`
    /// at the latest. Granted at once if the upstream has no limit.
    pub async fn permit(
        self: &Rc<Self>,
        id: &str,
        upstream: &UpstreamRecord,
        wait_until: UnixMs,
    ) -> Permit {
        let incarnation = upstream.started_unix_ms;
        let limit = self.fleet.borrow().rate_limit(&upstream.name, incarnation);
        let Some(limit) = limit else {
            return Permit::Granted;
        };
        let asked_at = self.now();
        let answer = self.request_permit(upstream, wait_until).await;
        let (permit, outcome, free_at) = match answer {
            Some(PermitAnswer::SendAt(at)) => {
                self.permits.on_exhausted(&upstream.name, at);
                self.wait_for_permit(at).await;
                match self.is_available(upstream) {
                    true => (Permit::Granted, "granted", at),
                    false => (Permit::Denied, "upstream gone", at),
                }
            }
            Some(PermitAnswer::Denied(free_at)) => (Permit::Denied, "denied", free_at),
            None => (Permit::Denied, "no answer", asked_at + NO_ANSWER_MS),
        };
        self.metrics.count("permits", outcome);
        if permit == Permit::Denied {
            self.permits.on_exhausted(&upstream.name, free_at);
        }
        let waited_ms = self.now().ms_since(asked_at);
        if permit == Permit::Denied || free_at > asked_at {
            log_permit(id, upstream, limit, outcome, waited_ms);
        }
        permit
    }

    async fn request_permit(
        self: &Rc<Self>,
        upstream: &UpstreamRecord,
        wait_until: UnixMs,
    ) -> Option<PermitAnswer> {
        let incarnation = upstream.started_unix_ms;
        let issuer = self.permit_issuer(&upstream.name);
        if issuer == self.settings.instance {
            return Some(self.issue_permit(&upstream.name, incarnation, wait_until));
        }
        let now = self.now();
        if self.permits.is_unresponsive(now, &issuer) {
            return None;
        }
        let address = self.fleet.borrow().member(&issuer)?;
        let request = PeerPermitRequest {
            number: self.holding.next_number(),
            observation: self.rate_observation(&upstream.name)?,
            wait_ms: wait_until.ms_since(now),
        };
        let answer = self.peers.request_permit(&issuer, address, request);
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        match tokio::time::timeout(timeout, answer).await {
            Ok(Some(PeerPermit {
                is_granted, in_ms, ..
            })) => {
                let at = self.now() + in_ms;
                Some(match is_granted {
                    true => PermitAnswer::SendAt(at),
                    false => PermitAnswer::Denied(at),
                })
            }
            _ => {
                self.permits.on_unresponsive(self.now(), &issuer);
                None
            }
        }
    }

    /// Answers another instance's request for a permit.
    pub fn on_permit_request(self: &Rc<Self>, request: &PeerPermitRequest) -> PeerPermit {
        let RateObservation {
            upstream,
            incarnation,
            ..
        } = &request.observation;
        self.on_rate_observation("permit request", &request.observation);
        let now = self.now();
        let answer = self.issue_permit(upstream, *incarnation, now + request.wait_ms);
        let (is_granted, at) = match answer {
            PermitAnswer::SendAt(at) => (true, at),
            PermitAnswer::Denied(at) => (false, at),
        };
        PeerPermit {
            number: request.number,
            is_granted,
            in_ms: at.ms_since(now),
        }
    }

    /// Whether an upstream still accepts requests after one waited for its permit.
    fn is_available(&self, upstream: &UpstreamRecord) -> bool {
        let fleet = self.fleet.borrow();
        let listed = fleet.upstream(&upstream.name);
        listed.is_some_and(|listed| {
            listed.stage == UpstreamStage::Ready
                && listed.started_unix_ms == upstream.started_unix_ms
                && fleet.backoff_until(self.now(), listed).is_none()
        })
    }

    async fn wait_for_permit(&self, at: UnixMs) {
        let wait_ms = at.ms_since(self.now());
        if wait_ms > 0 {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
}

fn log_permit(
    id: &str,
    upstream: &UpstreamRecord,
    limit: RateLimit,
    outcome: &str,
    waited_ms: u64,
) {
    Line::new(&kind::LIMIT_REACHED)
        .field("id", id)
        .field("upstream", &upstream.name)
        .field("outcome", outcome)
        .field("per_s", limit)
        .field("waited_ms", waited_ms)
        .log();
}
