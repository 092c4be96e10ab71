//! Reads and writes of ownership tables in the key-value service.

use std::sync::Arc;

use monsoonspread_borders::{CasOutcome, KeyValueStore, StoreError, Stored};
use monsoonspread_decisions::ownership::WriteResult;
use monsoonspread_model::{OwnershipTable, ZoneName};

use super::OwnershipCommand;
use super::command::StoredTable;
use crate::controller::Mailbox;
use crate::event::Event;

/// Prefix of the tables' keys; the zone follows.
const PREFIX: &str = "/monsoonspread/ownership/";

/// Calls the key-value service and posts the results to the ownership task.
#[derive(Clone)]
pub(super) struct StoreCalls {
    pub(super) store: Arc<dyn KeyValueStore>,
    pub(super) ownership: Mailbox<OwnershipCommand>,
}

impl StoreCalls {
    pub(super) async fn read(self, zone: ZoneName) {
        let read = self.store.get(&key_of(&zone)).await;
        let table = read.and_then(|stored| stored.as_ref().map(decode).transpose());
        let result = table.map_err(|error| log_store_error("read ownership table", &error));
        self.ownership.post(OwnershipCommand::Read(result));
    }

    pub(super) async fn read_all(self) {
        let Ok(stored) = self.store.list(PREFIX).await else {
            return;
        };
        let tables = stored.iter().filter_map(|table| decode(table).ok());
        let tables = tables.collect();
        self.ownership.post(OwnershipCommand::ReadAll(tables));
    }

    pub(super) async fn write(self, table: OwnershipTable, expected_mod_revision: u64) {
        let mut bytes = Vec::new();
        if ciborium::into_writer(&table, &mut bytes).is_err() {
            return;
        }
        let key = key_of(&table.zone);
        let written = self
            .store
            .compare_and_swap(&key, expected_mod_revision, &bytes)
            .await;
        let result = match written.and_then(write_result) {
            Ok(result) => result,
            Err(error) => {
                log_store_error("write ownership table", &error);
                match error {
                    StoreError::AnswerLost(_) => WriteResult::Unknown,
                    StoreError::Unreachable(_) | StoreError::Refused(_) => WriteResult::Unreachable,
                }
            }
        };
        self.ownership.post(OwnershipCommand::Wrote(result));
    }
}

fn key_of(zone: &ZoneName) -> String {
    format!("{PREFIX}{zone}")
}

pub(super) fn write_result(outcome: CasOutcome) -> Result<WriteResult, StoreError> {
    let current = match outcome {
        CasOutcome::Written { mod_revision } => return Ok(WriteResult::Written { mod_revision }),
        CasOutcome::Conflict { current } => current,
    };
    let current = current.as_ref().map(decode).transpose()?;
    Ok(WriteResult::Conflict {
        current: current.map(|stored| (stored.table, stored.mod_revision)),
    })
}

/// Decodes a table. A malformed table is an error and is not treated as absent, which would issue
/// its fencing numbers again.
pub(super) fn decode(stored: &Stored) -> Result<StoredTable, StoreError> {
    let table = ciborium::from_reader(stored.value.as_slice()).map_err(|error| {
        StoreError::Refused(format!("key \"{}\" holds no table: {error}", stored.key))
    })?;
    Ok(StoredTable {
        table,
        mod_revision: stored.mod_revision,
    })
}

fn log_store_error(call: &str, error: &StoreError) {
    Event::StoreUnavailable {
        call,
        error: &error.to_string(),
    }
    .log();
}
