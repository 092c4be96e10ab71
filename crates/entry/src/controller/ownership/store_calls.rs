//! Ownership tables in the key-value service.

use std::sync::Arc;

use monsoonspread_decisions::ownership::WriteResult;
use monsoonspread_model::{OwnershipTable, ZoneName};
use monsoonspread_platform::{CasOutcome, KeyValueStore, StoreError, Stored};

use super::OwnershipCommand;
use super::command::StoredTable;
use crate::controller::Mailbox;
use crate::event::Event;

/// Where the tables are kept.
const PREFIX: &str = "/monsoonspread/ownership/";

/// Makes calls on the key-value service and reports to the ownership task.
#[derive(Clone)]
pub(super) struct StoreCalls {
    pub(super) store: Arc<dyn KeyValueStore>,
    pub(super) ownership: Mailbox<OwnershipCommand>,
}

impl StoreCalls {
    pub(super) async fn read(self, zone: ZoneName) {
        let read = self.store.get(&key_of(&zone)).await;
        let result = match read {
            Ok(stored) => Ok(stored.as_ref().and_then(decode)),
            Err(error) => {
                report("read ownership table", &error);
                Err(())
            }
        };
        self.ownership.post(OwnershipCommand::Read(result));
    }

    pub(super) async fn read_all(self) {
        let Ok(stored) = self.store.list(PREFIX).await else {
            return;
        };
        let tables = stored.iter().filter_map(decode).collect();
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
        let result = match written {
            Ok(CasOutcome::Written { mod_revision }) => WriteResult::Written { mod_revision },
            Ok(CasOutcome::Conflict { current }) => WriteResult::Conflict {
                current: current
                    .as_ref()
                    .and_then(decode)
                    .map(|stored| (stored.table, stored.mod_revision)),
            },
            Err(error) => {
                report("write ownership table", &error);
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

fn decode(stored: &Stored) -> Option<StoredTable> {
    let table = ciborium::from_reader(stored.value.as_slice()).ok()?;
    Some(StoredTable {
        table,
        mod_revision: stored.mod_revision,
    })
}

fn report(call: &str, error: &StoreError) {
    Event::StoreUnavailable {
        call,
        error: &error.to_string(),
    }
    .log();
}
