//! Slopes of bundles and their spread.

use ed25519_dalek::SigningKey;
use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
use monsoonspread_model::bundle::{self, BundleDelta, Manifest, Verifier};
use monsoonspread_model::message::BundleContent;
use monsoonspread_model::{Bundle, BundleVersion, UnixMs};

use super::measure::{bytes_each, us_each, us_prepared};
use super::samples::{cbor, changed, instance};
use super::{Probe, Unit};

const ADAPTERS: &[usize] = &[1_000, 2_000, 4_000, 8_000, 16_000];
const CHANGES: &[usize] = &[1, 2, 4, 8, 16, 32];
/// Adapters in the bundle that changes are counted in.
const CHANGED_BUNDLE_ADAPTERS: usize = 16_000;
/// Bundles kept for one measurement of memory.
const COPIES: usize = 4;
/// Changes in one step when the bundle's size varies.
const STEP_CHANGES: usize = 2;

/// When messages arrive.
const NOW: UnixMs = UnixMs(1_800_000_000_000);

/// Every probe of bundles.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "bundle.resident",
        unit: Unit::Bytes,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let encoded = bundle::encode(&sample(adapters));
            bytes_each(COPIES, || decoded(&encoded))
        },
    },
    Probe {
        name: "bundle.wire_whole",
        unit: Unit::Bytes,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| bundle::encode(&sample(adapters)).len() as f64,
    },
    Probe {
        name: "bundle.decode",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let encoded = bundle::encode(&sample(adapters));
            us_each(|| decoded(&encoded))
        },
    },
    Probe {
        name: "bundle.encode_and_digest",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let sample = sample(adapters);
            us_each(|| bundle::digest(&bundle::encode(&sample)))
        },
    },
    Probe {
        name: "bundle.apply_delta",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let old = sample(adapters);
            let delta = BundleDelta::between(&old, &changed(&old, STEP_CHANGES));
            us_each(|| delta.apply(&old))
        },
    },
    Probe {
        name: "bundle.take_signed_delta",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let old = sample(adapters);
            us_prepared(
                || (holder_of(&old), signed_delta(&old)),
                |(spread, delta)| spread.on_content(NOW, &instance(1), delta.clone()),
            )
        },
    },
    Probe {
        name: "bundle.wire_delta",
        unit: Unit::Bytes,
        per: "change",
        sizes: CHANGES,
        measure: |changes| {
            let old = sample(CHANGED_BUNDLE_ADAPTERS);
            cbor(&BundleDelta::between(&old, &changed(&old, changes))).len() as f64
        },
    },
];

fn sample(adapters: usize) -> Bundle {
    Bundle::sample(BundleVersion(1), adapters)
}

fn decoded(encoded: &[u8]) -> Bundle {
    bundle::decode(encoded).expect("an encoded bundle is decoded again")
}

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn signed(bundle: &Bundle) -> Manifest {
    Manifest::sign(bundle.version, &bundle::encode(bundle), &key())
}

/// An instance that has `bundle` in force.
fn holder_of(bundle: &Bundle) -> BundleSpread {
    let verifier = Box::new(Verifier::new(vec![key().verifying_key()]));
    let settings = BundleSpreadSettings::default();
    let mut spread = BundleSpread::new(instance(0), settings, verifier, 1);
    let content = BundleContent::Whole {
        manifest: signed(bundle),
        content: bundle::encode(bundle),
    };
    spread.on_content(NOW, &instance(1), content);
    assert_eq!(spread.version(), bundle.version, "the bundle is in force");
    spread
}

fn signed_delta(old: &Bundle) -> BundleContent {
    let new = changed(old, STEP_CHANGES);
    BundleContent::Delta {
        manifest: signed(&new),
        delta: BundleDelta::between(old, &new),
    }
}
