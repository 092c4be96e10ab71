//! Settings of membership.

/// How members are probed and suspected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Pause between two probes of this instance.
    pub probe_interval_ms: u64,
    /// How long a probed member has before others are asked to probe it.
    pub probe_timeout_ms: u64,
    /// How long after the probe the member is suspected.
    pub suspect_after_ms: u64,
    /// Members that are asked to probe for this one.
    pub indirect_probes: usize,
    /// How long a suspect has to refute it, times the binary logarithm of the zone's size.
    pub suspicion_ms: u64,
    /// How long a suspect has once a further probe of this instance has failed.
    pub min_suspicion_ms: u64,
    /// Expected number of members that check a suspicion they hear of, in a zone of any size.
    pub confirmations: usize,
    /// Updates in one message.
    pub max_updates: usize,
    /// Sends of an update, times the binary logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Members that are told at once that this instance leaves.
    pub leave_fan_out: usize,
    /// Pause between two probes of members that count as dead.
    pub dead_probe_interval_ms: u64,
    /// How long a dead member is remembered after it vanished from the list.
    pub forget_ms: u64,
    /// A longer pause between two ticks means that this instance itself stood still.
    pub max_tick_gap_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 200,
            probe_timeout_ms: 100,
            suspect_after_ms: 300,
            indirect_probes: 3,
            suspicion_ms: 500,
            min_suspicion_ms: 500,
            confirmations: 8,
            max_updates: 8,
            retransmit_factor: 3,
            leave_fan_out: 4,
            dead_probe_interval_ms: 2_000,
            forget_ms: 60_000,
            max_tick_gap_ms: 1_000,
        }
    }
}
