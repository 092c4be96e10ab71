//! State of one adapter copy on an upstream.

use monsoonspread_model::UnixMs;

/// Time within which an upstream detects a closed connection, in milliseconds.
const DISCONNECT_DETECTION_MS: u64 = 10_000;

/// Load state of a copy.
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
    /// Name of the state in dumps.
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

/// A copy that occupies an adapter slot according to the owner's records.
#[derive(Clone, Debug)]
pub(super) struct TrackedCopy {
    /// Load state.
    pub state: CopyState,
    /// When the state was entered.
    pub since: UnixMs,
    /// When it was last granted.
    pub used_at: UnixMs,
    /// When a report last showed that no request uses it.
    pub unused_at: Option<UnixMs>,
    /// When the connection of a request on it was last closed early; the upstream may detect
    /// that later.
    pub disconnected_at: Option<UnixMs>,
    /// Whether a former owner handed it over.
    pub handed_over: bool,
    /// Until when no unload is tried, after a failed one.
    pub keep_until: UnixMs,
}

impl TrackedCopy {
    /// Creates a copy that enters `state` at `now`.
    pub fn new(state: CopyState, now: UnixMs) -> Self {
        Self {
            state,
            since: now,
            used_at: now,
            unused_at: None,
            disconnected_at: None,
            handed_over: false,
            keep_until: now,
        }
    }

    pub fn enter(&mut self, state: CopyState, now: UnixMs) {
        self.state = state;
        self.since = now;
    }

    /// Whether a request whose connection was closed may still run on it.
    pub fn may_run_disconnected(&self, now: UnixMs, margin_ms: u64) -> bool {
        let Some(disconnected_at) = self.disconnected_at else {
            return false;
        };
        let seen_unused = self
            .unused_at
            .is_some_and(|at| at > disconnected_at + margin_ms);
        !seen_unused && now.ms_since(disconnected_at) < DISCONNECT_DETECTION_MS
    }

    /// Whether the upstream is known to hold it.
    pub fn is_loaded(&self) -> bool {
        self.state == CopyState::Loaded
    }
}
