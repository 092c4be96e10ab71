//! Rate limits that upstreams announce, and quotas of workspaces.
//!
//! Before a request is sent to an upstream with a limit, its instance requests a permit from the
//! upstream's issuer. A denied permit tells when the next one is free; until then this instance sends
//! its requests to other upstreams without asking again.

mod availability;
mod beats;
mod issue;
mod permit;
mod permits;
mod quota;
mod quota_issue;
mod quotas;

pub use permit::Permit;
pub use permits::Permits;
pub use quotas::{QuotaDump, Quotas};
