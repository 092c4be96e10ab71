//! Command-line arguments of `monsoonspread-entry`.

use std::path::PathBuf;

use clap::Parser;

/// Gateway that routes callers' requests to adapters on model engines and to plain services.
///
/// Exit codes: 0 after a planned stop, 1 if the instance can't be started, 2 if the settings or the
/// command line are invalid (all errors in the settings are listed).
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

    /// Validate the settings, print the findings and exit
    #[arg(long)]
    pub check: bool,

    /// Print the catalogue of log events as Markdown and exit
    #[arg(long)]
    pub print_log_events: bool,
}
