//! Failure detection within a zone.
//!
//! SWIM: every period each instance probes one member in a shuffled round, asks a few others
//! to probe it when no answer arrives, and suspects the member when that fails too. Updates
//! about a member are ordered by (incarnation, health), so they may arrive in any order, twice
//! or not at all. The number of updates in a message is bounded, which keeps the traffic of a
//! node independent of the size of its zone.

mod action;
mod dump;
mod event;
mod handlers;
mod incarnation;
mod machine;
mod member;
mod members;
mod probes;
mod settings;
mod suspicion;
#[cfg(test)]
mod tests;
mod updates;

pub use action::MembershipAction;
pub use dump::{MemberDump, MembershipDump};
pub use event::MembershipEvent;
pub use incarnation::Incarnation;
pub use machine::Membership;
pub use member::Member;
pub use settings::MembershipSettings;
