//! Membership events for the log.

use displaydoc::Display;
use monsoonspread_model::InstanceName;

/// A change in the members of a zone or in this instance.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum MembershipEvent {
    /// instance "{member}" joined
    Joined {
        /// Name of the instance.
        member: InstanceName,
    },
    /// instance "{member}" does not answer
    Suspected {
        /// Name of the instance.
        member: InstanceName,
    },
    /// instance "{member}" answers again
    Recovered {
        /// Name of the instance.
        member: InstanceName,
    },
    /// instance "{member}" is shutting down
    Leaving {
        /// Name of the instance.
        member: InstanceName,
    },
    /// instance "{member}" is dead
    Died {
        /// Name of the instance.
        member: InstanceName,
    },
    /// suspicion of this instance refuted with incarnation {incarnation}
    Refuted {
        /// The incarnation that refutes it.
        incarnation: u64,
    },
    /// this instance was paused for {gap_ms} ms
    StoodStill {
        /// Time between two ticks in milliseconds.
        gap_ms: u64,
    },
}
