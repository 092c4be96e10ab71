//! What each subcommand does.

use std::path::Path;

use serde::Serialize;

use crate::cli::{Cli, Command, SlopesArgs};
use crate::error::LoadError;
use crate::slopes::{self, Probe, Slope};

/// Runs the command that was asked for.
///
/// # Errors
///
/// Fails when a file can't be read or written, or what it holds is faulty.
pub fn run(cli: &Cli) -> Result<(), LoadError> {
    match &cli.command {
        Command::Slopes(args) => run_slopes(args),
    }
}

fn run_slopes(args: &SlopesArgs) -> Result<(), LoadError> {
    let slopes: Vec<Slope> = slopes::probes().iter().map(Probe::run).collect();
    print!("{}", slopes::table(&slopes));
    write_json(args.json.as_deref(), &slopes)
}

fn write_json<T: Serialize>(file: Option<&Path>, value: &T) -> Result<(), LoadError> {
    let Some(file) = file else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value).expect("reports have text keys only");
    std::fs::write(file, text + "\n").map_err(|source| LoadError::Write {
        file: file.to_owned(),
        source,
    })
}
