//! Admitted requests.

use monsoonspread_model::message::RequestId;
use monsoonspread_model::{
    AdapterRef, BundleVersion, CallerName, Fingerprint, RequestClass, UnixMs,
};

/// A model request that passed admission.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Number of the request, unique on this instance.
    pub request: RequestId,
    /// The adapter it runs on; never changes.
    pub adapter: AdapterRef,
    /// Expected length class.
    pub class: RequestClass,
    /// Priority; higher goes first.
    pub priority: u8,
    /// The caller that sent it.
    pub caller: CallerName,
    /// Expected number of generated tokens.
    pub tokens: u32,
    /// Deadline of the first token.
    pub deadline_unix_ms: UnixMs,
    /// The bundle version that it was resolved with.
    pub bundle_version: BundleVersion,
    /// Hash of adapter and body; crashes are counted by it.
    pub fingerprint: Fingerprint,
    /// Whether a broken stream can be resumed from the tokens that arrived.
    pub resumable: bool,
}
