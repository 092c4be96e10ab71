//! What clients saw: outcomes of single requests, and their sums.

mod outcome;
mod quantiles;
mod summary;
#[cfg(test)]
mod tests;

pub use outcome::{Ending, Outcome};
pub use quantiles::Quantiles;
pub use summary::Summary;
