//! State dump of an instance; it never contains a caller's texts or keys.

mod dumper;
mod instance_dump;

pub use dumper::Dumper;
pub use instance_dump::{InstanceDump, ListedCounts};
