//! Batching of creates into transactions.

use std::collections::{BTreeMap, VecDeque};

use monsoonspread_model::UnixMs;

use super::{BatchAction, BatchSettings, ClaimKey, ClaimRecord, CreateResult};

/// Batches creates for a few milliseconds to stay within the write rate of the key-value service.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: BatchSettings,
    waiting: VecDeque<Waiting>,
    in_flight: BTreeMap<u64, Vec<(ClaimKey, ClaimRecord)>>,
    next_batch: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    key: ClaimKey,
    record: ClaimRecord,
    due_unix_ms: UnixMs,
    alone: bool,
}

impl ClaimBatcher {
    /// Creates an empty batcher.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::{BatchSettings, ClaimBatcher};
    /// # use monsoonspread_model::UnixMs;
    /// let mut batcher = ClaimBatcher::new(BatchSettings::default());
    /// assert!(batcher.on_tick(UnixMs(0)).is_empty());
    /// ```
    pub fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_batch: 1,
        }
    }

    /// When `on_tick` must be called next; `None` if nothing can be sent.
    pub fn next_due(&self) -> Option<UnixMs> {
        let may_send = self.in_flight.len() < self.settings.max_in_flight;
        self.waiting
            .front()
            .filter(|_| may_send)
            .map(|first| first.due_unix_ms)
    }

    /// Adds a create; returns the batches that are due.
    pub fn on_create(
        &mut self,
        now: UnixMs,
        key: ClaimKey,
        record: ClaimRecord,
    ) -> Vec<BatchAction> {
        self.waiting.push_back(Waiting {
            key,
            record,
            due_unix_ms: now + self.settings.window_ms,
            alone: false,
        });
        self.on_tick(now)
    }

    /// Returns the batches that are due.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<BatchAction> {
        let mut actions = Vec::new();
        while self.is_due(now) {
            let entries = self.take_batch();
            let batch = self.next_batch;
            self.next_batch += 1;
            self.in_flight.insert(batch, entries.clone());
            actions.push(BatchAction::CreateAll { batch, entries });
        }
        actions
    }

    /// Every entry of `batch` was created.
    pub fn on_created(
        &mut self,
        now: UnixMs,
        batch: u64,
        mod_revision: Option<u64>,
    ) -> Vec<BatchAction> {
        self.finish(now, batch, &CreateResult::Created(mod_revision))
    }

    /// No entry of `batch` was created because some keys exist; `found` is in the order of the
    /// entries.
    pub fn on_exists(
        &mut self,
        now: UnixMs,
        batch: u64,
        found: Vec<Option<(ClaimRecord, u64)>>,
    ) -> Vec<BatchAction> {
        let mut actions = Vec::new();
        let entries = self.in_flight.remove(&batch).unwrap_or_default();
        for ((key, record), found) in entries.into_iter().zip(found) {
            match found {
                Some((present, mod_revision)) => actions.push(BatchAction::Result {
                    record,
                    result: CreateResult::Exists(present, mod_revision),
                }),
                None => self.waiting.push_front(Waiting {
                    key,
                    record,
                    due_unix_ms: now,
                    alone: true,
                }),
            }
        }
        actions.extend(self.on_tick(now));
        actions
    }

    /// The answer to `batch` was lost.
    pub fn on_unknown(&mut self, now: UnixMs, batch: u64) -> Vec<BatchAction> {
        self.finish(now, batch, &CreateResult::Unknown)
    }

    /// `batch` did not reach the key-value service.
    pub fn on_unreachable(&mut self, now: UnixMs, batch: u64) -> Vec<BatchAction> {
        self.finish(now, batch, &CreateResult::Unreachable)
    }

    fn is_due(&self, now: UnixMs) -> bool {
        let full = self.waiting.len() >= self.settings.max_entries;
        self.next_due().is_some_and(|due| full || now >= due)
    }

    /// Takes the next batch from the front of the queue; a key occurs in a batch only once.
    fn take_batch(&mut self) -> Vec<(ClaimKey, ClaimRecord)> {
        let alone = self.waiting.front().is_some_and(|first| first.alone);
        let limit = if alone { 1 } else { self.settings.max_entries };
        let mut entries = Vec::<(ClaimKey, ClaimRecord)>::new();
        let mut rest = VecDeque::new();
        for waiting in self.waiting.drain(..) {
            let taken = entries.iter().any(|(key, _)| *key == waiting.key);
            if entries.len() >= limit || taken || waiting.alone != alone {
                rest.push_back(waiting);
            } else {
                entries.push((waiting.key, waiting.record));
            }
        }
        self.waiting = rest;
        entries
    }

    fn finish(&mut self, now: UnixMs, batch: u64, result: &CreateResult) -> Vec<BatchAction> {
        let entries = self.in_flight.remove(&batch).unwrap_or_default();
        let mut actions: Vec<_> = entries
            .into_iter()
            .map(|(_, record)| BatchAction::Result {
                record,
                result: result.clone(),
            })
            .collect();
        actions.extend(self.on_tick(now));
        actions
    }
}
