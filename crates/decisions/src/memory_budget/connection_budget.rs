//! Which connections are closed when there are too many.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::MachineShares;

/// How long an answer stays unread before its connection may be closed for others, in milliseconds: a window
/// of a slow link drains several times in it.
const MIN_UNREAD_MS: u64 = 1_000;

/// Who connects.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionKind {
    /// A client.
    Caller,
    /// The platform's readiness check.
    Readiness,
    /// Another instance.
    Peer,
    /// An operator who reads metrics or the state dump.
    Operator,
}

impl ConnectionKind {
    /// The kind as a word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Readiness => "readiness",
            Self::Peer => "peer",
            Self::Operator => "operator",
        }
    }
}

/// Names an open connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is open now.
    Admitted(ConnectionId),
    /// It is open now, and the second one must be closed for it.
    AdmittedInPlaceOf(ConnectionId, ConnectionId),
    /// All connections of this kind are in use.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    kind: ConnectionKind,
    /// Since when it has no request; `None` while it has one.
    idle_since: Option<UnixMs>,
    /// Since when the client has taken nothing of what waits for it.
    unread_since: Option<UnixMs>,
}

/// Open connections, and which of them are closed when there are too many.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    shares: MachineShares,
    unread_timeout_ms: u64,
    next: u64,
    open: BTreeMap<ConnectionId, Connection>,
}

impl ConnectionBudget {
    /// Creates a budget without connections; one whose client takes nothing for `unread_timeout_ms` is closed.
    ///
    /// ```
    /// # use monsoonspread_decisions::memory_budget::{
    /// #     Admission, ConnectionBudget, ConnectionKind, MachineShares};
    /// # use monsoonspread_model::UnixMs;
    /// let shares = MachineShares::new(100_000_000, 1_000);
    /// let mut budget = ConnectionBudget::new(shares, 10_000);
    /// let admission = budget.open(UnixMs(0), ConnectionKind::Caller);
    /// assert!(matches!(admission, Admission::Admitted(_)));
    /// ```
    pub fn new(shares: MachineShares, unread_timeout_ms: u64) -> Self {
        Self {
            shares,
            unread_timeout_ms,
            next: 0,
            open: BTreeMap::new(),
        }
    }

    /// Opens a connection without a request. If there are too many, the one that has been idle for longest is
    /// closed for it, then the one whose answer has been unread for longest.
    pub fn open(&mut self, now: UnixMs, kind: ConnectionKind) -> Admission {
        if self.has_room(kind) {
            return Admission::Admitted(self.insert(now, kind));
        }
        let Some(closed) = self.longest_idle(kind).or_else(|| self.longest_unread(now)) else {
            return Admission::Refused;
        };
        self.close(closed);
        Admission::AdmittedInPlaceOf(self.insert(now, kind), closed)
    }

    /// Opens a connection although there are too many, because a request was ended for it.
    pub fn open_beyond(&mut self, now: UnixMs, kind: ConnectionKind) -> ConnectionId {
        self.insert(now, kind)
    }

    /// Records that a request begins on a connection, or that it is in lasting use.
    pub fn on_request(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.idle_since = None;
        }
    }

    /// Records that a connection has no request any more.
    pub fn on_idle(&mut self, now: UnixMs, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.idle_since = Some(now);
        }
    }

    /// Records that the other end took bytes.
    pub fn on_read(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.unread_since = None;
        }
    }

    /// Records that bytes wait for the other end. Returns the connection to close if too many answers are
    /// unread.
    pub fn on_unread(&mut self, now: UnixMs, id: ConnectionId) -> Option<ConnectionId> {
        let connection = self.open.get_mut(&id)?;
        if connection.unread_since.is_some() {
            return None;
        }
        connection.unread_since = Some(now);
        if self.unread_count() <= self.shares.max_unread {
            return None;
        }
        let closed = self.longest_unread(now)?;
        self.close(closed);
        Some(closed)
    }

    /// Returns the connections to close because their clients take nothing.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<ConnectionId> {
        let timeout_ms = self.unread_timeout_ms;
        let open = self.open.iter();
        let stuck = open.filter(|(_, connection)| {
            let since = connection.unread_since;
            since.is_some_and(|since| now >= since + timeout_ms)
        });
        let mut closed: Vec<ConnectionId> = stuck.map(|(id, _)| *id).collect();
        for id in &closed {
            self.close(*id);
        }
        while self.unread_count() > self.shares.max_unread {
            let Some(longest) = self.longest_unread(now) else {
                break;
            };
            self.close(longest);
            closed.push(longest);
        }
        closed
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Number of open connections of a kind.
    pub fn count(&self, kind: ConnectionKind) -> usize {
        self.of_kind(kind).count()
    }

    /// Number of connections whose other end has bytes waiting.
    pub fn unread_count(&self) -> usize {
        let open = self.open.values();
        open.filter(|connection| connection.unread_since.is_some())
            .count()
    }

    fn insert(&mut self, now: UnixMs, kind: ConnectionKind) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection = Connection {
            kind,
            idle_since: Some(now),
            unread_since: None,
        };
        self.open.insert(id, connection);
        id
    }

    fn of_kind(&self, kind: ConnectionKind) -> impl Iterator<Item = (&ConnectionId, &Connection)> {
        let open = self.open.iter();
        open.filter(move |(_, connection)| connection.kind == kind)
    }

    fn has_room(&self, kind: ConnectionKind) -> bool {
        let idle = self.of_kind(kind);
        let idle = idle.filter(|(_, connection)| connection.idle_since.is_some());
        self.count(kind) < self.shares.max_connections(kind)
            && idle.count() < self.shares.max_idle(kind)
    }

    fn longest_idle(&self, kind: ConnectionKind) -> Option<ConnectionId> {
        let idle = self.of_kind(kind);
        let idle = idle.filter_map(|(id, connection)| Some((connection.idle_since?, *id)));
        idle.min().map(|(_, id)| id)
    }

    fn longest_unread(&self, now: UnixMs) -> Option<ConnectionId> {
        let open = self.open.iter();
        let unread = open.filter_map(|(id, connection)| Some((connection.unread_since?, *id)));
        let longest = unread.min();
        let (_, id) = longest.filter(|(since, _)| now >= *since + MIN_UNREAD_MS)?;
        Some(id)
    }
}
