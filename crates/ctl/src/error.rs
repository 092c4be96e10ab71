//! Why a command failed.

use std::path::PathBuf;

use displaydoc::Display;
use monsoonspread_borders::StoreError;
use monsoonspread_model::bundle::BadVerifyKey;
use monsoonspread_model::toml_check::Findings;
use thiserror::Error;

use crate::fleet_status::InstanceStatus;
use crate::key_file::KeyFileError;
use crate::roll_out::RollOutError;
use crate::signed_bundle::SignedBundleError;

const FAILURE: u8 = 1;
const BAD_INPUT: u8 = 2;
const CONFLICT: u8 = 3;

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum CtlError {
    /// {0}
    Findings(Findings),
    /// file "{0}" can't be read: {1}
    Unreadable(PathBuf, std::io::Error),
    /// file "{0}" can't be written: {1}
    Unwritable(PathBuf, std::io::Error),
    /// {0}
    KeyFile(#[from] KeyFileError),
    /// {0}
    SignedBundle(#[from] SignedBundleError),
    /// {0}
    BadVerifyKey(#[from] BadVerifyKey),
    /// {0}
    RollOut(#[from] RollOutError),
    /// {0}
    Store(#[from] StoreError),
    /// the key-value service holds no readable bundle {0}
    BundleUnreadable(u64),
    /// {0}
    Lagging(Lagging),
    /// the process at {0} does not show its state: {1}
    NoDump(std::net::SocketAddr, String),
}

impl CtlError {
    /// The exit code for it.
    ///
    /// ```
    /// # use monsoonspread_ctl::CtlError;
    /// assert_eq!(CtlError::BundleUnreadable(4).exit_code(), 1);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_)
            | Self::Unreadable(..)
            | Self::KeyFile(_)
            | Self::SignedBundle(_)
            | Self::BadVerifyKey(_) => BAD_INPUT,
            Self::RollOut(error) if error.is_conflict() => CONFLICT,
            _ => FAILURE,
        }
    }
}

/// Instances that do not report a bundle in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lagging {
    /// The bundle.
    pub version: u64,
    /// The instances.
    pub instances: Vec<InstanceStatus>,
}

impl std::fmt::Display for Lagging {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "bundle {} is in force in the key-value service, but these instances don't report it:",
            self.version
        )?;
        for status in &self.instances {
            write!(f, "\n  {status}")?;
        }
        Ok(())
    }
}
