//! Entry process: a filter chain handles requests, controllers manage the state.

pub mod answer;
pub mod bundle_view;
pub mod cli;
pub mod controller;
pub mod directory;
pub mod dump;
mod entry;
pub mod event;
pub mod filter;
pub mod http;
pub mod mesh;
pub mod metrics;
mod operators;
pub mod options;
pub mod platform;
pub mod run;
pub mod run_state;
pub mod settings;

pub use entry::{Entry, StartError};
pub use platform::{EngineFactory, Platform, ServiceFactory};
pub use settings::Settings;
