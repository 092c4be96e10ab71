//! Carries out the command line.

mod bundle;
mod key;
mod output;
#[cfg(test)]
mod tests;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use monsoonspread_borders::KeyValueStore;
use monsoonspread_borders::http::HttpClient;
use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_model::Bundle;
use monsoonspread_model::bundle::read_source;

use crate::cli::{Cli, Command};
use crate::error::CtlError;
use output::Output;

const DUMP_TIMEOUT_MS: u64 = 5_000;

/// Carries out one command.
///
/// # Errors
///
/// Every error has its message and its exit code.
pub async fn run(cli: &Cli) -> Result<(), CtlError> {
    let output = Output::new(cli.json);
    match &cli.command {
        Command::Bundle(command) => bundle::run(command, output).await,
        Command::Key(command) => key::run(command, output),
        Command::Dump { address } => dump(*address, output).await,
    }
}

async fn dump(address: SocketAddr, output: Output) -> Result<(), CtlError> {
    let no_dump = |why: String| CtlError::NoDump(address, why);
    let reply = HttpClient::new()
        .get(address, "/dump", DUMP_TIMEOUT_MS)
        .await
        .map_err(|error| no_dump(error.to_string()))?;
    if !reply.status.is_success() {
        return Err(no_dump(reply.summary()));
    }
    let dump = serde_json::from_slice(&reply.body).map_err(|error| no_dump(error.to_string()))?;
    output.document(&dump);
    Ok(())
}

/// Reads and checks a bundle.
fn read_bundle(file: &Path) -> Result<Bundle, CtlError> {
    let text = read_text(file)?;
    read_source(&file.display().to_string(), &text).map_err(CtlError::Findings)
}

fn read_text(file: &Path) -> Result<String, CtlError> {
    fs::read_to_string(file).map_err(|error| CtlError::Unreadable(file.to_owned(), error))
}

fn write_text(file: &Path, text: &str) -> Result<(), CtlError> {
    fs::write(file, text).map_err(|error| CtlError::Unwritable(file.to_owned(), error))
}

fn store(addresses: &[SocketAddr]) -> Arc<dyn KeyValueStore> {
    Arc::new(EtcdGateway::new(addresses.to_vec()))
}
