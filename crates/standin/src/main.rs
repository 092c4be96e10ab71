//! `monsoonspread-standin`.

use std::process::ExitCode;

use clap::Parser;
use monsoonspread_standin::cli::Cli;
use monsoonspread_standin::run::run;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    match run(Cli::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
