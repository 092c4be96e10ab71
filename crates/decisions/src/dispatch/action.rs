//! What the dispatcher wants done.

use monsoonspread_model::message::{Announce, CrashNotice, GrantRequest, GrantReturn, RequestId};
use monsoonspread_model::{CopyName, Fingerprint, InstanceName, Refusal, UpstreamName};

use super::AttemptId;

/// An action of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send to the present owner of the upstream; report `on_grant_request_failed` when that is impossible.
    RequestGrant(GrantRequest),
    /// Take the request back from the upstream's owner.
    Withdraw {
        /// The upstream.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
    },
    /// Start a generation.
    Generate {
        /// The request.
        request: RequestId,
        /// The generation's number.
        attempt: AttemptId,
        /// Where.
        upstream: UpstreamName,
        /// On which copy.
        copy: CopyName,
        /// Whether to go on after the tokens that the caller already has.
        resume: bool,
    },
    /// Stop a generation; nothing of it is wanted any more.
    Cancel {
        /// The request.
        request: RequestId,
        /// The generation.
        attempt: AttemptId,
    },
    /// The caller's answer comes from this generation.
    Choose {
        /// The request.
        request: RequestId,
        /// The generation.
        attempt: AttemptId,
    },
    /// Send to the present owner of the grant's upstream.
    ReturnGrant(GrantReturn),
    /// The request's one result; `Ok` when the chosen generation's answer is whole.
    Finish {
        /// The request.
        request: RequestId,
        /// The result.
        result: Result<(), Refusal>,
    },
    /// Send outstanding grants to a new owner.
    Announce {
        /// The new owner.
        to: InstanceName,
        /// The grants.
        announce: Announce,
    },
    /// Tell every instance of every zone.
    BroadcastCrash(CrashNotice),
    /// Log.
    Event(DispatchEvent),
}

/// Noteworthy decisions of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// A second upstream was asked after the first one failed or refused.
    Retried {
        /// The request.
        request: RequestId,
        /// The upstream that is asked now.
        upstream: UpstreamName,
    },
    /// A second generation was started for a slow first one.
    Hedged {
        /// The request.
        request: RequestId,
        /// The upstream that is asked now.
        upstream: UpstreamName,
    },
    /// A broken stream goes on elsewhere.
    Resumed {
        /// The request.
        request: RequestId,
        /// Tokens that the caller already has.
        tokens: u32,
    },
    /// An upstream answered for another adapter, version or copy.
    WrongAdapter {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A request crashed its second upstream and is refused from now on.
    Quarantined {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
    },
}
