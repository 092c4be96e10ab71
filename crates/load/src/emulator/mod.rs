//! Instances, holders and engines in virtual time, without sockets.
//!
//! The decisions are the real ones (`placement`, `load_choice`, `copies`); engines are a small
//! model: they read prompts one after the other, slow down as more requests run, and bring
//! adapters in a fixed time. A message takes one hop. A run depends on its seed only.

mod choice;
mod engine;
mod report;
mod settings;
#[cfg(test)]
mod tests;
mod world;

pub use choice::EngineChoice;
pub use report::{EmulatedRun, run_table, write_plot};
pub use settings::EmulatorSettings;
pub use world::emulate;
