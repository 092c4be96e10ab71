//! One request of a plan.

use monsoonspread_model::RequestClass;
use serde::Serialize;

use super::Phase;

/// One request, the same for every policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlannedRequest {
    /// Its number, unique in the plan.
    pub id: u64,
    /// The phase it belongs to.
    pub phase: Phase,
    /// When it is sent, from the phase's start.
    pub at_us: u64,
    /// The adapter's number.
    pub adapter: u32,
    /// Its class.
    pub class: RequestClass,
    /// Tokens it generates.
    pub tokens: u32,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// From its arrival to its first token at the latest.
    pub deadline_ms: u64,
    /// Number of its caller.
    pub caller: u32,
    /// Number of the zone whose balancer it reaches.
    pub zone: u32,
    /// Whether it arrives at a crest.
    pub at_crest: bool,
}
