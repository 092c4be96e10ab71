//! Command line of `monsoonspread-entry`.

use std::path::PathBuf;

use clap::Parser;

/// Serves callers' requests on adapters and plain services in front of model engines.
///
/// Exit codes: 0 after a planned stop, 1 when a listener could not be opened, 2 when the
/// settings or the command line are wrong (everything that is wrong is listed, nothing starts).
#[derive(Clone, Debug, Parser)]
#[command(name = "monsoonspread-entry", version)]
pub struct Cli {
    /// Settings file in TOML
    #[arg(
        long,
        value_name = "FILE",
        required_unless_present = "print_log_events"
    )]
    pub config: Option<PathBuf>,

    /// Check the settings, print the findings and stop
    #[arg(long)]
    pub check: bool,

    /// Print the catalogue of log events as Markdown and stop
    #[arg(long)]
    pub print_log_events: bool,
}
