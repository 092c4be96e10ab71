//! Requests that wait for a place.

use std::collections::HashMap;

use monsoonspread_model::fleet::Merit;
use monsoonspread_model::{UnixMs, WorkspaceName};

use super::{PlaceId, PlaceRequest};

/// Half-life of what a workspace asked for and got, in milliseconds: a few objectives.
const USE_HALF_LIFE_MS: f64 = 1_000.0;
/// Every so many grants one goes to the least urgent that wait, so that they aren't starved.
const LEAST_URGENT_EVERY: u32 = 16;
/// Steps in which what workspaces got is compared, for each unit.
const USE_STEPS: f64 = 4.0;
/// Maximum number of workspaces whose use is kept.
const MAX_WORKSPACES: usize = 1_024;

/// Order of merit: whether the objective is missed, ranks, places that the workspace got, end of the objective.
type Key = (bool, Merit, u64, UnixMs);

/// What a workspace asked for and got, decayed.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    asked: f64,
    got: f64,
    at: UnixMs,
}

impl Use {
    fn decay(&mut self, now: UnixMs) {
        let factor = self.factor(now);
        self.asked *= factor;
        self.got *= factor;
        self.at = now;
    }

    /// What it got for the root of what it asked for.
    fn share(&self, now: UnixMs) -> f64 {
        let factor = self.factor(now);
        let asked = (self.asked * factor).max(1.0);
        self.got * factor / asked.sqrt()
    }

    fn factor(&self, now: UnixMs) -> f64 {
        0.5_f64.powf(now.ms_since(self.at) as f64 / USE_HALF_LIFE_MS)
    }
}

/// Requests that wait for a place, in order of merit.
///
/// Those that still meet their objective go before the others; among them the more urgent, then those of the
/// workspace that got the fewest places lately for the root of what it asked for, then those whose objective ends
/// first. With the root, a workspace that sends several times its usual gets little more than usual, and a large
/// one isn't held to the share of a small one.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    waiting: Vec<PlaceRequest>,
    used: HashMap<WorkspaceName, Use>,
    grants: u32,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, request: PlaceRequest) {
        self.waiting.push(request);
    }

    /// Removes a request; returns whether it waited.
    pub(super) fn remove(&mut self, id: &PlaceId) -> bool {
        let index = self.waiting.iter().position(|request| request.id == *id);
        if let Some(index) = index {
            self.waiting.swap_remove(index);
        }
        index.is_some()
    }

    pub(super) fn retain(&mut self, mut is_live: impl FnMut(&PlaceId) -> bool) {
        self.waiting.retain(|request| is_live(&request.id));
    }

    /// Takes the request that is next, if a call takes `call_ms`.
    pub(super) fn take_next(&mut self, now: UnixMs, call_ms: u64) -> Option<PlaceRequest> {
        let mut next = self.first(now, call_ms)?;
        if self.grants + 1 >= LEAST_URGENT_EVERY {
            self.grants = 0;
            next = self.least_urgent(now, call_ms).unwrap_or(next);
        } else {
            self.grants += 1;
        }
        let request = self.waiting.swap_remove(next);
        self.on_used(now, request.workspace.as_ref());
        Some(request)
    }

    /// A workspace asks for a place, whether or not the request will wait.
    pub(super) fn on_asked(&mut self, now: UnixMs, workspace: Option<&WorkspaceName>) {
        let Some(workspace) = workspace else {
            return;
        };
        if self.used.len() >= MAX_WORKSPACES {
            let lasts_ms = 2 * USE_HALF_LIFE_MS as u64;
            self.used.retain(|_, used| now.ms_since(used.at) < lasts_ms);
        }
        let used = self.used.entry(workspace.clone()).or_default();
        used.decay(now);
        used.asked += 1.0;
    }

    fn on_used(&mut self, now: UnixMs, workspace: Option<&WorkspaceName>) {
        let used = workspace.and_then(|workspace| self.used.get_mut(workspace));
        if let Some(used) = used {
            used.decay(now);
            used.got += 1.0;
        }
    }

    /// Number of waiting requests that go before `request`: those that meet their objective, and the others.
    pub(super) fn ahead_of(
        &self,
        now: UnixMs,
        call_ms: u64,
        request: &PlaceRequest,
    ) -> (usize, usize) {
        let own = self.key(now, call_ms, request);
        let keys = self.waiting.iter();
        let keys = keys.map(|other| self.key(now, call_ms, other));
        let (mut in_time, mut late) = (0, 0);
        for key in keys.filter(|key| *key < own) {
            in_time += usize::from(!key.0);
            late += usize::from(key.0);
        }
        (in_time, late)
    }

    /// Takes the last request in the order of merit if it goes after `request`.
    pub(super) fn take_last_after(
        &mut self,
        now: UnixMs,
        call_ms: u64,
        request: &PlaceRequest,
    ) -> Option<PlaceRequest> {
        let keys = self.waiting.iter().enumerate();
        let keys = keys.map(|(index, other)| (self.key(now, call_ms, other), index));
        let (last, index) = keys.max()?;
        (last > self.key(now, call_ms, request)).then(|| self.waiting.swap_remove(index))
    }

    pub(super) fn contains(&self, id: &PlaceId) -> bool {
        self.waiting.iter().any(|request| request.id == *id)
    }

    /// Waiting requests in the order of merit.
    pub(super) fn in_order(&self, now: UnixMs, call_ms: u64) -> Vec<PlaceRequest> {
        let mut waiting = self.waiting.clone();
        waiting.sort_by_cached_key(|request| self.key(now, call_ms, request));
        waiting
    }

    fn key(&self, now: UnixMs, call_ms: u64, request: &PlaceRequest) -> Key {
        let used = request.workspace.as_ref();
        let used = used.and_then(|workspace| self.used.get(workspace));
        let used = used.map_or(0.0, |used| used.share(now));
        let late = is_late(now, call_ms, request);
        // In steps, so that small differences don't go before the objective.
        (
            late,
            request.merit,
            (used * USE_STEPS) as u64,
            request.in_time_until,
        )
    }

    fn first(&self, now: UnixMs, call_ms: u64) -> Option<usize> {
        let requests = self.waiting.iter().enumerate();
        let keys = requests.map(|(index, request)| (self.key(now, call_ms, request), index));
        keys.min().map(|(_, index)| index)
    }

    /// The first of the least urgent rank, if there is more than one rank.
    fn least_urgent(&self, now: UnixMs, call_ms: u64) -> Option<usize> {
        let merits = self.waiting.iter().map(|request| request.merit);
        let (most, least) = (merits.clone().min()?, merits.max()?);
        if most == least {
            return None;
        }
        let requests = self.waiting.iter().enumerate();
        requests
            .filter(|(_, request)| request.merit == least)
            .min_by_key(|(_, request)| (is_late(now, call_ms, request), request.in_time_until))
            .map(|(index, _)| index)
    }
}

/// Whether a request misses its objective if it is sent now.
pub(super) fn is_late(now: UnixMs, call_ms: u64, request: &PlaceRequest) -> bool {
    now + call_ms > request.in_time_until
}
