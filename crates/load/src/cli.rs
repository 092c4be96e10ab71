//! Command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

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
    /// Measures bytes and time at several sizes and fits a line to each.
    Slopes(SlopesArgs),
}

/// Arguments of `slopes`.
#[derive(Args, Debug)]
pub struct SlopesArgs {
    /// Writes the slopes with every point as JSON.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}
