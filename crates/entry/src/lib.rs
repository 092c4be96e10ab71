//! The entry process: filter chain for requests and controllers for state.

pub mod cli;
pub mod event;
pub mod mesh;
pub mod options;
pub mod settings;

pub use settings::Settings;
