//! Signature verification of manifests.

use monsoonspread_model::bundle::{Manifest, Verifier};

/// Verifies the signatures of manifests.
pub trait ManifestVerifier: Send {
    /// Whether `manifest` is signed by an accepted key.
    fn verify(&self, manifest: &Manifest) -> bool;
}

impl ManifestVerifier for Verifier {
    fn verify(&self, manifest: &Manifest) -> bool {
        Verifier::verify(self, manifest)
    }
}
