//! Reading TOML as a whole: every finding is collected with its place and reported together.

mod document;
mod finding;
mod table_reader;
#[cfg(test)]
mod tests;

pub use document::Document;
pub use finding::{Finding, Findings};
pub use table_reader::TableReader;
