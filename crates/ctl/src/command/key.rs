//! Commands on signing keys.

use serde_json::json;

use super::output::Output;
use crate::cli::KeyCommand;
use crate::error::CtlError;
use crate::key_file;

/// Carries out one command on signing keys.
pub(super) fn run(command: &KeyCommand, output: Output) -> Result<(), CtlError> {
    let key = match command {
        KeyCommand::New { out } => key_file::create(out)?,
        KeyCommand::Show { file } => key_file::read(file)?,
    };
    let public = key_file::public_part(&key);
    output.result(&json!({ "verify_key": public }), &[public]);
    Ok(())
}
