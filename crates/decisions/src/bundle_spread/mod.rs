//! Spread of signed bundles between instances.
//!
//! An instance accepts a bundle only when an operators' key signed it, its content has the
//! signed digest and its version is higher than the one in force. A new one is told to a few
//! random peers; whoever misses that sees the higher version in a peer's probe and asks for
//! what it lacks, which is a delta where the peer still has one.

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
