//! Printing and plotting comparisons.

mod plots;
mod table;
#[cfg(test)]
mod tests;

pub use plots::write_plots;
pub use table::table;
