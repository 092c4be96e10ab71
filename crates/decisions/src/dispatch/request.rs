//! Admitted requests.

use monsoonspread_model::message::RequestId;
use monsoonspread_model::{
    AdapterRef, BundleVersion, CallerName, Fingerprint, RequestClass, UnixMs,
};

/// A model request that passed every filter.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its number, unique on this instance.
    pub request: RequestId,
    /// What it runs on; never changes.
    pub adapter: AdapterRef,
    /// Its class.
    pub class: RequestClass,
    /// Its priority; higher goes first.
    pub priority: u8,
    /// Who sent it.
    pub caller: CallerName,
    /// Tokens it is expected to generate.
    pub tokens: u32,
    /// When its first token must be there at the latest.
    pub deadline_unix_ms: UnixMs,
    /// The bundle version under which it was resolved.
    pub bundle_version: BundleVersion,
    /// Hash of adapter and body, by which crashes are counted.
    pub fingerprint: Fingerprint,
    /// Whether a broken stream can go on from the tokens that arrived.
    pub resumable: bool,
}
