//! Recent deltas.

use std::collections::VecDeque;

use monsoonspread_model::BundleVersion;
use monsoonspread_model::bundle::BundleDelta;

/// Consecutive deltas, oldest first, bounded in number and total entries.
#[derive(Clone, Debug)]
pub(super) struct History {
    deltas: VecDeque<BundleDelta>,
    max_deltas: usize,
    max_entries: usize,
}

impl History {
    pub(super) fn new(max_deltas: usize, max_entries: usize) -> Self {
        Self {
            deltas: VecDeque::new(),
            max_deltas,
            max_entries,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.deltas.len()
    }

    /// Adds the newest delta. Discards all earlier ones if it does not continue them.
    pub(super) fn push(&mut self, delta: BundleDelta) {
        let follows = self.deltas.back().is_none_or(|last| last.to == delta.from);
        if !follows {
            self.deltas.clear();
        }
        self.deltas.push_back(delta);
        while self.deltas.len() > self.max_deltas || self.total_entries() > self.max_entries {
            self.deltas.pop_front();
        }
    }

    /// The changes from `have` to the newest version as one delta; `None` if no kept delta starts
    /// at `have`.
    pub(super) fn since(&self, have: BundleVersion) -> Option<BundleDelta> {
        let start = self.deltas.iter().position(|delta| delta.from == have)?;
        let mut deltas = self.deltas.range(start..).cloned();
        let first = deltas.next()?;
        Some(deltas.fold(first, merge))
    }

    fn total_entries(&self) -> usize {
        self.deltas.iter().map(entry_count).sum()
    }
}

fn entry_count(delta: &BundleDelta) -> usize {
    delta.adapters.len() + delta.callers.len() + delta.services.len()
}

fn merge(mut first: BundleDelta, second: BundleDelta) -> BundleDelta {
    first.to = second.to;
    first.adapters.extend(second.adapters);
    first.callers.extend(second.callers);
    first.services.extend(second.services);
    first
}
