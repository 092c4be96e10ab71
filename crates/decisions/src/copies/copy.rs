//! State of one adapter copy on an engine.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::CopyRequestId;

/// Half-life of a copy's usage count, in milliseconds.
///
/// Much longer than the interval between requests for a busy adapter, and much shorter than the
/// minutes over which demand shifts.
const USE_HALF_LIFE_MS: f64 = 4_000.0;

/// Version of an adapter that was never announced.
const FIRST_VERSION: u64 = 1;

/// Life cycle stage of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CopyStage {
    /// The load order is not answered yet; `replaces` if the engine holds an older version.
    Ordered { replaces: bool },
    /// The engine accepted the load; the order is repeated at `check_at` to check for completion.
    Coming { check_at: UnixMs },
    /// Requests may be sent.
    Present,
    /// The engine rejected a request for the copy, which still takes a place until a report shows
    /// what the engine holds.
    Unconfirmed,
    /// Being removed; its place is free only once the engine confirms the removal.
    Going { accepted: bool, check_at: UnixMs },
}

/// A copy that is present, loading or being removed.
#[derive(Clone, Debug)]
pub(super) struct Copy {
    pub(super) stage: CopyStage,
    pub(super) version: Option<u64>,
    /// Version in the latest load order, if any; repeated orders have to name the same one.
    pub(super) ordered: Option<u64>,
    pub(super) used_at: UnixMs,
    users: BTreeMap<CopyRequestId, UnixMs>,
    uses: f64,
}

impl Copy {
    pub(super) fn new(stage: CopyStage, version: Option<u64>, now: UnixMs) -> Self {
        Self {
            stage,
            version,
            ordered: None,
            used_at: now,
            users: BTreeMap::new(),
            uses: 0.0,
        }
    }

    /// Whether requests that need `min_version` may begin on this version.
    pub(super) fn has_version(&self, min_version: Option<u64>) -> bool {
        min_version.is_none_or(|min| self.version.unwrap_or(FIRST_VERSION) >= min)
    }

    pub(super) fn is_present(&self) -> bool {
        self.stage == CopyStage::Present
    }

    pub(super) fn is_coming(&self) -> bool {
        matches!(
            self.stage,
            CopyStage::Ordered { .. } | CopyStage::Coming { .. }
        )
    }

    /// Whether the engine accepted the load of a newer version than the one it holds.
    pub(super) fn is_being_replaced(&self) -> bool {
        matches!(self.stage, CopyStage::Coming { .. }) && self.ordered > self.version
    }

    pub(super) fn is_unconfirmed(&self) -> bool {
        self.stage == CopyStage::Unconfirmed
    }

    pub(super) fn is_idle(&self) -> bool {
        self.users.is_empty()
    }

    pub(super) fn users(&self) -> usize {
        self.users.len()
    }

    pub(super) fn add_user(&mut self, now: UnixMs, request: CopyRequestId, ends_by: UnixMs) {
        self.uses = self.uses(now) + 1.0;
        self.used_at = now;
        self.users.insert(request, ends_by);
    }

    pub(super) fn remove_user(&mut self, request: &CopyRequestId) -> bool {
        self.users.remove(request).is_some()
    }

    /// Removes users whose end was never reported and whose latest end time has passed.
    pub(super) fn expire_users(&mut self, now: UnixMs) {
        self.users.retain(|_, ends_by| *ends_by > now);
    }

    /// Exponentially decayed number of uses.
    pub(super) fn uses(&self, now: UnixMs) -> f64 {
        let age_ms = now.ms_since(self.used_at) as f64;
        self.uses * 0.5_f64.powf(age_ms / USE_HALF_LIFE_MS)
    }
}
