//! Messages between instances.

use monsoonspread_borders::relay::RevisedChange;
use monsoonspread_decisions::change_feed::ChangeSpan;
use monsoonspread_decisions::config_age::Confirmation;
use monsoonspread_decisions::copies::{CopyRefusal, EngineQuote, QuoteQuestion};
use monsoonspread_decisions::rate_limit::Settlement;
use monsoonspread_decisions::room::{PlaceEnd, ReportedLoad};
use monsoonspread_model::fleet::{AdapterKey, Merit, PromptPart};
use monsoonspread_model::{InstanceName, ServiceName, UnixMs, UpstreamName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::gossip::{PeerGossip, RateObservation};

/// A request for a copy. Times are durations, as the instances' clocks differ.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerCopyRequest {
    /// Number of the copy request.
    pub number: u64,
    pub upstream: UpstreamName,
    /// Adapter or base model that the request runs on.
    pub key: AdapterKey,
    /// Oldest version of the adapter on which the request may begin; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_version: Option<u64>,
    /// Rank of the request; 0 is served first.
    pub rank: u32,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of its answer, in tokens; 0 if it isn't known.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub answer_tokens: u32,
    /// Leading parts of the prompt that other requests may share, if they are long.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shared_parts: Vec<PromptPart>,
    /// Whether to queue behind other requests for a copy.
    pub patient: bool,
    /// How long the request may wait and still meet its objective, in milliseconds.
    pub in_time_ms: u64,
    /// How long the instance waits for the copy, in milliseconds.
    pub wait_ms: u64,
    /// Maximum duration of the request, in milliseconds.
    pub lasts_ms: u64,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Changes in the store, published by an instance that reads it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerChanges {
    /// The changes follow this revision.
    pub after: u64,
    /// The changes are complete up to this revision.
    pub up_to: u64,
    /// The relevant changes; `None` if they must be read from the store.
    pub changes: Option<Vec<RevisedChange>>,
    /// How long removed entries may still reappear, in milliseconds.
    pub back_in_ms: u64,
    /// Whether the store answered every call for as long as a lease lasts.
    pub is_steady: bool,
    /// How long ago the state at the revision `after` was known to be the newest, in milliseconds; `None` from
    /// instances of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_ms: Option<u64>,
}

impl PeerChanges {
    /// What follows the revision `after` was written after this time, if the message arrived at once; `None`
    /// if its sender doesn't tell.
    pub fn known_at(&self, now: UnixMs) -> Option<UnixMs> {
        let known_ms = self.known_ms?;
        Some(UnixMs(now.0.saturating_sub(known_ms)))
    }

    /// Returns the range of revisions without the changes.
    pub fn span(&self) -> ChangeSpan {
        ChangeSpan {
            after: self.after,
            up_to: self.up_to,
            is_complete: self.changes.is_some(),
        }
    }
}

/// A request for a permit to send a request to an upstream with a rate limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerPermitRequest {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The upstream and its limit, which the issuer may not know yet.
    #[serde(rename = "o")]
    pub observation: RateObservation,
    /// How long the instance waits for the permit, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u64,
}

/// Answer to a [`PeerPermitRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerPermit {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "g")]
    pub is_granted: bool,
    /// When the permit may be used, or the next one is free, in milliseconds from now.
    #[serde(rename = "t")]
    pub in_ms: u64,
}

/// Reports what an instance used of a workspace's quota, and requests credit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerQuotaRequest {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// Tells the processes of an instance apart.
    #[serde(rename = "p")]
    pub process: u64,
    #[serde(rename = "s")]
    pub settlement: Settlement,
    /// Units that the instance wants to use; 0 only to settle.
    #[serde(rename = "c")]
    pub cost: f64,
    /// Whether the backup issuer of the availability zone is asked.
    #[serde(rename = "b", default)]
    pub is_backup: bool,
    /// The sender is the backup issuer of its zone and beats; its last answered beat was sent so many
    /// milliseconds ago.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub answered_ms: Option<u64>,
}

impl PeerQuotaRequest {
    /// Makes the request a beat.
    pub fn with_beat(mut self, answered_ms: u64) -> Self {
        self.answered_ms = Some(answered_ms);
        self
    }
}

/// Answer to a [`PeerQuotaRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerQuota {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "a")]
    pub answer: PeerQuotaAnswer,
}

/// What an issuer answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerQuotaAnswer {
    /// The units may be used.
    #[serde(rename = "g")]
    Granted,
    /// There is no credit for so many milliseconds.
    #[serde(rename = "d")]
    Denied(u64),
    /// The instance doesn't issue this workspace's credit now.
    #[serde(rename = "i")]
    NotIssuer,
}

/// A request for a place at a server of a plain service. Times are durations, as the instances' clocks differ.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerPlaceRequest {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Number of the pool of servers.
    #[serde(rename = "p")]
    pub pool: u32,
    #[serde(rename = "m")]
    pub merit: Merit,
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// How long the answer may take to meet the objective, in milliseconds.
    #[serde(rename = "t")]
    pub in_time_ms: u64,
    /// How long the answer is of use, in milliseconds.
    #[serde(rename = "e")]
    pub lasts_ms: u64,
}

/// The end of a call that had a place, or of the wait for one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerPlaceEnd {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Number of the pool of servers.
    #[serde(rename = "p")]
    pub pool: u32,
    #[serde(rename = "e")]
    pub end: PlaceEnd,
    /// The load that the server told.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub load: Option<ReportedLoad>,
}

/// Answer to a [`PeerPlaceRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerPlace {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "a")]
    pub answer: PlaceAnswer,
}

/// What a keeper answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlaceAnswer {
    /// The call may be sent.
    #[serde(rename = "g")]
    Granted {
        #[serde(rename = "u")]
        server: UpstreamName,
        /// Whether nobody need ask.
        #[serde(rename = "c")]
        is_calm: bool,
    },
    /// The request waits; another answer follows.
    #[serde(rename = "q")]
    Queued {
        /// The expected wait, in milliseconds.
        #[serde(rename = "t")]
        wait_ms: u64,
    },
    /// No place is free in time.
    #[serde(rename = "r")]
    Refused {
        /// The expected wait, in milliseconds.
        #[serde(rename = "w")]
        wait_ms: u64,
        /// When the caller may return, in milliseconds from now.
        #[serde(rename = "t")]
        return_ms: u64,
    },
}

/// Messages to a holder or a feed source.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Name of the sender; the first message.
    Hello(InstanceName),
    /// A request for a copy.
    #[serde(rename = "Ask")]
    CopyRequest(PeerCopyRequest),
    /// A query for an engine's load and adapters. Names on the wire are short, as several of these
    /// are sent for each client request.
    #[serde(rename = "Q")]
    Quote {
        /// Number of the query.
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "u")]
        upstream: UpstreamName,
        #[serde(rename = "q")]
        question: QuoteQuestion,
    },
    /// The first event of a request's answer arrived.
    Started {
        /// Number of the copy request.
        number: u64,
        upstream: UpstreamName,
        /// How long work takes there, in percent of the usual time, as the engine announced it.
        slowness_percent: Option<u32>,
    },
    /// A request ended or was never sent.
    Done {
        /// Number of the copy request.
        number: u64,
        upstream: UpstreamName,
        /// Whether the engine lacked the copy.
        absent: bool,
        /// Number of times that bytes of the answer arrived, about one for each event.
        #[serde(default, skip_serializing_if = "is_zero")]
        events: u32,
    },
    /// A request for a permit.
    Permit(PeerPermitRequest),
    /// A request for credit of a workspace's quota.
    #[serde(rename = "U")]
    Quota(PeerQuotaRequest),
    /// A request for a place.
    #[serde(rename = "P")]
    Place(PeerPlaceRequest),
    /// The end of a call that had a place, or of the wait for one.
    #[serde(rename = "E")]
    PlaceEnd(PeerPlaceEnd),
    /// Subscribes to the change feed for a limited time.
    #[serde(rename = "Follow")]
    Subscribe,
    /// Asks a feed source when it last asked the store; the number of the request.
    #[serde(rename = "c")]
    Confirm(u64),
    /// Gossip about upstreams and requests.
    #[serde(rename = "Beliefs")]
    Gossip(PeerGossip),
    /// Keeps the connection alive.
    #[serde(rename = "Alive")]
    Heartbeat,
}

/// Replies of a holder or a feed source.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// Acknowledges a copy request; the answer follows.
    #[serde(rename = "Heard")]
    Received(u64),
    /// The copy is available.
    Granted {
        /// Number of the copy request.
        number: u64,
        /// Requests running on the engine or about to run.
        running: u32,
        /// Version of the copy, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<u64>,
    },
    /// The copy is not available.
    Refused {
        /// Number of the copy request.
        number: u64,
        reason: CopyRefusal,
    },
    /// The engine's load; `None` if the engine isn't held or its state is unknown.
    #[serde(rename = "q")]
    Quoted {
        /// Number of the query.
        #[serde(rename = "n")]
        number: u64,
        #[serde(rename = "q")]
        quote: Option<EngineQuote>,
    },
    /// Answers a request for a permit.
    Permit(PeerPermit),
    /// Answers a request for credit.
    #[serde(rename = "u")]
    Quota(PeerQuota),
    /// Answers a request for a place.
    #[serde(rename = "p")]
    Place(PeerPlace),
    /// Changes in the store.
    #[serde(rename = "News")]
    Changes(PeerChanges),
    /// When a feed source last asked the store, to a subscriber that asked for it.
    #[serde(rename = "c")]
    Confirmed(Confirmation),
    /// Gossip about upstreams and requests, to a subscriber.
    #[serde(rename = "Beliefs")]
    Gossip(PeerGossip),
    /// This instance has no change feed: it does not read the store directly, or the store fails.
    #[serde(rename = "NoNews")]
    Unavailable,
    /// Keeps the connection alive.
    #[serde(rename = "Alive")]
    Heartbeat,
}
