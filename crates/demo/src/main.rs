//! `monsoonspread-demo`: the whole system in one process, to try it.

use std::process::ExitCode;

use clap::Parser;
use monsoonspread_demo::cli::Cli;
use monsoonspread_demo::demo;

fn main() -> ExitCode {
    let default_level = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(default_level)
        .format_timestamp_millis()
        .init();
    let cli = Cli::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(demo::run(&cli)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
