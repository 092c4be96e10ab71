//! Crowds of callers against the budgets, without a network.

mod bodies;
mod connections;
mod machine;
mod progress;
