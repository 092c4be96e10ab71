//! All accepted connections, and the memory of all request bodies.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::memory_budget::{
    Admission, ConnectionBudget, ConnectionId, ConnectionKind,
};
use monsoonspread_model::UnixMs;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::machine::machine_shares;
use super::{BodyMemory, GuardedConnection, GuardedStream, ThrottledLog};
use crate::clock::SteadyClock;
use crate::event::kind;
use crate::metrics::Metrics;
use crate::settings::RelaySettings;

/// Pause after a failed accept, in milliseconds, usually because file descriptors ran out.
const ACCEPT_RETRY_MS: u64 = 10;

/// Open connections, with the means to close each.
#[derive(Debug)]
pub(super) struct Connections {
    pub(super) budget: ConnectionBudget,
    closing: HashMap<ConnectionId, Rc<Notify>>,
    /// Connections that were closed because their answers were unread, since this was last taken.
    closed_unread: u64,
}

impl Connections {
    pub(super) fn on_unread(&mut self, now: UnixMs, id: ConnectionId) {
        if let Some(closed) = self.budget.on_unread(now, id) {
            self.notify(closed);
            self.closed_unread += 1;
        }
    }

    pub(super) fn remove(&mut self, id: ConnectionId) {
        self.budget.close(id);
        self.closing.remove(&id);
    }

    fn notify(&mut self, id: ConnectionId) {
        if let Some(closing) = self.closing.remove(&id) {
            closing.notify_one();
        }
    }
}

/// Bounds what the process holds for callers.
pub struct Guard {
    /// Memory of request bodies.
    pub bodies: BodyMemory,
    /// Log lines on callers that are refused or closed.
    pub log: ThrottledLog,
    connections: Rc<RefCell<Connections>>,
    clock: SteadyClock,
}

impl Guard {
    /// Creates the bounds for the machine of `settings`.
    pub fn new(settings: &RelaySettings, clock: SteadyClock) -> Self {
        let shares = machine_shares(&settings.machine);
        let connections = Connections {
            budget: ConnectionBudget::new(shares, settings.callers.unread_ms),
            closing: HashMap::new(),
            closed_unread: 0,
        };
        Self {
            bodies: BodyMemory::new(shares),
            log: ThrottledLog::default(),
            connections: Rc::new(RefCell::new(connections)),
            clock,
        }
    }

    /// Waits for the next connection that may be open.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        kind: ConnectionKind,
        metrics: &Metrics,
    ) -> (GuardedStream, Rc<GuardedConnection>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(opened) = self.open(stream, kind, metrics) {
                        return opened;
                    }
                }
                Err(error) => {
                    metrics.count("connections", "accept_failed");
                    let now = self.clock.now();
                    self.log.log(now, &kind::ACCEPT_FAILED, |line| {
                        line.field("kind", kind.word()).field("error", error)
                    });
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    /// Closes connections whose other end takes nothing.
    pub fn on_tick(&self, metrics: &Metrics) {
        let now = self.clock.now();
        let mut connections = self.connections.borrow_mut();
        let closed = connections.budget.on_tick(now);
        for id in &closed {
            connections.notify(*id);
        }
        let unread = closed.len() as u64 + std::mem::take(&mut connections.closed_unread);
        drop(connections);
        for _ in 0..unread {
            self.count_closed(metrics, "closed_unread", "unread");
        }
    }

    /// Number of open connections of a kind.
    pub fn open_connections(&self, kind: ConnectionKind) -> usize {
        self.connections.borrow().budget.count(kind)
    }

    fn open(
        &self,
        stream: TcpStream,
        kind: ConnectionKind,
        metrics: &Metrics,
    ) -> Option<(GuardedStream, Rc<GuardedConnection>)> {
        let now = self.clock.now();
        let mut connections = self.connections.borrow_mut();
        let id = match connections.budget.open(now, kind) {
            Admission::Admitted(id) => id,
            Admission::AdmittedInPlaceOf(id, closed) => {
                connections.notify(closed);
                self.count_closed(metrics, "closed_idle", kind.word());
                id
            }
            Admission::Refused if self.bodies.yield_one(now) => {
                connections.budget.open_beyond(now, kind)
            }
            Admission::Refused => {
                self.count_closed(metrics, "refused", kind.word());
                return None;
            }
        };
        let closing = Rc::new(Notify::new());
        connections.closing.insert(id, Rc::clone(&closing));
        drop(connections);
        // Without it events may be delayed; the connection still works.
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(GuardedConnection {
            connections: Rc::clone(&self.connections),
            clock: self.clock,
            id,
            closing,
            is_unread: Cell::new(false),
        });
        let stream = GuardedStream::new(stream, Rc::clone(&connection));
        Some((stream, connection))
    }

    fn count_closed(&self, metrics: &Metrics, outcome: &'static str, what: &str) {
        metrics.count("connections", outcome);
        let now = self.clock.now();
        self.log.log(now, &kind::CONNECTION_CLOSED, |line| {
            line.field("outcome", outcome).field("kind", what)
        });
    }
}
