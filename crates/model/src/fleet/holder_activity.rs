//! What an engine's recorded holder does.

use serde::{Deserialize, Serialize};

/// What an engine's recorded holder does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HolderActivity {
    /// It gives orders.
    Orders,
    /// It gives none yet, as a former holder may still do so.
    Waits,
    /// It has given the engine up and gives no more.
    Stopped,
}
