//! Messages on their way.

use monsoonspread_model::{MeshMessage, UnixMs};

/// A message on its way between instances, which are named by their index.
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: MeshMessage,
    pub sent_at: UnixMs,
}
