//! Failure detection between the instances of a zone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceName;

/// How sure the zone is of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Health {
    /// Answers.
    #[serde(rename = "a")]
    Alive,
    /// Did not answer; may refute with a higher incarnation.
    #[serde(rename = "s")]
    Suspect,
    /// Stops as planned and has handed its work over, or is about to.
    #[serde(rename = "l")]
    Leaving,
    /// Taken as gone.
    #[serde(rename = "d")]
    Dead,
}

impl Health {
    /// The health's name in dumps.
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

/// One change of membership, sent along with probes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// The member.
    #[serde(rename = "m")]
    pub member: InstanceName,
    /// Its mesh listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Orders updates about one member; only the member itself raises it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// What is said of it.
    #[serde(rename = "h")]
    pub health: Health,
}

/// A probe, its answer, or a request to probe, with membership changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Swim {
    /// What it is.
    #[serde(rename = "b")]
    pub body: SwimBody,
    /// Membership changes, a bounded number.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
    /// The bundle version the sender has in force, so that lagging peers notice.
    #[serde(rename = "v")]
    pub bundle_version: crate::BundleVersion,
    /// The ownership table revision the sender has.
    #[serde(rename = "t")]
    pub table_revision: u64,
}

/// The kinds of probe messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SwimBody {
    /// Are you there?
    #[serde(rename = "p")]
    Ping {
        /// Matches the answer.
        #[serde(rename = "n")]
        sequence: u64,
    },
    /// I am.
    #[serde(rename = "k")]
    Ack {
        /// The ping's number.
        #[serde(rename = "n")]
        sequence: u64,
    },
    /// Please ping `target` for me.
    #[serde(rename = "q")]
    PingRequest {
        /// Matches the answer.
        #[serde(rename = "n")]
        sequence: u64,
        /// Whom to ping.
        #[serde(rename = "t")]
        target: InstanceName,
    },
}
