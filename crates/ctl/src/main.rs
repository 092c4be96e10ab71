//! `monsoonspread-ctl`: the operators' command.

use std::process::ExitCode;

use clap::Parser;
use monsoonspread_ctl::cli::Cli;
use monsoonspread_ctl::command;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match command::run(&Cli::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
