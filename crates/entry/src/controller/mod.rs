//! Tasks that own the instance's state and talk by messages.

pub mod dispatch;
