//! Failure detection within a zone.
//!
//! SWIM: every period each instance probes one member in a shuffled round, asks a few others
//! to probe for it when no answer comes, and suspects the member when that fails too. What an
//! instance says of a member is ordered by (incarnation, health), so that updates may arrive
//! in any order, twice or not at all. A message carries a fixed number of them at most, which
//! keeps a node's traffic the same however large its zone is.

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
