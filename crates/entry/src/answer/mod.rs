//! From an engine's chunks to what the caller gets.

mod assembler;
mod sse;

#[cfg(test)]
mod tests;

pub use assembler::Assembler;
pub use sse::{DONE, error_event, event};
