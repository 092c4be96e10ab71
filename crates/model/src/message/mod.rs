//! Messages between entry instances. Each is one CBOR value in one WebSocket message.
//!
//! Grant messages are sent for every request, so their types are encoded by hand as arrays, which
//! take fewer bytes. All other types use the derived encoding.

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

/// A message between entry instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MeshMessage {
    /// Identifies the sender; the first message on a connection, in both directions.
    #[serde(rename = "h")]
    Hello(Hello),
    /// Asks the owner of an upstream for a grant.
    #[serde(rename = "g")]
    GrantRequest(GrantRequest),
    /// The owner's answer to a grant request.
    #[serde(rename = "a")]
    GrantReply(GrantReply),
    /// Returns a grant with the outcome of its request.
    #[serde(rename = "r")]
    GrantReturn(GrantReturn),
    /// Withdraws a grant request, or returns the grant unused if there is one already.
    #[serde(rename = "w")]
    GrantWithdraw {
        /// The upstream of the grant request.
        upstream: UpstreamName,
        /// The request to withdraw.
        request: RequestId,
    },
    /// A new owner requests the outstanding grants of an instance.
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
    /// Requests the ownership table of `zone` if it is newer than `known_revision`.
    TableRequest {
        /// The zone.
        zone: ZoneName,
        /// The sender's revision of the table.
        known_revision: u64,
    },
    /// The bundle that is active on the sender.
    BundleNotice(BundleNotice),
    /// Requests a newer bundle.
    BundleRequest(BundleRequest),
    /// A bundle, complete or as a delta.
    BundleContent(BundleContent),
    /// Requests unused load budget.
    BudgetAsk(BudgetAsk),
    /// Lends load budget.
    BudgetLend(BudgetLend),
    /// Reports that a request crashed an upstream.
    CrashNotice(CrashNotice),
    /// Requests the instance list, which the sender can't read itself.
    ListRequest,
    /// The instance list as the sender last read it.
    List(Vec<ListedInstance>),
}
