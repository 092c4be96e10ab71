//! Checking of signatures.

use monsoonspread_model::bundle::{Manifest, Verifier};

/// Says whether operators signed a manifest.
pub trait ManifestVerifier: Send {
    /// Whether an accepted key signed `manifest`.
    fn verify(&self, manifest: &Manifest) -> bool;
}

impl ManifestVerifier for Verifier {
    fn verify(&self, manifest: &Manifest) -> bool {
        Verifier::verify(self, manifest)
    }
}
