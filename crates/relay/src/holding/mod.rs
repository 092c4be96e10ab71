//! The engines that this instance gives orders to, and asks to other holders.

mod ask_guard;
mod asks;
mod calls;
mod claims;
mod controller;
mod engine;
mod lease;
mod quotes;
mod wish;

pub use ask_guard::AskGuard;
pub use asks::Ask;
pub use controller::Holding;
pub use lease::keep_lease;
pub use quotes::{Survey, survey};
pub use wish::{CopyWish, ask_for_copy};
