//! Checks of received bundles.

use monsoonspread_model::Bundle;
use monsoonspread_model::bundle::{self, BundleDelta, Manifest};

use super::ManifestVerifier;

/// Why a received bundle is not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Rejected {
    BadSignature,
    BadContent,
}

/// The bundle that `content` encodes, when it is the signed one.
pub(super) fn whole(
    verifier: &dyn ManifestVerifier,
    manifest: &Manifest,
    content: &[u8],
) -> Result<Bundle, Rejected> {
    signed(verifier, manifest)?;
    if bundle::digest(content) != manifest.digest {
        return Err(Rejected::BadContent);
    }
    let bundle = bundle::decode(content).map_err(|_| Rejected::BadContent)?;
    same_version(bundle, manifest)
}

/// The bundle that `delta` makes of `current`, when it is the signed one.
pub(super) fn changed(
    verifier: &dyn ManifestVerifier,
    manifest: &Manifest,
    current: &Bundle,
    delta: &BundleDelta,
) -> Result<Bundle, Rejected> {
    signed(verifier, manifest)?;
    let bundle = delta.apply(current).ok_or(Rejected::BadContent)?;
    if bundle::digest(&bundle::encode(&bundle)) != manifest.digest {
        return Err(Rejected::BadContent);
    }
    same_version(bundle, manifest)
}

fn signed(verifier: &dyn ManifestVerifier, manifest: &Manifest) -> Result<(), Rejected> {
    if verifier.verify(manifest) {
        Ok(())
    } else {
        Err(Rejected::BadSignature)
    }
}

fn same_version(bundle: Bundle, manifest: &Manifest) -> Result<Bundle, Rejected> {
    if bundle.version == manifest.version {
        Ok(bundle)
    } else {
        Err(Rejected::BadContent)
    }
}
