//! Membership settings.

/// How members are probed and suspected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Interval between probes sent by this instance.
    pub probe_interval_ms: u64,
    /// How long to wait for an answer before requesting indirect probes.
    pub probe_timeout_ms: u64,
    /// How long after an unanswered probe the member is suspected.
    pub suspect_after_ms: u64,
    /// Number of members asked to probe on behalf of this one.
    pub indirect_probes: usize,
    /// How long a suspect has to refute the suspicion, multiplied by the binary logarithm of the
    /// zone's size.
    pub suspicion_ms: u64,
    /// How long a suspect has once another probe by this instance has failed.
    pub min_suspicion_ms: u64,
    /// Expected number of members that verify a reported suspicion, independent of zone size.
    pub confirmations: usize,
    /// Maximum number of updates in one message.
    pub max_updates: usize,
    /// Number of sends of an update, multiplied by the binary logarithm of the number of members.
    pub retransmit_factor: u32,
    /// Number of members notified immediately when this instance leaves.
    pub leave_fan_out: usize,
    /// Interval between probes of dead members.
    pub dead_probe_interval_ms: u64,
    /// How long a dead member that is not listed is remembered.
    pub forget_ms: u64,
    /// A longer gap between two ticks means that this process itself was paused.
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
