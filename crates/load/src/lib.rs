//! Open-loop load, policy comparison and slope measurement.
