//! Command line of `monsoonspread-demo`.

use clap::Parser;

/// Starts stand-ins and three entry instances on loopback and sends them requests.
///
/// Exit codes: 0 when each answer was right, 1 when one was not, 2 when the command line is
/// wrong.
#[derive(Clone, Debug, Parser)]
#[command(name = "monsoonspread-demo", version)]
pub struct Cli {
    /// Stop after the requests in place of serving on
    #[arg(long)]
    pub once: bool,

    /// Adapters in the sample bundle
    #[arg(long, default_value_t = 3_000, value_name = "N")]
    pub adapters: usize,
}
