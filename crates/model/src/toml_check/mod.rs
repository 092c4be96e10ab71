//! TOML parsing that collects all findings with their positions and reports them together.

mod document;
mod finding;
mod table_reader;
#[cfg(test)]
mod tests;

pub use document::Document;
pub use finding::{Finding, Findings};
pub use table_reader::TableReader;
