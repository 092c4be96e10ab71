//! SWIM failure detection and membership between the instances of a zone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceName;

/// State of a member as the zone sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Health {
    /// Answers probes.
    #[serde(rename = "a")]
    Alive,
    /// Did not answer a probe; the member may refute this with a higher incarnation.
    #[serde(rename = "s")]
    Suspect,
    /// Stopping as planned; has handed over its work or is about to.
    #[serde(rename = "l")]
    Leaving,
    /// Considered failed.
    #[serde(rename = "d")]
    Dead,
}

impl Health {
    /// Returns the name used in dumps.
    ///
    /// ```
    /// # use monsoonspread_model::message::Health;
    /// assert_eq!(Health::Suspect.as_str(), "suspect");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }
}

/// A membership change, piggybacked on probes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The member.
    #[serde(rename = "m")]
    pub member: InstanceName,
    /// Mesh listener of the member.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Orders the updates about a member; only the member itself increments it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The reported state.
    #[serde(rename = "h")]
    pub health: Health,
}

/// A probe, an answer or an indirect probe, with piggybacked membership changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Swim {
    /// The probe, answer or indirect probe.
    #[serde(rename = "b")]
    pub body: SwimBody,
    /// Membership changes; the sender bounds their number.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
    /// The bundle version that is active on the sender, so that peers notice when theirs is
    /// outdated.
    #[serde(rename = "v")]
    pub bundle_version: crate::BundleVersion,
    /// The sender's revision of the ownership table.
    #[serde(rename = "t")]
    pub table_revision: u64,
}

/// Kinds of probe messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SwimBody {
    /// Probes the receiver.
    #[serde(rename = "p")]
    Ping {
        /// Matches the answer.
        #[serde(rename = "n")]
        sequence: u64,
    },
    /// Answers a ping.
    #[serde(rename = "k")]
    Ack {
        /// Sequence number of the ping.
        #[serde(rename = "n")]
        sequence: u64,
    },
    /// Asks the receiver to ping `target` on behalf of the sender.
    #[serde(rename = "q")]
    PingRequest {
        /// Matches the answer.
        #[serde(rename = "n")]
        sequence: u64,
        /// The member to ping.
        #[serde(rename = "t")]
        target: InstanceName,
    },
}
