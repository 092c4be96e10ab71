//! Verification of bundle signatures.

use displaydoc::Display;
use ed25519_dalek::{Signature, VerifyingKey};
use thiserror::Error;

use super::Manifest;

/// "{0}" is not an Ed25519 public key in 64 hexadecimal digits
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct BadVerifyKey(pub String);

/// Verifies that a bundle is signed with one of the operators' public keys.
#[derive(Clone, Debug)]
pub struct Verifier {
    keys: Vec<VerifyingKey>,
}

impl Verifier {
    /// Accepts manifests signed with any of `keys`; with no keys, none is accepted.
    ///
    /// ```
    /// # use monsoonspread_model::bundle::Verifier;
    /// let accepts_nothing = Verifier::new(Vec::new());
    /// # let _ = accepts_nothing;
    /// ```
    pub fn new(keys: Vec<VerifyingKey>) -> Self {
        Self { keys }
    }

    /// Parses public keys given in hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns the first text that is not a valid key.
    ///
    /// ```
    /// # use monsoonspread_model::bundle::Verifier;
    /// assert!(Verifier::from_hex(&["00".to_owned()]).is_err());
    /// ```
    pub fn from_hex(keys: &[String]) -> Result<Self, BadVerifyKey> {
        let keys = keys.iter().map(|key| parse_key(key));
        Ok(Self::new(keys.collect::<Result<_, _>>()?))
    }

    /// Returns whether `manifest` carries a valid signature of an accepted key.
    ///
    /// ```
    /// # use monsoonspread_model::{bundle::{Manifest, Verifier}, BundleVersion};
    /// let unsigned = Manifest {
    ///     version: BundleVersion(1),
    ///     digest: String::new(),
    ///     parts: Vec::new(),
    ///     signature: String::new(),
    /// };
    /// assert!(!Verifier::new(Vec::new()).verify(&unsigned));
    /// ```
    pub fn verify(&self, manifest: &Manifest) -> bool {
        let Some(signature) = parse_signature(&manifest.signature) else {
            return false;
        };
        let bytes = manifest.signed_bytes();
        self.keys
            .iter()
            .any(|key| key.verify_strict(&bytes, &signature).is_ok())
    }
}

fn parse_key(text: &str) -> Result<VerifyingKey, BadVerifyKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).map_err(|_| BadVerifyKey(text.to_owned()))?;
    VerifyingKey::from_bytes(&bytes).map_err(|_| BadVerifyKey(text.to_owned()))
}

fn parse_signature(text: &str) -> Option<Signature> {
    let mut bytes = [0; 64];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    Some(Signature::from_bytes(&bytes))
}
