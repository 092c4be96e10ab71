//! Binary `monsoonspread-entry`, which runs one entry instance.

use std::process::ExitCode;

use clap::Parser;
use monsoonspread_entry::cli::Cli;
use monsoonspread_entry::{event, run};

/// Exit code for invalid options or settings.
const INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let default_level = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(default_level)
        .format_timestamp_millis()
        .init();
    let cli = Cli::parse();
    if cli.print_log_events {
        print!("{}", event::catalogue_markdown());
        return ExitCode::SUCCESS;
    }
    let options = match monsoonspread_entry::options::Options::from_cli(&cli) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if options.check_only {
        return ExitCode::SUCCESS;
    }
    match run::run(options.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
