//! Open-loop load, policy comparison and slope measurement.

pub mod cli;
pub mod commands;
pub mod error;
pub mod plan;
pub mod slopes;
pub mod workload;
