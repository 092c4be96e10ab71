//! What upstreams can take, estimated where their requests are granted.

mod speed;
#[cfg(test)]
mod tests;

pub use speed::{EnginePaces, EngineSpeed, usual_paces};
