//! The recorded activity of an engine's holder.

use serde::{Deserialize, Serialize};

/// What the recorded holder of an engine is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HolderActivity {
    /// It sends orders to the engine.
    Orders,
    /// It does not send orders yet, because a former holder may still do so.
    Waits,
    /// It has given up the engine and sends no further orders.
    Stopped,
}
