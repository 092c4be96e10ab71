//! Slopes of bundles and their spread.

use monsoonspread_model::Bundle;
use monsoonspread_model::bundle::BundleDelta;
use sha2::{Digest, Sha256};

use super::measure::{bytes_each, us_each};
use super::samples::{bundle, cbor, changed};
use super::{Probe, Unit};

const ADAPTERS: &[usize] = &[1_000, 2_000, 4_000, 8_000, 16_000];
const CHANGES: &[usize] = &[1, 2, 4, 8, 16, 32];
/// Adapters in the bundle that changes are counted in.
const CHANGED_BUNDLE_ADAPTERS: usize = 16_000;
/// Bundles kept for one measurement of memory.
const COPIES: usize = 4;
/// Changes in one step when the bundle's size varies.
const STEP_CHANGES: usize = 2;

/// Every probe of bundles.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "bundle.resident",
        unit: Unit::Bytes,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let encoded = cbor(&bundle(adapters));
            bytes_each(COPIES, || decoded(&encoded))
        },
    },
    Probe {
        name: "bundle.wire_whole",
        unit: Unit::Bytes,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| cbor(&bundle(adapters)).len() as f64,
    },
    Probe {
        name: "bundle.decode",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let encoded = cbor(&bundle(adapters));
            us_each(|| decoded(&encoded))
        },
    },
    Probe {
        name: "bundle.encode_and_digest",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let bundle = bundle(adapters);
            us_each(|| Sha256::digest(cbor(&bundle)))
        },
    },
    Probe {
        name: "bundle.apply_delta",
        unit: Unit::Us,
        per: "adapter",
        sizes: ADAPTERS,
        measure: |adapters| {
            let old = bundle(adapters);
            let delta = BundleDelta::between(&old, &changed(&old, STEP_CHANGES));
            us_each(|| delta.apply(&old))
        },
    },
    Probe {
        name: "bundle.wire_delta",
        unit: Unit::Bytes,
        per: "change",
        sizes: CHANGES,
        measure: |changes| {
            let old = bundle(CHANGED_BUNDLE_ADAPTERS);
            cbor(&BundleDelta::between(&old, &changed(&old, changes))).len() as f64
        },
    },
];

fn decoded(encoded: &[u8]) -> Bundle {
    ciborium::from_reader(encoded).expect("an encoded bundle is decoded again")
}
