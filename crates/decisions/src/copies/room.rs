//! Counts the memory and the batch places that running requests take on an engine.
//!
//! An engine whose memory runs out puts a running request back, the newest of the least urgent. Its
//! holder therefore grants no more than fits, and less urgent requests fill only a share while more
//! urgent ones arrive.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::EngineShape;

use super::{CopyRequest, CopyRequestId};

/// Share of an engine that less urgent requests may fill while more urgent ones arrive, in percent.
const LESS_URGENT_PERCENT: u32 = 75;
/// How long after its request a rank counts as arriving, in milliseconds: a few times the gap
/// between requests of a rank that takes an engine's places.
const ARRIVING_MS: u64 = 1_000;
/// Share of the batch places up to which a nearly late request comes before more urgent ones, in
/// percent, so that less urgent work isn't starved.
const KEPT_PERCENT: u64 = 12;
/// Time before a request is late in which it isn't overtaken, in milliseconds: an engine reads the
/// longest prompts in about as much.
const NEARLY_LATE_MS: u64 = 250;
/// Lowest rank that is told apart; lower ones count alike.
const LOWEST_RANK: u32 = 9;

#[derive(Clone, Copy, Debug)]
struct Run {
    tokens: u64,
    rank: u32,
    ends_by: UnixMs,
}

/// Tracks what the granted requests take on one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineRoom {
    runs: BTreeMap<CopyRequestId, Run>,
    arrived_at: [UnixMs; LOWEST_RANK as usize + 1],
}

impl EngineRoom {
    /// A request arrived at the holder.
    pub(super) fn on_arrival(&mut self, now: UnixMs, rank: u32) {
        self.arrived_at[rank.min(LOWEST_RANK) as usize] = now;
    }

    /// A request was granted.
    pub(super) fn on_granted(&mut self, request: &CopyRequest) {
        let run = Run {
            tokens: tokens(request),
            rank: request.rank.min(LOWEST_RANK),
            ends_by: request.ends_by,
        };
        self.runs.insert(request.id.clone(), run);
    }

    /// A request ended.
    pub(super) fn on_done(&mut self, request: &CopyRequestId) {
        self.runs.remove(request);
    }

    /// Removes requests whose end was never reported.
    pub(super) fn expire(&mut self, now: UnixMs) {
        self.runs.retain(|_, run| run.ends_by > now);
    }

    /// The engine restarted.
    pub(super) fn clear(&mut self) {
        self.runs.clear();
    }

    /// Tokens that the running requests may take together.
    pub(super) fn tokens(&self) -> u64 {
        self.runs.values().map(|run| run.tokens).sum()
    }

    /// Whether the engine has memory for one more request, and places for one of its rank.
    ///
    /// A request on an idle engine always fits: the engine itself rejects what is too large.
    pub(super) fn fits(&self, now: UnixMs, request: &CopyRequest, shape: &EngineShape) -> bool {
        if shape.kv_tokens == 0 || self.runs.is_empty() {
            return true;
        }
        let wanted = tokens(request);
        if self.tokens() + wanted > shape.kv_tokens {
            return false;
        }
        let share = u64::from(self.share_percent(now, request.rank));
        if share == 100 {
            return true;
        }
        let rank = request.rank.min(LOWEST_RANK);
        let alike = || self.runs.values().filter(|run| run.rank >= rank);
        let (count, held) = (
            alike().count() as u64,
            alike().map(|run| run.tokens).sum::<u64>(),
        );
        let has_place = (count + 1) * 100 <= u64::from(shape.batch_places) * share;
        let has_memory =
            (held + wanted).saturating_mul(100) <= shape.kv_tokens.saturating_mul(share);
        count == 0 || (has_place && has_memory)
    }

    /// Share of the engine that requests of a rank may take now, in percent.
    pub(super) fn share_percent(&self, now: UnixMs, rank: u32) -> u32 {
        let more_urgent = &self.arrived_at[..rank.min(LOWEST_RANK) as usize];
        let is_arriving = |at: &UnixMs| at.0 > 0 && now.ms_since(*at) < ARRIVING_MS;
        if more_urgent.iter().any(is_arriving) {
            return LESS_URGENT_PERCENT;
        }
        100
    }

    /// Sorts waiting requests: those still in time first, then by rank. A few of the less urgent
    /// that are nearly late come before more urgent ones.
    pub(super) fn sort(&self, now: UnixMs, waiting: &mut [CopyRequest], batch_places: u32) {
        waiting.sort_by_key(|request| (is_late(now, request), request.rank));
        let Some(first_rank) = waiting.first().map(|request| request.rank) else {
            return;
        };
        let kept = (u64::from(batch_places) * KEPT_PERCENT / 100).max(1) as usize;
        let running = self.runs.values().filter(|run| run.rank > first_rank);
        let mut spare = kept.saturating_sub(running.count());
        waiting.sort_by_cached_key(|request| {
            let comes_first =
                request.rank > first_rank && is_nearly_late(now, request) && spare > 0;
            spare -= usize::from(comes_first);
            let rank = if comes_first {
                first_rank
            } else {
                request.rank
            };
            (is_late(now, request), rank, !comes_first)
        });
    }
}

/// What a request that must wait for room stops from being granted after it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeldBack {
    /// Lowest rank number that waits for room and is in time.
    rank: Option<u32>,
    /// Whether a nearly late request waits for room.
    nearly_late: bool,
}

impl HeldBack {
    /// A request in time has to wait for room.
    pub(super) fn on_waits(&mut self, now: UnixMs, request: &CopyRequest) {
        if is_late(now, request) {
            return;
        }
        let rank = self.rank.get_or_insert(request.rank);
        *rank = request.rank.min(*rank);
        self.nearly_late |= is_nearly_late(now, request);
    }

    /// Whether a request has to wait, since one that comes before it waits for room.
    pub(super) fn holds(&self, request: &CopyRequest) -> bool {
        self.nearly_late || self.rank.is_some_and(|rank| request.rank > rank)
    }
}

fn is_late(now: UnixMs, request: &CopyRequest) -> bool {
    request.in_time_until < now
}

fn is_nearly_late(now: UnixMs, request: &CopyRequest) -> bool {
    !is_late(now, request) && request.in_time_until.ms_since(now) < NEARLY_LATE_MS
}

fn tokens(request: &CopyRequest) -> u64 {
    u64::from(request.prompt_tokens) + u64::from(request.answer_tokens)
}
