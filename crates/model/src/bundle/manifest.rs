//! Signed descriptions of bundles.

use serde::{Deserialize, Serialize};

use super::BundleVersion;

/// What operators sign: a version and the digest of its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The version.
    pub version: BundleVersion,
    /// SHA-256 of the bundle's canonical encoding, in hexadecimal digits.
    pub digest: String,
    /// SHA-256 of each stored part, in order.
    pub parts: Vec<String>,
    /// Ed25519 signature of version, digest and parts, in hexadecimal digits.
    pub signature: String,
}
