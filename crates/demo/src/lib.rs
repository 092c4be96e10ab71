//! Everything in one process on loopback, to try the project.
//!
//! [`Region`] starts the stand-ins and entry instances of a small region; tests use it too.

pub mod cli;
pub mod client;
pub mod demo;
pub mod region;
pub mod report;
pub mod roll_out;
pub mod tour;

pub use client::{Client, Reply};
pub use region::{Region, RegionShape};
