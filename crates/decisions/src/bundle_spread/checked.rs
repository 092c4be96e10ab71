//! Verification of received bundles.

use monsoonspread_model::Bundle;
use monsoonspread_model::bundle::{self, BundleDelta, Manifest};

use super::ManifestVerifier;

/// Why a received bundle is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rejection {
    BadSignature,
    BadContent,
}

/// Decodes `content` and checks it against the signed manifest.
pub(super) fn verify_whole(
    verifier: &dyn ManifestVerifier,
    manifest: &Manifest,
    content: &[u8],
) -> Result<Bundle, Rejection> {
    check_signature(verifier, manifest)?;
    if bundle::digest(content) != manifest.digest {
        return Err(Rejection::BadContent);
    }
    let bundle = bundle::decode(content).map_err(|_| Rejection::BadContent)?;
    check_version(bundle, manifest)
}

/// Applies `delta` to `current` and checks the result against the signed manifest.
pub(super) fn apply_delta(
    verifier: &dyn ManifestVerifier,
    manifest: &Manifest,
    current: &Bundle,
    delta: &BundleDelta,
) -> Result<Bundle, Rejection> {
    check_signature(verifier, manifest)?;
    let bundle = delta.apply(current).ok_or(Rejection::BadContent)?;
    if bundle::digest(&bundle::encode(&bundle)) != manifest.digest {
        return Err(Rejection::BadContent);
    }
    check_version(bundle, manifest)
}

fn check_signature(verifier: &dyn ManifestVerifier, manifest: &Manifest) -> Result<(), Rejection> {
    if verifier.verify(manifest) {
        Ok(())
    } else {
        Err(Rejection::BadSignature)
    }
}

fn check_version(bundle: Bundle, manifest: &Manifest) -> Result<Bundle, Rejection> {
    if bundle.version == manifest.version {
        Ok(bundle)
    } else {
        Err(Rejection::BadContent)
    }
}
