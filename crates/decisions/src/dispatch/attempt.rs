//! Generations of a request, called attempts.

use monsoonspread_model::message::GrantOutcome;
use monsoonspread_model::message::HeldGrant;
use monsoonspread_model::{UnixMs, UpstreamName};

/// Number of a generation, unique within its request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub u32);

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// The answer is complete.
    Done,
    /// No connection was made.
    Unreachable,
    /// The upstream refused before running.
    Refused,
    /// The upstream does not hold the requested copy.
    CopyMissing,
    /// The stream broke, or the upstream failed after the request was sent.
    Broken,
    /// The upstream answered for another adapter, version or copy.
    WrongAdapter,
}

impl EndKind {
    /// Whether the work certainly did not run.
    ///
    /// ```
    /// # use monsoonspread_decisions::dispatch::EndKind;
    /// assert!(EndKind::Unreachable.is_not_run() && !EndKind::Broken.is_not_run());
    /// ```
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused | Self::CopyMissing)
    }

    pub(super) fn outcome(self) -> GrantOutcome {
        match self {
            Self::Done => GrantOutcome::Done,
            Self::Unreachable => GrantOutcome::Unreachable,
            Self::Refused => GrantOutcome::Refused,
            Self::CopyMissing => GrantOutcome::CopyMissing,
            Self::Broken | Self::WrongAdapter => GrantOutcome::Broken,
        }
    }
}

/// The end of a generation and its measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptEnd {
    /// How it ended.
    pub kind: EndKind,
    /// Tokens that arrived.
    pub tokens: u32,
    /// Mean gap between tokens in microseconds; `None` with fewer than two tokens.
    pub token_gap_us: Option<u32>,
}

/// A generation running under a grant.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) upstream: UpstreamName,
    pub(super) held: HeldGrant,
    pub(super) started_at: UnixMs,
    pub(super) first_token_at: Option<UnixMs>,
}
