//! What upstreams can take, estimated where their requests are granted.

mod announced_level;
mod speed;
#[cfg(test)]
mod tests;

pub use announced_level::AnnouncedLevel;
pub use speed::{EnginePaces, EngineSpeed, usual_paces};
