//! Bundles: what is offered, in which versions, to whom, with what priority.

mod adapter_entry;
mod bundle_version;
mod caller_entry;
mod content;
mod delta;
mod manifest;
mod service_entry;

pub use adapter_entry::AdapterEntry;
pub use bundle_version::BundleVersion;
pub use caller_entry::CallerEntry;
pub use content::{Bundle, Resolved};
pub use delta::BundleDelta;
pub use manifest::Manifest;
pub use service_entry::{CallEntry, ServiceEntry};
