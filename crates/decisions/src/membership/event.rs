//! What is worth logging about membership.

use displaydoc::Display;
use monsoonspread_model::InstanceName;

/// Something that happened to the members of a zone.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum MembershipEvent {
    /// instance "{member}" joined
    Joined {
        /// The member.
        member: InstanceName,
    },
    /// instance "{member}" does not answer
    Suspected {
        /// The member.
        member: InstanceName,
    },
    /// instance "{member}" answers again
    Recovered {
        /// The member.
        member: InstanceName,
    },
    /// instance "{member}" leaves as planned
    Leaving {
        /// The member.
        member: InstanceName,
    },
    /// instance "{member}" counts as dead
    Died {
        /// The member.
        member: InstanceName,
    },
    /// others suspected this instance, which refutes it with incarnation {incarnation}
    Refuted {
        /// The new incarnation.
        incarnation: u64,
    },
    /// this instance stood still for {gap_ms} ms
    StoodStill {
        /// Time between two ticks.
        gap_ms: u64,
    },
}
