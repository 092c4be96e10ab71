//! Updates that are still to be told.

use std::collections::BTreeMap;

use monsoonspread_model::InstanceName;

/// Members whose latest update is still to be told, with the number of sends so far.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    sends: BTreeMap<InstanceName, u32>,
}

impl UpdateQueue {
    pub(super) fn len(&self) -> usize {
        self.sends.len()
    }

    /// Starts to tell of `member` anew.
    pub(super) fn push(&mut self, member: &InstanceName) {
        self.sends.insert(member.clone(), 0);
    }

    /// Takes up to `max` members, least told first; each is told `limit` times at most.
    pub(super) fn take(&mut self, max: usize, limit: u32) -> Vec<InstanceName> {
        let mut members: Vec<_> = self
            .sends
            .iter()
            .map(|(name, sends)| (*sends, name))
            .collect();
        members.sort_unstable();
        let taken: Vec<_> = members
            .into_iter()
            .take(max)
            .map(|(_, name)| name.clone())
            .collect();
        for name in &taken {
            let sends = self.sends.entry(name.clone()).or_default();
            *sends += 1;
            if *sends >= limit {
                self.sends.remove(name);
            }
        }
        taken
    }
}
