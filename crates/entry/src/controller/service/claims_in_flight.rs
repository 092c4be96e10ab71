//! Claims in flight, for the dump.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use monsoonspread_decisions::claims::{Claim, ClaimDump};
use monsoonspread_model::UnixMs;

type Rows = BTreeMap<u64, ClaimDump>;

/// How far each keyed call is.
#[derive(Clone, Debug, Default)]
pub struct ClaimsInFlight {
    rows: Arc<Mutex<Rows>>,
}

impl ClaimsInFlight {
    /// Adds a claim; its row goes when the entry is dropped.
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

    /// Describes every claim.
    pub fn dump(&self) -> Vec<ClaimDump> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One claim's row.
pub(super) struct ClaimRow {
    number: u64,
    claims: ClaimsInFlight,
}

impl ClaimRow {
    /// Shows how far the claim is now.
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
