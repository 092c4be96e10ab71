//! Tasks that own the instance's state and talk by messages.

pub mod bundle;
pub mod dispatch;
mod handles;
mod mailbox;
pub mod membership;
pub mod owner;
pub mod ownership;
mod router;
pub mod service;

pub use handles::Handles;
pub use mailbox::Mailbox;
pub use router::Router;
