//! Mutual proof of the ends of a connection that they know the pre-shared key.

use sha2::{Digest, Sha256};

use crate::settings::MeshKey;

/// Length in bytes of a nonce and of a proof.
pub(super) const PROOF_BYTES: usize = 32;
/// Block size of SHA-256 in bytes.
const BLOCK_BYTES: usize = 64;
/// Inner and outer padding of HMAC (RFC 2104).
const INNER_PAD: u8 = 0x36;
const OUTER_PAD: u8 = 0x5c;

/// End of a connection that makes a proof; part of the proof, so that it can't be reflected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Side {
    /// The end that opened the connection.
    Dialer,
    /// The end that accepted it.
    Acceptor,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"monsoonspread dialer 1",
            Self::Acceptor => b"monsoonspread acceptor 1",
        }
    }
}

/// Returns a random nonce.
pub(super) fn nonce() -> [u8; PROOF_BYTES] {
    rand::random()
}

/// Returns the HMAC-SHA-256 of the side and both nonces.
pub(super) fn proof(
    key: &MeshKey,
    side: Side,
    dialer_nonce: &[u8],
    acceptor_nonce: &[u8],
) -> [u8; PROOF_BYTES] {
    let block = key_block(key.as_bytes());
    let inner = Sha256::new()
        .chain_update(block.map(|byte| byte ^ INNER_PAD))
        .chain_update(side.label())
        .chain_update(dialer_nonce)
        .chain_update(acceptor_nonce)
        .finalize();
    Sha256::new()
        .chain_update(block.map(|byte| byte ^ OUTER_PAD))
        .chain_update(inner)
        .finalize()
        .into()
}

/// Compares proofs in a time that does not depend on where they differ.
pub(super) fn constant_time_eq(expected: &[u8; PROOF_BYTES], found: &[u8]) -> bool {
    let difference = expected
        .iter()
        .zip(found)
        .fold(0, |difference, (left, right)| difference | (left ^ right));
    found.len() == PROOF_BYTES && difference == 0
}

fn key_block(key: &[u8]) -> [u8; BLOCK_BYTES] {
    let mut block = [0; BLOCK_BYTES];
    if key.len() > BLOCK_BYTES {
        block[..PROOF_BYTES].copy_from_slice(&Sha256::digest(key));
    } else {
        block[..key.len()].copy_from_slice(key);
    }
    block
}
