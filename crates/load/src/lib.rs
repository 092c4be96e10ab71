//! Open-loop load, policy comparison and slope measurement.

pub mod plan;
pub mod workload;
