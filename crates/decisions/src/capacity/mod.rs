//! What upstreams take well, estimated where all answers of one upstream are known.

mod announced_level;
mod concurrency;
mod speed;
#[cfg(test)]
mod tests;

pub use announced_level::AnnouncedLevel;
pub use concurrency::ConcurrencyEstimate;
pub use speed::{EnginePaces, EngineSpeed, usual_paces};
