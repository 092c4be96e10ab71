//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Checks, signs and rolls out bundles, and shows the state of the system.
///
/// Exit codes: 0 done; 1 failure, such as a service that can't be reached in time; 2 bad
/// input, with every finding as FILE:LINE: KEY; 3 conflict with another roll-out.
#[derive(Clone, Debug, Parser)]
#[command(name = "monsoonspread-ctl", version)]
pub struct Cli {
    /// Write JSON for scripts to standard output
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Work on bundles
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Work on signing keys
    #[command(subcommand)]
    Key(KeyCommand),
    /// Show the state of one process
    Dump {
        /// Its operators' listener
        address: SocketAddr,
    },
}

/// Work on bundles.
#[derive(Clone, Debug, Subcommand)]
pub enum BundleCommand {
    /// Write a sample bundle
    Sample {
        /// How many adapters it offers
        #[arg(long, default_value_t = 3_000)]
        adapters: usize,
        /// Its version
        #[arg(long, default_value_t = 1)]
        bundle_version: u64,
        /// Where to write it; standard output when absent
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Check a bundle and report everything that is wrong
    Check {
        /// The bundle in TOML
        file: PathBuf,
    },
    /// Show what a bundle would change, and for which callers
    Diff {
        /// The bundle in TOML
        file: PathBuf,
        /// The bundle to compare with; the one in force when absent
        #[arg(long, value_name = "FILE", required_unless_present = "store")]
        from: Option<PathBuf>,
        /// Address of the key-value service; may be given several times
        #[arg(long, value_name = "ADDRESS", conflicts_with = "from")]
        store: Vec<SocketAddr>,
    },
    /// Sign a bundle
    Sign {
        /// The bundle in TOML
        file: PathBuf,
        /// The key file, readable by its owner only
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// Where to write the signed manifest; beside the bundle, with suffix .signed.json, when absent
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Put a signed bundle in force, as the successor of the one in force
    RollOut(RollOutArgs),
    /// Show the version in force and which instances lag behind
    Status(FleetArgs),
    /// List the bundles that were in force
    History(StoreArgs),
}

/// Work on signing keys.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a key and print its public part
    New {
        /// Where to write it; the file must not exist
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Print the public part of a key
    Show {
        /// The key file
        file: PathBuf,
    },
}

/// What a roll-out takes.
#[derive(Args, Clone, Debug)]
pub struct RollOutArgs {
    /// The bundle in TOML
    pub file: PathBuf,
    /// The signed manifest; beside the bundle, with suffix .signed.json, when absent
    #[arg(long, value_name = "FILE")]
    pub signed: Option<PathBuf>,
    /// A public key that must have signed it; may be given several times
    #[arg(long, value_name = "HEX")]
    pub verify_key: Vec<String>,
    /// The system
    #[command(flatten)]
    pub fleet: FleetArgs,
    /// How long to wait for the key-value service and for every instance
    #[arg(long, default_value_t = 30_000)]
    pub timeout_ms: u64,
}

/// The key-value service and the instances.
#[derive(Args, Clone, Debug)]
pub struct FleetArgs {
    /// The key-value service
    #[command(flatten)]
    pub store: StoreArgs,
    /// Operators' listener of an instance; may be given several times
    #[arg(long, value_name = "ADDRESS")]
    pub instance: Vec<SocketAddr>,
}

/// The key-value service.
#[derive(Args, Clone, Debug)]
pub struct StoreArgs {
    /// Address of the key-value service; may be given several times
    #[arg(long, value_name = "ADDRESS", required = true)]
    pub store: Vec<SocketAddr>,
}
