//! Files with signing keys.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};

use displaydoc::Display;
use ed25519_dalek::SigningKey;
use thiserror::Error;

const OWNER_ONLY: u32 = 0o600;
const OTHERS: u32 = 0o077;

/// Why a key file can't be used.
#[derive(Debug, Display, Error)]
pub enum KeyFileError {
    /// key file "{0}" can't be read: {1}
    Unreadable(PathBuf, io::Error),
    /// key file "{0}" can't be written: {1}
    Unwritable(PathBuf, io::Error),
    /// key file "{0}" has mode {1:04o}, but only its owner may have access: run chmod 600
    OpenToOthers(PathBuf, u32),
    /// key file "{0}" does not hold an Ed25519 key in 64 hexadecimal digits
    NotAKey(PathBuf),
}

/// Makes a key and writes it to a new file that only its owner can read.
///
/// # Errors
///
/// Fails when the file exists or can't be written.
///
/// ```
/// # use std::path::Path;
/// assert!(monsoonspread_ctl::key_file::create(Path::new("/dev/null")).is_err());
/// ```
pub fn create(file: &Path) -> Result<SigningKey, KeyFileError> {
    let key = SigningKey::generate(&mut rand::rng());
    OpenOptions::new()
        .create_new(true)
        .mode(OWNER_ONLY)
        .write(true)
        .open(file)
        .and_then(|mut opened| writeln!(opened, "{}", hex::encode(key.to_bytes())))
        .map_err(|error| KeyFileError::Unwritable(file.to_owned(), error))?;
    Ok(key)
}

/// Reads a key from a file that only its owner can read.
///
/// # Errors
///
/// Fails when others have access to the file, and when it holds no key.
///
/// ```
/// # use std::path::Path;
/// assert!(monsoonspread_ctl::key_file::read(Path::new("no.key")).is_err());
/// ```
pub fn read(file: &Path) -> Result<SigningKey, KeyFileError> {
    let unreadable = |error| KeyFileError::Unreadable(file.to_owned(), error);
    let mode = fs::metadata(file).map_err(unreadable)?.permissions().mode() & 0o777;
    if mode & OTHERS != 0 {
        return Err(KeyFileError::OpenToOthers(file.to_owned(), mode));
    }
    let text = fs::read_to_string(file).map_err(unreadable)?;
    let mut bytes = [0; 32];
    hex::decode_to_slice(text.trim(), &mut bytes)
        .map_err(|_| KeyFileError::NotAKey(file.to_owned()))?;
    Ok(SigningKey::from_bytes(&bytes))
}

/// The public part of a key in hexadecimal digits.
///
/// ```
/// # use ed25519_dalek::SigningKey;
/// let key = SigningKey::from_bytes(&[7; 32]);
/// assert_eq!(monsoonspread_ctl::key_file::public_part(&key).len(), 64);
/// ```
pub fn public_part(key: &SigningKey) -> String {
    hex::encode(key.verifying_key().to_bytes())
}
