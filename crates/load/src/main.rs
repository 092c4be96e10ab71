//! Open-loop load, policy comparison and slope measurement.

use std::process::ExitCode;

use clap::Parser;
use monsoonspread_load::cli::Cli;
use monsoonspread_load::commands;

fn main() -> ExitCode {
    env_logger::init();
    match commands::run(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("monsoonspread-load: {error}");
            ExitCode::from(2)
        }
    }
}
