//! What a server takes well: estimates from the answers of one server, kept where all of them are known.

mod concurrency;
#[cfg(test)]
mod tests;

pub use concurrency::ConcurrencyEstimate;
