//! Probes in flight.

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs};

/// An unanswered probe.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: InstanceName,
    pub(super) sent_at: UnixMs,
    pub(super) indirect_requested: bool,
    /// For an indirect probe, the requesting member and its sequence number.
    pub(super) relay: Option<(InstanceName, u64)>,
}

/// Unanswered probes by sequence number.
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

    /// Removes and returns the probes sent at least `timeout_ms` ago.
    pub(super) fn take_expired(&mut self, now: UnixMs, timeout_ms: u64) -> Vec<Probe> {
        let late = |_: &u64, probe: &mut Probe| now >= probe.sent_at + timeout_ms;
        self.open
            .extract_if(.., late)
            .map(|(_, probe)| probe)
            .collect()
    }

    /// Marks direct probes sent at least `timeout_ms` ago as requested from others and returns
    /// the newly marked ones.
    pub(super) fn mark_indirect(
        &mut self,
        now: UnixMs,
        timeout_ms: u64,
    ) -> Vec<(u64, InstanceName)> {
        self.open
            .iter_mut()
            .filter(|(_, probe)| probe.relay.is_none() && !probe.indirect_requested)
            .filter(|(_, probe)| now >= probe.sent_at + timeout_ms)
            .map(|(sequence, probe)| {
                probe.indirect_requested = true;
                (*sequence, probe.target.clone())
            })
            .collect()
    }
}
