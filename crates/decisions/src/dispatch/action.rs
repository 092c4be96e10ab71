//! Actions and events that the dispatcher returns.

use monsoonspread_model::message::{Announce, CrashNotice, GrantRequest, GrantReturn, RequestId};
use monsoonspread_model::{CopyName, Fingerprint, InstanceName, Refusal, UpstreamName};

use super::AttemptId;

/// An action that the driver of the dispatcher carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send to the current owner of the upstream; call `on_grant_request_failed` if that is
    /// impossible.
    RequestGrant(GrantRequest),
    /// Withdraw the request from the upstream's owner.
    Withdraw {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Number of the request on this instance.
        request: RequestId,
    },
    /// Start a generation.
    Generate {
        /// Number of the request on this instance.
        request: RequestId,
        /// Number of the new generation within the request.
        attempt: AttemptId,
        /// The upstream to generate on.
        upstream: UpstreamName,
        /// The adapter copy to use.
        copy: CopyName,
        /// Whether to continue after the tokens that the caller already has.
        resume: bool,
    },
    /// Stop a generation and discard its output.
    Cancel {
        /// Number of the request on this instance.
        request: RequestId,
        /// Number of the generation within the request.
        attempt: AttemptId,
    },
    /// Forward the output of this generation to the caller.
    Choose {
        /// Number of the request on this instance.
        request: RequestId,
        /// Number of the generation within the request.
        attempt: AttemptId,
    },
    /// Send to the current owner of the grant's upstream.
    ReturnGrant(GrantReturn),
    /// Report the request's only result; `Ok` when the chosen generation's answer is complete.
    Finish {
        /// Number of the request on this instance.
        request: RequestId,
        /// `Ok`, or the refusal to return to the caller.
        result: Result<(), Refusal>,
    },
    /// Send outstanding grants to a new owner.
    Announce {
        /// The instance that became the owner.
        to: InstanceName,
        /// All grants of the upstream that were not returned.
        announce: Announce,
    },
    /// Send to every instance of every zone.
    BroadcastCrash(CrashNotice),
    /// Log the event.
    Event(DispatchEvent),
}

/// A decision of the dispatcher that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// Another upstream is tried after one failed or refused.
    Retried {
        /// Number of the request on this instance.
        request: RequestId,
        /// The upstream that is tried now.
        upstream: UpstreamName,
    },
    /// A second upstream is tried because the first generation is slow.
    Hedged {
        /// Number of the request on this instance.
        request: RequestId,
        /// The upstream that is tried now.
        upstream: UpstreamName,
    },
    /// A broken stream is resumed on another upstream.
    Resumed {
        /// Number of the request on this instance.
        request: RequestId,
        /// Tokens that the caller already has.
        tokens: u32,
    },
    /// An upstream answered for another adapter, version or copy.
    WrongAdapter {
        /// Number of the request on this instance.
        request: RequestId,
        /// Name of the upstream.
        upstream: UpstreamName,
    },
    /// A request crashed its second upstream and is refused from now on.
    Quarantined {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
    },
}
