//! CBOR encoding of mesh messages.

use displaydoc::Display;
use thiserror::Error;

use super::MeshMessage;

/// Encodes a message as CBOR.
///
/// ```
/// # use monsoonspread_model::message::{decode, encode, BudgetAsk, MeshMessage};
/// let message = MeshMessage::BudgetAsk(BudgetAsk { loads_wanted: 2 });
/// assert_eq!(decode(&encode(&message)).unwrap(), message);
/// ```
pub fn encode(message: &MeshMessage) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(96);
    ciborium::into_writer(message, &mut bytes).expect("writing CBOR to memory succeeds");
    bytes
}

/// Decodes a message from CBOR.
///
/// # Errors
///
/// Fails if the bytes are not a complete message of this protocol version.
///
/// ```
/// # use monsoonspread_model::message::decode;
/// assert!(decode(b"\xff").is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<MeshMessage, CodecError> {
    ciborium::from_reader(bytes).map_err(|error| CodecError::NotAMessage(error.to_string()))
}

/// Why bytes from a peer can't be decoded.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// not a mesh message: {0}
    NotAMessage(String),
}
