//! Claims in flight, for the dump.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use monsoonspread_decisions::claims::{Claim, ClaimDump};
use monsoonspread_model::UnixMs;

type Rows = BTreeMap<u64, ClaimDump>;

/// Progress of each keyed call in flight.
#[derive(Clone, Debug, Default)]
pub struct ClaimsInFlight {
    rows: Arc<Mutex<Rows>>,
}

impl ClaimsInFlight {
    /// Adds a row for the claim; the row is removed when the returned guard is dropped.
    pub(super) fn register(&self, claim: &Claim) -> ClaimRow {
        let mut rows = self.lock();
        let number = rows.last_key_value().map_or(0, |(last, _)| last + 1);
        rows.insert(number, claim.dump(UnixMs::now()));
        drop(rows);
        ClaimRow {
            number,
            claims: self.clone(),
        }
    }

    /// Describes every claim in flight.
    pub fn dump(&self) -> Vec<ClaimDump> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of one claim's row.
pub(super) struct ClaimRow {
    number: u64,
    claims: ClaimsInFlight,
}

impl ClaimRow {
    /// Updates the row to the claim's current state.
    pub(super) fn update(&self, claim: &Claim) {
        let row = claim.dump(UnixMs::now());
        self.claims.lock().insert(self.number, row);
    }
}

impl Drop for ClaimRow {
    fn drop(&mut self) {
        self.claims.lock().remove(&self.number);
    }
}
