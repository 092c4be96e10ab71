//! Pre-shared key of the mesh.

use std::fmt;

/// Pre-shared key of all entry instances; its `Debug` form hides the bytes.
#[derive(Clone, Eq, PartialEq)]
pub struct MeshKey(Vec<u8>);

impl MeshKey {
    /// Minimum length of a key.
    pub const MIN_BYTES: usize = 16;

    /// Creates a key from its bytes, without checking the length.
    ///
    /// ```
    /// # use monsoonspread_entry::settings::MeshKey;
    /// assert_eq!(format!("{:?}", MeshKey::new(b"0123456789abcdef")), "MeshKey(..)");
    /// ```
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Returns the bytes of the key.
    ///
    /// ```
    /// # use monsoonspread_entry::settings::MeshKey;
    /// assert_eq!(MeshKey::new(b"abc").as_bytes(), b"abc");
    /// ```
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeshKey(..)")
    }
}
