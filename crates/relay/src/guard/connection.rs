//! An accepted connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use monsoonspread_decisions::memory_budget::ConnectionId;
use tokio::sync::Notify;

use super::registry::Connections;
use crate::clock::SteadyClock;

/// An accepted connection; it counts as open until the last copy is dropped.
#[derive(Debug)]
pub struct GuardedConnection {
    pub(super) connections: Rc<RefCell<Connections>>,
    pub(super) clock: SteadyClock,
    pub(super) id: ConnectionId,
    pub(super) closing: Rc<Notify>,
    pub(super) is_unread: Cell<bool>,
}

impl GuardedConnection {
    /// Runs `connection` until it ends or has to be closed.
    pub async fn run(&self, connection: impl Future) {
        tokio::select! {
            _ = connection => {}
            () = self.closing.notified() => {}
        }
    }

    /// Records that a request begins, or that the connection is in lasting use.
    pub fn on_request(&self) {
        self.connections.borrow_mut().budget.on_request(self.id);
    }

    /// Records that a request has ended.
    pub(super) fn on_idle(&self) {
        let now = self.clock.now();
        self.connections.borrow_mut().budget.on_idle(now, self.id);
    }

    /// Records whether the other end has left bytes unread.
    pub(super) fn on_write(&self, is_unread: bool) {
        if self.is_unread.replace(is_unread) == is_unread {
            return;
        }
        let mut connections = self.connections.borrow_mut();
        if is_unread {
            connections.on_unread(self.clock.now(), self.id);
        } else {
            connections.budget.on_read(self.id);
        }
    }
}

impl Drop for GuardedConnection {
    fn drop(&mut self) {
        self.connections.borrow_mut().remove(self.id);
    }
}
