//! Bundles with their signed manifests.

use displaydoc::Display;
use ed25519_dalek::SigningKey;
use monsoonspread_model::Bundle;
use monsoonspread_model::bundle::{Manifest, Verifier, digest, encode, split};
use thiserror::Error;

/// A bundle, its canonical encoding and its signed manifest, which belong together.
#[derive(Clone, Debug, PartialEq)]
pub struct SignedBundle {
    bundle: Bundle,
    content: Vec<u8>,
    manifest: Manifest,
}

/// Why a manifest is not a bundle's own.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SignedBundleError {
    /// the signed manifest can't be read: {0}
    Unreadable(String),
    /// the manifest was signed for version {signed}, the bundle is version {version}
    OtherVersion {
        /// The manifest's version.
        signed: u64,
        /// The bundle's version.
        version: u64,
    },
    /// bundle {0} was changed after it was signed
    Changed(u64),
    /// none of the given keys signed bundle {0}
    WrongKey(u64),
}

impl SignedBundle {
    /// Signs a bundle.
    ///
    /// ```
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// let key = SigningKey::from_bytes(&[7; 32]);
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// assert_eq!(signed.manifest().version, BundleVersion(1));
    /// ```
    pub fn sign(bundle: Bundle, key: &SigningKey) -> Self {
        let content = encode(&bundle);
        let manifest = Manifest::sign(bundle.version, &content, key);
        Self {
            bundle,
            content,
            manifest,
        }
    }

    /// Joins a bundle with the manifest that was signed for it.
    ///
    /// # Errors
    ///
    /// Fails when the manifest belongs to other content.
    ///
    /// ```
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// let key = SigningKey::from_bytes(&[7; 32]);
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// let other = Bundle::sample(BundleVersion(1), 5);
    /// assert!(SignedBundle::join(other, signed.manifest().clone()).is_err());
    /// ```
    pub fn join(bundle: Bundle, manifest: Manifest) -> Result<Self, SignedBundleError> {
        if manifest.version != bundle.version {
            return Err(SignedBundleError::OtherVersion {
                signed: manifest.version.0,
                version: bundle.version.0,
            });
        }
        let content = encode(&bundle);
        let parts = split(&content).into_iter().map(digest);
        if manifest.digest != digest(&content) || !parts.eq(manifest.parts.iter().cloned()) {
            return Err(SignedBundleError::Changed(bundle.version.0));
        }
        Ok(Self {
            bundle,
            content,
            manifest,
        })
    }

    /// Checks who signed it.
    ///
    /// # Errors
    ///
    /// Fails when no key of `verifier` did.
    ///
    /// ```
    /// # use monsoonspread_model::bundle::Verifier;
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// # let key = SigningKey::from_bytes(&[7; 32]);
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// let verifier = Verifier::new(vec![key.verifying_key()]);
    /// assert_eq!(signed.verify(&verifier), Ok(()));
    /// ```
    pub fn verify(&self, verifier: &Verifier) -> Result<(), SignedBundleError> {
        if verifier.verify(&self.manifest) {
            Ok(())
        } else {
            Err(SignedBundleError::WrongKey(self.bundle.version.0))
        }
    }

    /// The bundle.
    ///
    /// ```
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// # let key = SigningKey::from_bytes(&[7; 32]);
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// assert_eq!(signed.bundle().adapters.len(), 4);
    /// ```
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Its manifest.
    ///
    /// ```
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// # let key = SigningKey::from_bytes(&[7; 32]);
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// assert_eq!(signed.manifest().parts.len(), 1);
    /// ```
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The parts to store, in the manifest's order.
    ///
    /// ```
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// # let key = SigningKey::from_bytes(&[7; 32]);
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// assert_eq!(signed.parts().count(), 1);
    /// ```
    pub fn parts(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let digests = self.manifest.parts.iter().map(String::as_str);
        digests.zip(split(&self.content))
    }
}
