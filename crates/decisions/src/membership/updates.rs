//! Queue of updates to disseminate.

use std::collections::BTreeMap;

use monsoonspread_model::InstanceName;

/// Members whose latest update is still being sent, with the number of sends so far.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    send_counts: BTreeMap<InstanceName, u32>,
}

impl UpdateQueue {
    pub(super) fn len(&self) -> usize {
        self.send_counts.len()
    }

    /// Queues the latest update of `member` and resets its send count.
    pub(super) fn push(&mut self, member: &InstanceName) {
        self.send_counts.insert(member.clone(), 0);
    }

    /// Returns up to `max` members, least sent first; each is returned at most `limit` times.
    pub(super) fn take(&mut self, max: usize, limit: u32) -> Vec<InstanceName> {
        let mut members: Vec<_> = self
            .send_counts
            .iter()
            .map(|(name, count)| (*count, name))
            .collect();
        members.sort_unstable();
        let taken: Vec<_> = members
            .into_iter()
            .take(max)
            .map(|(_, name)| name.clone())
            .collect();
        for name in &taken {
            let count = self.send_counts.entry(name.clone()).or_default();
            *count += 1;
            if *count >= limit {
                self.send_counts.remove(name);
            }
        }
        taken
    }
}
