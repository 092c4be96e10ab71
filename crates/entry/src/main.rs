//! `monsoonspread-entry`: the process on each entry instance.

use std::process::ExitCode;

use clap::Parser;
use monsoonspread_entry::cli::Cli;
use monsoonspread_entry::event;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if cli.print_log_events {
        print!("{}", event::catalogue_markdown());
        return ExitCode::SUCCESS;
    }
    ExitCode::SUCCESS
}
