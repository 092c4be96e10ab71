//! Converts an engine's chunks into the response for the caller, streamed or assembled.

mod assembler;
mod sse;

#[cfg(test)]
mod tests;

pub use assembler::Assembler;
pub use sse::{DONE, error_event, event};
