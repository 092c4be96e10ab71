//! One copy of an adapter on an upstream.

use monsoonspread_model::UnixMs;

/// An upstream notices within this time that a connection was closed, in milliseconds.
const CUT_OFF_DETECTION_MS: u64 = 10_000;

/// How far a copy's loading or unloading is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CopyState {
    /// The load was ordered and not answered.
    Loading,
    /// The upstream holds it.
    Loaded,
    /// The unload was ordered and not answered.
    Unloading,
    /// The load's answer was lost; the upstream may or may not hold it.
    LoadLost,
    /// The unload's answer was lost; the upstream may or may not hold it.
    UnloadLost,
}

impl CopyState {
    /// The state's name in dumps.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Loaded => "loaded",
            Self::Unloading => "unloading",
            Self::LoadLost => "load_lost",
            Self::UnloadLost => "unload_lost",
        }
    }
}

/// A copy that takes an adapter slot, as far as the owner knows.
#[derive(Clone, Debug)]
pub(super) struct TrackedCopy {
    /// How far it is.
    pub state: CopyState,
    /// When the state began.
    pub since: UnixMs,
    /// When it was last granted.
    pub used_at: UnixMs,
    /// When a report last showed that no request uses it.
    pub unused_at: Option<UnixMs>,
    /// When a request was last cut off from it, which the upstream may notice later.
    pub cut_off_at: Option<UnixMs>,
    /// Whether a former owner handed it over.
    pub handed_over: bool,
    /// Until when no unload is tried, after one failed.
    pub keep_until: UnixMs,
}

impl TrackedCopy {
    /// A copy that enters `state` now.
    pub fn new(state: CopyState, now: UnixMs) -> Self {
        Self {
            state,
            since: now,
            used_at: now,
            unused_at: None,
            cut_off_at: None,
            handed_over: false,
            keep_until: now,
        }
    }

    /// Enters `state`.
    pub fn enter(&mut self, state: CopyState, now: UnixMs) {
        self.state = state;
        self.since = now;
    }

    /// Whether a request that was cut off may still run on it.
    pub fn may_run_cut_off(&self, now: UnixMs, margin_ms: u64) -> bool {
        let Some(cut_off_at) = self.cut_off_at else {
            return false;
        };
        let seen_unused = self.unused_at.is_some_and(|at| at > cut_off_at + margin_ms);
        !seen_unused && now.ms_since(cut_off_at) < CUT_OFF_DETECTION_MS
    }

    /// Whether the upstream holds it for sure.
    pub fn is_loaded(&self) -> bool {
        self.state == CopyState::Loaded
    }
}
