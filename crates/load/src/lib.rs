//! Open-loop load, policy comparison and slope measurement.

pub mod cli;
pub mod client;
pub mod commands;
pub mod compare;
pub mod emulator;
pub mod error;
pub mod fleet;
pub mod plan;
pub mod policy;
pub mod record;
pub mod report;
pub mod slopes;
pub mod workload;
