//! Numbered log events with `key=value` fields, on standard output.

mod catalogue;
mod line;
mod output;

pub use catalogue::{CATALOGUE, EventKind, catalogue_markdown, kind};
pub use line::Line;
pub use output::start_logging;
