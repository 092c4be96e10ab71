//! Reads and writes of the table in the key-value service.

use monsoonspread_model::{Epoch, OwnershipTable, UnixMs};

use super::OwnershipAction;

/// Reads and writes the zone's table with at most one call in flight.
#[derive(Clone, Debug)]
pub(super) struct Writer {
    call: StoreCall,
    /// Revision of the key's last write, 0 when absent, `None` when unknown.
    mod_revision: Option<u64>,
    retry_at: UnixMs,
    wanted: Option<Wanted>,
    /// Lowest number that no known table has issued.
    first_epoch: Epoch,
}

/// A planned table that is not written yet.
#[derive(Clone, Debug)]
struct Wanted {
    table: OwnershipTable,
    since_unix_ms: UnixMs,
}

/// The call in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
enum StoreCall {
    Idle,
    Reading,
    Writing(OwnershipTable),
}

impl Writer {
    pub(super) fn new() -> Self {
        Self {
            call: StoreCall::Idle,
            mod_revision: None,
            retry_at: UnixMs(0),
            wanted: None,
            first_epoch: Epoch(1),
        }
    }

    pub(super) fn first_epoch(&self) -> Epoch {
        self.first_epoch
    }

    /// Records the state of the key as read from or confirmed by the service.
    pub(super) fn record_store_state(&mut self, mod_revision: u64, next_epoch: Epoch) {
        self.mod_revision = Some(mod_revision);
        self.note_issued(next_epoch);
    }

    /// Records that numbers below `next_epoch` have been issued.
    pub(super) fn note_issued(&mut self, next_epoch: Epoch) {
        self.first_epoch = self.first_epoch.max(next_epoch);
    }

    /// Invalidates the known revision, because a peer reported a newer table.
    pub(super) fn forget_revision(&mut self) {
        self.mod_revision = None;
    }

    /// Allows no call before `retry_at`.
    pub(super) fn pause_until(&mut self, retry_at: UnixMs) {
        self.retry_at = retry_at;
    }

    /// Sets the wanted table and since when; an unchanged table keeps its earlier time.
    pub(super) fn want(&mut self, since: UnixMs, table: Option<OwnershipTable>) {
        let before = self.wanted.take();
        self.wanted = table.map(|table| {
            let since_unix_ms = before
                .filter(|before| before.table == table)
                .map_or(since, |before| before.since_unix_ms);
            Wanted {
                table,
                since_unix_ms,
            }
        });
    }

    /// Whether a table is wanted and no call or pause prevents its write.
    pub(super) fn may_write(&self, now: UnixMs) -> bool {
        self.wanted.is_some() && self.is_ready(now)
    }

    /// Writes the wanted table once it has waited for `delay_ms`. Reads first if the revision of
    /// the key is unknown.
    pub(super) fn write_if_due(&mut self, now: UnixMs, delay_ms: u64) -> Option<OwnershipAction> {
        let wanted = self.wanted.as_ref()?;
        if now < wanted.since_unix_ms + delay_ms || !self.is_ready(now) {
            return None;
        }
        let Some(expected_mod_revision) = self.mod_revision else {
            return self.read_if_ready(now);
        };
        let table = wanted.table.clone();
        self.call = StoreCall::Writing(table.clone());
        Some(OwnershipAction::WriteTable {
            table,
            expected_mod_revision,
        })
    }

    pub(super) fn read_if_ready(&mut self, now: UnixMs) -> Option<OwnershipAction> {
        self.is_ready(now).then(|| self.read())
    }

    pub(super) fn read(&mut self) -> OwnershipAction {
        self.mod_revision = None;
        self.call = StoreCall::Reading;
        OwnershipAction::ReadTable
    }

    pub(super) fn end_read(&mut self) {
        if self.call == StoreCall::Reading {
            self.call = StoreCall::Idle;
        }
    }

    /// Ends the write in flight and returns its table; `None` when there is none.
    pub(super) fn end_write(&mut self) -> Option<OwnershipTable> {
        let StoreCall::Writing(_) = self.call else {
            return None;
        };
        match std::mem::replace(&mut self.call, StoreCall::Idle) {
            StoreCall::Writing(table) => Some(table),
            StoreCall::Idle | StoreCall::Reading => None,
        }
    }

    fn is_ready(&self, now: UnixMs) -> bool {
        self.call == StoreCall::Idle && now >= self.retry_at
    }
}
