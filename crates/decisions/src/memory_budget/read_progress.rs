//! Progress of a body that is being read.

use monsoonspread_model::UnixMs;

/// Whether a body arrives fast enough, in windows of equal length.
///
/// ```
/// # use monsoonspread_decisions::memory_budget::ReadProgress;
/// # use monsoonspread_model::UnixMs;
/// let mut progress = ReadProgress::new(UnixMs(0), 1_000, 500);
/// progress.on_bytes(600);
/// assert!(!progress.is_stalled(UnixMs(1_000)));
/// assert!(progress.is_stalled(UnixMs(2_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReadProgress {
    window_ms: u64,
    min_bytes: u64,
    window_ends_at: UnixMs,
    read_bytes: u64,
}

impl ReadProgress {
    /// Starts the first window, in which `min_bytes_per_s` are expected on average.
    pub fn new(now: UnixMs, window_ms: u64, min_bytes_per_s: u64) -> Self {
        Self {
            window_ms,
            min_bytes: min_bytes_per_s * window_ms / 1_000,
            window_ends_at: now + window_ms,
            read_bytes: 0,
        }
    }

    /// When to ask [`Self::is_stalled`] next.
    pub fn window_ends_at(&self) -> UnixMs {
        self.window_ends_at
    }

    /// Records bytes that arrived.
    pub fn on_bytes(&mut self, bytes: u64) {
        self.read_bytes += bytes;
    }

    /// Whether too little arrived in a window that has ended; otherwise begins the next one.
    pub fn is_stalled(&mut self, now: UnixMs) -> bool {
        if now < self.window_ends_at {
            return false;
        }
        if self.read_bytes < self.min_bytes {
            return true;
        }
        self.read_bytes = 0;
        self.window_ends_at = now + self.window_ms;
        false
    }
}
