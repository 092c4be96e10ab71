//! Messages in transit.

use monsoonspread_model::{MeshMessage, UnixMs};

/// A message in transit between two instances, which are identified by their index.
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: MeshMessage,
    pub sent_at: UnixMs,
}
