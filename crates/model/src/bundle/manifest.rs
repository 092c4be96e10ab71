//! Signed manifests of bundles.

use ed25519_dalek::{Signer, SigningKey};
use serde::{Deserialize, Serialize};

use super::{BundleVersion, digest, split};

/// Domain separation: a signature made with the same key for another purpose is not valid here.
const SIGNING_CONTEXT: &str = "monsoonspread bundle 1";

/// A bundle version and the digests of its content, signed by the operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The version of the bundle.
    pub version: BundleVersion,
    /// SHA-256 of the bundle's canonical encoding, in hexadecimal digits.
    pub digest: String,
    /// SHA-256 of each stored part, in order.
    pub parts: Vec<String>,
    /// Ed25519 signature over version, digest and parts, in hexadecimal digits.
    pub signature: String,
}

impl Manifest {
    /// Builds and signs the manifest for the encoded content of a bundle.
    ///
    /// ```
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_model::{bundle, Bundle, BundleVersion};
    /// let key = SigningKey::from_bytes(&[7; 32]);
    /// let content = bundle::encode(&Bundle::default());
    /// let manifest = bundle::Manifest::sign(BundleVersion(1), &content, &key);
    /// let verifier = bundle::Verifier::new(vec![key.verifying_key()]);
    /// assert!(verifier.verify(&manifest));
    /// ```
    pub fn sign(version: BundleVersion, content: &[u8], key: &SigningKey) -> Self {
        let mut manifest = Self {
            version,
            digest: digest(content),
            parts: split(content).into_iter().map(digest).collect(),
            signature: String::new(),
        };
        let signature = key.sign(&manifest.signed_bytes());
        manifest.signature = hex::encode(signature.to_bytes());
        manifest
    }

    /// Returns the bytes that the signature covers.
    pub(super) fn signed_bytes(&self) -> Vec<u8> {
        let mut text = format!("{SIGNING_CONTEXT}\n{}\n{}\n", self.version, self.digest);
        for part in &self.parts {
            text.push_str(part);
            text.push('\n');
        }
        text.into_bytes()
    }
}
