//! The operators' command: check, diff, sign, roll out, status, history, dump.

pub mod cli;
pub mod command;
pub mod diff;
pub mod error;
pub mod fleet_status;
pub mod key_file;
pub mod roll_out;
pub mod signed_bundle;

pub use error::CtlError;
pub use roll_out::{RollOut, RollOutError, RollOutOutcome};
pub use signed_bundle::SignedBundle;
