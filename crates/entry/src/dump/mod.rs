//! The state dump; never a caller's text or key.

mod dumper;
mod instance_dump;

pub use dumper::Dumper;
pub use instance_dump::{InstanceDump, ListedCounts};
