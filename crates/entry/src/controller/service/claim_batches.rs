//! Task that batches the creation of claim records.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::{CreateOutcome, KeyValueStore, StoreError};
use monsoonspread_decisions::claims::{
    BatchAction, BatchSettings, ClaimBatcher, ClaimKey, ClaimRecord, ClaimToken, CreateResult,
};
use monsoonspread_model::UnixMs;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::keyed::decode;
use crate::controller::Mailbox;

/// Longest wait between two ticks of the batcher.
const MAX_WAIT_MS: u64 = 1_000;

/// Command for the task that batches claims.
pub enum ClaimBatchCommand {
    /// Create a claim record.
    Create {
        /// Key of the claim.
        key: ClaimKey,
        /// Record to create.
        record: ClaimRecord,
        /// Receives the result.
        reply: oneshot::Sender<CreateResult>,
    },
    /// A transaction ended.
    Ended {
        /// Number of the transaction's batch.
        batch: u64,
        /// Result of the transaction.
        result: Result<CreateOutcome, StoreError>,
    },
}

/// Owns the claim records that are waiting to be created or being created.
pub struct ClaimBatches {
    batcher: ClaimBatcher,
    waiting: HashMap<ClaimToken, oneshot::Sender<CreateResult>>,
    store: Arc<dyn KeyValueStore>,
    mailbox: Mailbox<ClaimBatchCommand>,
    commands: mpsc::Receiver<ClaimBatchCommand>,
}

impl ClaimBatches {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(
        store: Arc<dyn KeyValueStore>,
        mailbox: Mailbox<ClaimBatchCommand>,
        commands: mpsc::Receiver<ClaimBatchCommand>,
    ) -> Self {
        Self {
            batcher: ClaimBatcher::new(BatchSettings::default()),
            waiting: HashMap::new(),
            store,
            mailbox,
            commands,
        }
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        loop {
            let due = self.batcher.next_due();
            let wait_ms = due.map_or(MAX_WAIT_MS, |due| due.ms_since(UnixMs::now()));
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                () = sleep(Duration::from_millis(wait_ms)) => {
                    let actions = self.batcher.on_tick(UnixMs::now());
                    self.carry_out(actions);
                }
            }
        }
    }

    fn on_command(&mut self, command: ClaimBatchCommand) {
        let now = UnixMs::now();
        let actions = match command {
            ClaimBatchCommand::Create { key, record, reply } => {
                self.waiting.insert(record.token.clone(), reply);
                self.batcher.on_create(now, key, record)
            }
            ClaimBatchCommand::Ended { batch, result } => self.on_ended(now, batch, result),
        };
        self.carry_out(actions);
    }

    fn on_ended(
        &mut self,
        now: UnixMs,
        batch: u64,
        result: Result<CreateOutcome, StoreError>,
    ) -> Vec<BatchAction> {
        match result {
            Ok(CreateOutcome::Created) => self.batcher.on_created(now, batch, None),
            Ok(CreateOutcome::Exists(found)) => {
                let all_valid = found
                    .iter()
                    .flatten()
                    .all(|stored| decode(stored).is_some());
                if !all_valid {
                    return self.batcher.on_unknown(now, batch);
                }
                let found = found
                    .iter()
                    .map(|stored| stored.as_ref().and_then(decode))
                    .collect();
                self.batcher.on_exists(now, batch, found)
            }
            Err(StoreError::AnswerLost(_)) => self.batcher.on_unknown(now, batch),
            Err(_) => self.batcher.on_unreachable(now, batch),
        }
    }

    fn carry_out(&mut self, actions: Vec<BatchAction>) {
        for action in actions {
            match action {
                BatchAction::CreateAll { batch, entries } => self.create_all(batch, &entries),
                BatchAction::Result { record, result } => {
                    if let Some(reply) = self.waiting.remove(&record.token) {
                        let _ = reply.send(result);
                    }
                }
            }
        }
    }

    fn create_all(&self, batch: u64, entries: &[(ClaimKey, ClaimRecord)]) {
        let entries: Vec<(String, Vec<u8>)> = entries
            .iter()
            .map(|(key, record)| {
                let bytes = serde_json::to_vec(record).unwrap_or_default();
                (key.to_string(), bytes)
            })
            .collect();
        let store = Arc::clone(&self.store);
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            let result = store.create_all(&entries).await;
            mailbox.post(ClaimBatchCommand::Ended { batch, result });
        });
    }
}
