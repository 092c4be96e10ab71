//! Lifecycle state of the process.

/// Lifecycle state, which determines how new requests are treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// No bundle is in force yet; requests are refused.
    Starting,
    /// Requests are accepted.
    Ready,
    /// A planned stop is in progress: requests in flight complete, new ones are refused.
    Draining,
}

impl RunState {
    /// Returns the name used in responses and dumps.
    ///
    /// ```
    /// # use monsoonspread_entry::run_state::RunState;
    /// assert_eq!(RunState::Draining.as_str(), "draining");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}
