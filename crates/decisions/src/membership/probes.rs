//! Probes under way.

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs};

/// One probe without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: InstanceName,
    pub(super) sent_at: UnixMs,
    pub(super) asked_others: bool,
    /// Whom the answer is for, with its own number, when another asked for this probe.
    pub(super) relay: Option<(InstanceName, u64)>,
}

/// Probes by their number.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    open: BTreeMap<u64, Probe>,
    next_sequence: u64,
}

impl Probes {
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    pub(super) fn start(&mut self, probe: Probe) -> u64 {
        self.next_sequence += 1;
        self.open.insert(self.next_sequence, probe);
        self.next_sequence
    }

    pub(super) fn finish(&mut self, sequence: u64) -> Option<Probe> {
        self.open.remove(&sequence)
    }

    pub(super) fn clear(&mut self) {
        self.open.clear();
    }

    /// Takes those sent `timeout_ms` ago or earlier.
    pub(super) fn take_late(&mut self, now: UnixMs, timeout_ms: u64) -> Vec<Probe> {
        let late = |_: &u64, probe: &mut Probe| now >= probe.sent_at + timeout_ms;
        self.open
            .extract_if(.., late)
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Marks those sent `timeout_ms` ago or earlier as passed to others, and returns them.
    pub(super) fn mark_slow(&mut self, now: UnixMs, timeout_ms: u64) -> Vec<(u64, InstanceName)> {
        self.open
            .iter_mut()
            .filter(|(_, probe)| probe.relay.is_none() && !probe.asked_others)
            .filter(|(_, probe)| now >= probe.sent_at + timeout_ms)
            .map(|(sequence, probe)| {
                probe.asked_others = true;
                (*sequence, probe.target.clone())
            })
            .collect()
    }
}
