//! Messages between entry instances, sent as one CBOR value in one WebSocket message each.
//!
//! Grant traffic is sent for every request, so its types are encoded as arrays by hand;
//! everything else is derived.

mod announce;
mod budget;
mod bundle_spread;
mod codec;
mod grant_reply;
mod grant_request;
mod grant_return;
mod handover;
mod hello;
mod quarantine;
mod swim;

use serde::{Deserialize, Serialize};

pub use announce::{Announce, AnnounceRequest, HeldGrant};
pub use budget::{BudgetAsk, BudgetLend};
pub use bundle_spread::{BundleContent, BundleNotice, BundleRequest};
pub use codec::{CodecError, decode, encode};
pub use grant_reply::{GrantAnswer, GrantId, GrantReply};
pub use grant_request::{GrantRequest, RequestId};
pub use grant_return::{GrantOutcome, GrantReturn};
pub use handover::Handover;
pub use hello::{Hello, PROTOCOL_VERSION};
pub use quarantine::CrashNotice;
pub use swim::{Health, MemberUpdate, Swim, SwimBody};

use crate::{ListedInstance, OwnershipTable, UpstreamName, ZoneName};

/// Everything that entry instances say to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MeshMessage {
    /// Who is speaking; the first message on a connection, in both directions.
    #[serde(rename = "h")]
    Hello(Hello),
    /// Asks the owner of an upstream for a place.
    #[serde(rename = "g")]
    GrantRequest(GrantRequest),
    /// The owner's answer.
    #[serde(rename = "a")]
    GrantReply(GrantReply),
    /// Gives a grant back with what it saw.
    #[serde(rename = "r")]
    GrantReturn(GrantReturn),
    /// Takes back a request that has not been granted, or gives the grant back unused.
    #[serde(rename = "w")]
    GrantWithdraw {
        /// The upstream that was asked for.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
    },
    /// A new owner asks for outstanding grants.
    AnnounceRequest(AnnounceRequest),
    /// An instance reports its outstanding grants.
    Announce(Announce),
    /// Planned transfer of an upstream with its grants.
    Handover(Handover),
    /// Failure detection and membership changes.
    #[serde(rename = "s")]
    Swim(Swim),
    /// The ownership table of the sender's zone.
    Table(OwnershipTable),
    /// Asks for the ownership table of `zone` when it is newer than `known_revision`.
    TableRequest {
        /// The zone.
        zone: ZoneName,
        /// The revision that the sender has.
        known_revision: u64,
    },
    /// A bundle version the sender has in force.
    BundleNotice(BundleNotice),
    /// Asks for what the sender lacks.
    BundleRequest(BundleRequest),
    /// A bundle, whole or as a delta.
    BundleContent(BundleContent),
    /// Asks for unused load budget.
    BudgetAsk(BudgetAsk),
    /// Lends load budget.
    BudgetLend(BudgetLend),
    /// A request crashed an upstream.
    CrashNotice(CrashNotice),
    /// Asks for the instance list, which the sender can't read.
    ListRequest,
    /// The instance list as the sender last read it.
    List(Vec<ListedInstance>),
}
