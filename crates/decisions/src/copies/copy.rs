//! One copy on an engine.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::AskId;

/// Memory of how often a copy is asked for: its half-life in milliseconds.
///
/// Long against the pauses between requests of a busy adapter, short against the minutes in
/// which demand moves on.
const USE_HALF_LIFE_MS: f64 = 4_000.0;

/// How far a copy is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CopyStage {
    /// The order is not answered yet; it replaces an older version that the engine holds.
    Ordered { replaces: bool },
    /// The engine accepted the order; ask it again at this time.
    Coming { check_at: UnixMs },
    /// Requests may be sent.
    Present,
    /// The engine rejected a request for it; it counts until a report shows what is there.
    Doubtful,
    /// To be removed; it makes room only once the engine says so.
    Going { accepted: bool, check_at: UnixMs },
}

/// One copy, or one on its way.
#[derive(Clone, Debug)]
pub(super) struct Copy {
    pub(super) stage: CopyStage,
    pub(super) version: Option<u64>,
    /// Version that the latest load named, if any; questions after it have to name the same.
    pub(super) ordered: Option<u64>,
    pub(super) used_at: UnixMs,
    users: BTreeMap<AskId, UnixMs>,
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

    pub(super) fn is_present(&self) -> bool {
        self.stage == CopyStage::Present
    }

    pub(super) fn is_coming(&self) -> bool {
        matches!(
            self.stage,
            CopyStage::Ordered { .. } | CopyStage::Coming { .. }
        )
    }

    /// Whether the engine accepted a load of a newer version than it holds.
    pub(super) fn is_being_replaced(&self) -> bool {
        matches!(self.stage, CopyStage::Coming { .. }) && self.ordered > self.version
    }

    pub(super) fn is_doubtful(&self) -> bool {
        self.stage == CopyStage::Doubtful
    }

    pub(super) fn is_idle(&self) -> bool {
        self.users.is_empty()
    }

    pub(super) fn users(&self) -> usize {
        self.users.len()
    }

    pub(super) fn add_user(&mut self, now: UnixMs, ask: AskId, ends_by: UnixMs) {
        self.uses = self.uses(now) + 1.0;
        self.used_at = now;
        self.users.insert(ask, ends_by);
    }

    pub(super) fn remove_user(&mut self, ask: &AskId) -> bool {
        self.users.remove(ask).is_some()
    }

    /// Ends the uses whose instance never told of their end.
    pub(super) fn expire_users(&mut self, now: UnixMs) {
        self.users.retain(|_, ends_by| *ends_by > now);
    }

    /// Recent uses, the older the less.
    pub(super) fn uses(&self, now: UnixMs) -> f64 {
        let age_ms = now.ms_since(self.used_at) as f64;
        self.uses * 0.5_f64.powf(age_ms / USE_HALF_LIFE_MS)
    }
}
