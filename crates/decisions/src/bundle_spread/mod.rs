//! Distribution of signed bundles between instances.
//!
//! An instance accepts a bundle only when it is signed by an operators' key, its content has the
//! signed digest and its version is higher than the one in force. It announces a new bundle to a
//! few random peers. A peer that misses the notice sees the higher version in a probe and
//! requests the bundle, which is sent as a delta if the sender still has one.

mod action;
mod checked;
mod dump;
mod event;
mod handlers;
mod history;
mod machine;
mod manifest_verifier;
mod settings;
mod sources;
#[cfg(test)]
mod tests;

pub use action::BundleAction;
pub use dump::BundleDump;
pub use event::{BundleEvent, Source};
pub use machine::BundleSpread;
pub use manifest_verifier::ManifestVerifier;
pub use settings::BundleSpreadSettings;
