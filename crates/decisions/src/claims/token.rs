//! Identity of a claim's holder.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

/// A random number that identifies one [`super::Claim`].
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimToken(String);

impl ClaimToken {
    /// Generates a random token of 128 bits.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::ClaimToken;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// let mut random = ChaCha8Rng::seed_from_u64(1);
    /// assert_ne!(ClaimToken::random(&mut random), ClaimToken::random(&mut random));
    /// ```
    pub fn random(random: &mut impl Rng) -> Self {
        let (high, low) = (random.next_u64(), random.next_u64());
        Self(format!("{high:016x}{low:016x}"))
    }
}

impl fmt::Display for ClaimToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
