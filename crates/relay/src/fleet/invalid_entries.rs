//! Invalid entries of the store, which are not used.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_borders::relay::{FleetChange, FleetChanges};

use crate::event::{Line, kind};

/// Maximum number of entries that are remembered, some MB; beyond it they may be logged again.
const MAX_ENTRIES: usize = 10_000;

/// Invalid entries that were logged, so that each is logged once.
#[derive(Debug, Default)]
pub(super) struct InvalidEntries {
    /// Why each entry is invalid, by key.
    problems: BTreeMap<String, String>,
}

impl InvalidEntries {
    /// Logs an invalid entry, unless it was logged with the same problem.
    pub(super) fn on_invalid(&mut self, key: String, problem: String) {
        if self.problems.get(&key) == Some(&problem) {
            return;
        }
        Line::new(&kind::ENTRY_INVALID)
            .field("key", &key)
            .field("problem", &problem)
            .log();
        if self.problems.len() >= MAX_ENTRIES {
            self.problems.clear();
        }
        self.problems.insert(key, problem);
    }

    /// Forgets the entries that are removed or valid now.
    pub(super) fn on_snapshot(&mut self, snapshot: &FleetChanges) {
        let changes = snapshot.changes.iter();
        let invalid: BTreeSet<&String> = changes
            .filter_map(|revised| match &revised.change {
                FleetChange::Unreadable { key, .. } => Some(key),
                _ => None,
            })
            .collect();
        self.problems.retain(|key, _| invalid.contains(key));
    }
}
