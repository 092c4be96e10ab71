//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use crate::emulator::EngineChoice;
use crate::policy::PolicyName;

/// Compares policies under open-loop load and measures how costs grow.
#[derive(Debug, Parser)]
#[command(name = "monsoonspread-load", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Plays a workload under several policies and prints one table.
    Compare(CompareArgs),
    /// Measures bytes and time at several sizes and fits a line to each.
    Slopes(SlopesArgs),
    /// Emulates instances and engines in virtual time and compares ways to choose an engine.
    Emulate(EmulateArgs),
}

/// Arguments of `emulate`.
#[derive(Args, Debug)]
pub struct EmulateArgs {
    /// Numbers of instances, a run each.
    #[arg(long, value_delimiter = ',', default_value = "7,59,195,1700")]
    pub instances: Vec<usize>,
    /// Ways to choose an engine.
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_value = "own-view,quotes"
    )]
    pub choices: Vec<EngineChoice>,
    /// Requests a second in the region.
    #[arg(long, value_name = "RATE", default_value_t = 670.0)]
    pub requests_per_s: f64,
    /// Whether engines announce the time that work takes.
    #[arg(long)]
    pub announces: bool,
    /// Every so manieth engine is of another speed; 0 for none.
    #[arg(long, value_name = "NUMBER", default_value_t = 0)]
    pub uneven_every: usize,
    /// Time that work takes on those engines, in percent of the time on the others.
    #[arg(long, value_name = "PERCENT", default_value_t = 200, value_parser = clap::value_parser!(u32).range(10..=1_000))]
    pub uneven_percent: u32,
    /// Length of a run in virtual time.
    #[arg(long, value_name = "SECONDS", default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub seconds: u64,
    /// Seed of arrivals and of popularity.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes every figure as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Draws the busiest engine over the mean into this file.
    #[arg(long, value_name = "FILE")]
    pub svg: Option<PathBuf>,
}

/// Arguments of `compare`.
#[derive(Args, Debug)]
pub struct CompareArgs {
    /// The workload.
    #[arg(long, value_name = "FILE")]
    pub workload: PathBuf,
    /// Scales the phases so that each policy's run takes this long.
    #[arg(long, value_name = "SECONDS", value_parser = clap::value_parser!(u64).range(5..=86_400))]
    pub seconds: Option<u64>,
    /// Policies to compare.
    #[arg(
        long,
        value_enum,
        value_delimiter = ',',
        default_value = "random,least-loaded,hash,monsoonspread"
    )]
    pub policies: Vec<PolicyName>,
    /// Writes every figure as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Writes plots into this directory, which is created when it is missing.
    #[arg(long, value_name = "DIR")]
    pub svg_dir: Option<PathBuf>,
}

/// Arguments of `slopes`.
#[derive(Args, Debug)]
pub struct SlopesArgs {
    /// Measures only slopes whose names start with this.
    #[arg(long, value_name = "PREFIX", default_value = "")]
    pub only: String,
    /// Writes the slopes with every point as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}
