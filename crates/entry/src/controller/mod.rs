//! Tasks that own the instance's state and communicate by messages.

pub mod bundle;
pub mod dispatch;
mod handles;
mod mailbox;
pub mod membership;
mod message_router;
pub mod owner;
pub mod ownership;
pub mod service;

pub use handles::Handles;
pub use mailbox::Mailbox;
pub use message_router::MessageRouter;
