//! What a process may hold for callers that nobody controls: bodies, unread answers and connections.
//!
//! [`MachineShares`] splits the memory and the descriptors of the machine. [`BodyBudget`] reserves memory before
//! a body is read; when it runs short, the bodies that hold most for longest yield. [`ConnectionBudget`] decides
//! who is closed when connections or unread answers run short. [`ReadProgress`] ends bodies that hardly arrive.

mod body_budget;
mod connection_budget;
mod machine_shares;
mod read_progress;
#[cfg(test)]
mod tests;

pub use body_budget::{BodyBudget, BodyId, BodyReservation};
pub use connection_budget::{Admission, ConnectionBudget, ConnectionId, ConnectionKind};
pub use machine_shares::MachineShares;
pub use read_progress::ReadProgress;
