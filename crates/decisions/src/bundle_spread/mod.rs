//! Spread of signed bundles between instances.
