//! The entry process: filter chain for requests and controllers for state.

pub mod answer;
pub mod cli;
pub mod directory;
pub mod event;
pub mod http;
pub mod mesh;
pub mod options;
pub mod platform;
pub mod settings;

pub use platform::{EngineFactory, Platform, ServiceFactory};
pub use settings::Settings;
