//! The life of the process.

/// What the process does with new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// No bundle is in force yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Finishes what is in flight and takes nothing new.
    Draining,
}

impl RunState {
    /// The state's name in answers and dumps.
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
