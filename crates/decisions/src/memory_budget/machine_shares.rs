//! Split of a machine's memory and descriptors.

use super::ConnectionKind;

/// Part of the memory for request bodies, as a divisor. Together, the shares leave three eighths for the
/// process's own state and for what the allocator and the kernel add.
const BODY_DIVISOR: usize = 4;
/// Part of the memory for answers that clients don't read, as a divisor.
const ANSWER_DIVISOR: usize = 8;
/// Part of the memory for connections of callers, as a divisor.
const CONNECTION_DIVISOR: usize = 4;
/// Memory of a connection that holds an incomplete head of the usual limit, in bytes: 16 KB, and its state.
const CONNECTION_BYTES: usize = 24 * 1024;
/// Memory of a connection whose client doesn't read its answer, in bytes: a read and a write buffer of 32 KB
/// each to the client and to the upstream.
const UNREAD_ANSWER_BYTES: usize = 128 * 1024;
/// Descriptors kept for files, timers and the store: what the platform sets aside.
const MAX_KEPT_DESCRIPTORS: usize = 200;
/// Part of the descriptors that may be kept for these, as a divisor.
const KEPT_DIVISOR: usize = 4;
/// Part of the other descriptors for callers, as a divisor: each request may need another one to its upstream.
const CALLER_DIVISOR: usize = 2;
/// Part of the other descriptors for connections from instances, as a divisor: all instances of the target's
/// size, 1,700, may connect to one.
const PEER_DIVISOR: usize = 2;
/// Part of these that may belong to instances that haven't named themselves yet, as a divisor.
const UNNAMED_PEER_DIVISOR: usize = 4;
/// Part of the memory for bodies that is kept free of large ones, as a divisor.
const SMALL_BODY_DIVISOR: usize = 2;
/// What a request holds of it: a head and a body.
const PARTS_OF_A_REQUEST: usize = 2;
/// Connections of readiness checks, and of operators, that may be open at once: they come one at a time.
const FEW_CONNECTIONS: usize = 16;

/// What a process may hold for others, from the memory and the descriptors of its machine.
///
/// ```
/// # use monsoonspread_decisions::memory_budget::MachineShares;
/// let shares = MachineShares::new(160_000_000, 4_000);
/// assert_eq!(shares.body_bytes, 40_000_000);
/// assert!(shares.max_callers < 2_000);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineShares {
    /// Memory for request bodies, in bytes.
    pub body_bytes: usize,
    /// Part of it that only small bodies may use, in bytes.
    pub small_bodies_bytes: usize,
    /// Largest body or head that is small, in bytes: every connection of a caller may hold one of each.
    pub small_body_bytes: usize,
    /// Connections whose clients don't read their answers.
    pub max_unread: usize,
    /// Connections of callers.
    pub max_callers: usize,
    /// Connections of other instances.
    pub max_peers: usize,
    /// Connections of other instances that haven't named themselves yet.
    pub max_unnamed_peers: usize,
}

impl MachineShares {
    /// Splits `memory_bytes` and `max_descriptors`.
    pub fn new(memory_bytes: usize, max_descriptors: usize) -> Self {
        let kept = MAX_KEPT_DESCRIPTORS.min(max_descriptors / KEPT_DIVISOR);
        let sockets = max_descriptors - kept;
        let by_memory = memory_bytes / CONNECTION_DIVISOR / CONNECTION_BYTES;
        let max_callers = by_memory.min(sockets / CALLER_DIVISOR).max(1);
        let max_peers = (sockets / PEER_DIVISOR).max(1);
        let body_bytes = memory_bytes / BODY_DIVISOR;
        let small_bodies_bytes = body_bytes / SMALL_BODY_DIVISOR;
        Self {
            body_bytes,
            small_bodies_bytes,
            small_body_bytes: small_bodies_bytes / max_callers / PARTS_OF_A_REQUEST,
            max_unread: (memory_bytes / ANSWER_DIVISOR / UNREAD_ANSWER_BYTES).max(1),
            max_callers,
            max_peers,
            max_unnamed_peers: (max_peers / UNNAMED_PEER_DIVISOR).max(1),
        }
    }

    /// Returns how many connections of this kind may be open.
    pub(super) fn max_connections(&self, kind: ConnectionKind) -> usize {
        match kind {
            ConnectionKind::Caller => self.max_callers,
            ConnectionKind::Peer => self.max_peers,
            ConnectionKind::Readiness | ConnectionKind::Operator => FEW_CONNECTIONS,
        }
    }

    /// Returns how many of these may be open without a request.
    pub(super) fn max_idle(&self, kind: ConnectionKind) -> usize {
        match kind {
            ConnectionKind::Peer => self.max_unnamed_peers,
            _ => self.max_connections(kind),
        }
    }
}
