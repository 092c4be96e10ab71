//! What instances tell each other.

use monsoonspread_borders::relay::RevisedChange;
use monsoonspread_decisions::change_feed::ChangeSpan;
use monsoonspread_decisions::copies::{CopyRefusal, EngineQuote, QuoteQuestion};
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{InstanceName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::gossip::PeerGossip;

/// An ask for a copy. Times are spans, as instances' clocks differ.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerCopyRequest {
    /// Number of the ask.
    pub number: u64,
    /// The engine.
    pub upstream: UpstreamName,
    /// What the request runs on.
    pub key: AdapterKey,
    /// Rank of the request, 0 first.
    pub rank: u32,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Leading parts of the prompt that other requests may share, where they are long.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shared_parts: Vec<PromptPart>,
    /// It waits for a copy behind others.
    pub patient: bool,
    /// How long the request may wait and still meet its objective, in milliseconds.
    pub in_time_ms: u64,
    /// How long the instance waits for the copy, in milliseconds.
    pub wait_ms: u64,
    /// How long the request may take at the most, in milliseconds.
    pub lasts_ms: u64,
}

/// What changed in the store, from an instance that follows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerChanges {
    /// Revision after which the changes are.
    pub after: u64,
    /// Revision up to which nothing is missing.
    pub up_to: u64,
    /// The changes that matter; `None` when they have to be read from the store.
    pub changes: Option<Vec<RevisedChange>>,
    /// For how long entries that vanish may come back, in milliseconds.
    pub back_in_ms: u64,
    /// The store answered every call for as long as a lease lasts.
    pub is_steady: bool,
}

impl PeerChanges {
    /// The news without their content.
    pub fn span(&self) -> ChangeSpan {
        ChangeSpan {
            after: self.after,
            up_to: self.up_to,
            is_complete: self.changes.is_some(),
        }
    }
}

/// What an instance tells a holder, or the source of its news.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Who speaks; the first message.
    Hello(InstanceName),
    /// An ask.
    #[serde(rename = "Ask")]
    CopyRequest(PeerCopyRequest),
    /// How busy an engine is, and whether it has an adapter. Names are short, as several are sent
    /// for each request.
    #[serde(rename = "Q")]
    Quote {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// The engine.
        #[serde(rename = "u")]
        upstream: UpstreamName,
        /// What is asked.
        #[serde(rename = "q")]
        question: QuoteQuestion,
    },
    /// The first event of a request came.
    Started {
        /// Number of the ask.
        number: u64,
        /// The engine.
        upstream: UpstreamName,
        /// How long work takes there, in percent of the usual time, as it said.
        slowness_percent: Option<u32>,
    },
    /// A request is over or was never sent.
    Done {
        /// Number of the ask.
        number: u64,
        /// The engine.
        upstream: UpstreamName,
        /// The engine didn't have the copy.
        absent: bool,
    },
    /// It wants the news of the store for a while.
    #[serde(rename = "Follow")]
    Subscribe,
    /// What it believes of upstreams and requests.
    #[serde(rename = "Beliefs")]
    Gossip(PeerGossip),
    /// A sign of life.
    #[serde(rename = "Alive")]
    Heartbeat,
}

/// What a holder, or a source of news, answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// The ask arrived; its answer follows.
    #[serde(rename = "Heard")]
    Received(u64),
    /// The copy is there.
    Granted {
        /// Number of the ask.
        number: u64,
        /// Requests that run on the engine or are about to.
        running: u32,
    },
    /// The copy isn't there.
    Refused {
        /// Number of the ask.
        number: u64,
        /// Why.
        reason: CopyRefusal,
    },
    /// How busy the engine is; `None` where it isn't held or what it holds is not known.
    #[serde(rename = "q")]
    Quoted {
        /// Number of the question.
        #[serde(rename = "n")]
        number: u64,
        /// The answer.
        #[serde(rename = "q")]
        quote: Option<EngineQuote>,
    },
    /// What changed in the store.
    #[serde(rename = "News")]
    Changes(PeerChanges),
    /// What it believes of upstreams and requests, to one that follows.
    #[serde(rename = "Beliefs")]
    Gossip(PeerGossip),
    /// This instance doesn't follow the store, or has trouble with it.
    #[serde(rename = "NoNews")]
    Unavailable,
    /// A sign of life.
    #[serde(rename = "Alive")]
    Heartbeat,
}
