//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Stand-ins for the platform and the upstreams, with faults switched at run time.
///
/// Prints one line of JSON with the addresses, then serves until it is interrupted. Faults
/// are switched by POST to /faults/NAME on the control listener, for example
/// {"fault":"slow","factor":5}; GET /counters shows what each stand-in did.
///
/// Exit codes: 0 stopped, 1 failure, 2 bad settings.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// What to run.
    #[command(subcommand)]
    pub command: Command,
}

/// What to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The key-value service, etcd v3 semantics over the JSON gateway.
    Store(Listen),
    /// The lagging list of live and leaving instances.
    Instances(Listen),
    /// The rate-limited weight store.
    Weights(Listen),
    /// A model engine.
    Engine {
        /// Where the weight store listens.
        #[arg(long, value_name = "ADDRESS")]
        weights: SocketAddr,
        /// Where the engine listens.
        #[command(flatten)]
        listen: Listen,
    },
    /// A server of a plain service.
    Service(Listen),
    /// A whole platform with its upstreams in one process.
    All {
        /// Plan in TOML.
        #[arg(long, value_name = "FILE")]
        plan: PathBuf,
    },
}

/// Where one stand-in listens, and its settings.
#[derive(Args, Clone, Debug)]
pub struct Listen {
    /// Address of the stand-in; port 0 lets the system choose.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address of the control listener; port 0 lets the system choose.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    /// Settings in TOML; the defaults when absent.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
}
