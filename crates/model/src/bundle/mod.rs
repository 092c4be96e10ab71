//! Bundles: the adapters and services on offer, their versions, callers and priorities.

mod adapter_entry;
mod bundle_version;
mod caller_entry;
mod content;
mod delta;
mod encoding;
mod manifest;
mod sample;
mod service_entry;
mod source;
#[cfg(test)]
mod tests;
mod verifier;

pub use adapter_entry::AdapterEntry;
pub use bundle_version::BundleVersion;
pub use caller_entry::CallerEntry;
pub use content::{Bundle, Resolved};
pub use delta::BundleDelta;
pub use encoding::{EncodingError, MAX_PART_BYTES, decode, digest, encode, join, split};
pub use manifest::Manifest;
pub use sample::{SAMPLE_BENCH, SAMPLE_CARDS, SampleCaller};
pub use service_entry::{CallEntry, ServiceEntry};
pub use source::{MAX_PRIORITY, read_source, write_source};
pub use verifier::{BadVerifyKey, Verifier};
