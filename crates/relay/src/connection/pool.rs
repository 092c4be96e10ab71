//! Pool of idle connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use monsoonspread_model::UnixMs;

use super::{SendFailure, UpstreamSender};
use crate::clock::SteadyClock;

/// Maximum number of idle connections per upstream.
///
/// More than run concurrently in a calm minute; bursts open additional ones.
const MAX_IDLE: usize = 16;
/// Keep-alive time of an upstream that doesn't announce one, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 4_000;
/// Subtracted from the announced keep-alive time, in milliseconds, as a request may be in transit
/// that long.
const KEEP_ALIVE_MARGIN_MS: u64 = 100;
/// Maximum idle time of a connection that is reused for non-repeatable work, in milliseconds.
///
/// An upstream may close an idle connection unnoticed; a recently used one is safe.
const MAX_UNREPEATABLE_IDLE_MS: u64 = 1_000;

struct Idle {
    sender: UpstreamSender,
    since: UnixMs,
    until: UnixMs,
}

/// Idle connections to upstreams.
#[derive(Clone)]
pub struct Pool {
    clock: SteadyClock,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
    /// Maximum number of idle connections to upstreams that accept fewer than [`MAX_IDLE`] of each instance.
    max_idle: Rc<RefCell<HashMap<SocketAddr, usize>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: SteadyClock) -> Self {
        Self {
            clock,
            idle: Rc::default(),
            max_idle: Rc::default(),
        }
    }

    /// Sets how many connections each upstream accepts of this instance.
    pub fn on_shares(&self, shares: impl Iterator<Item = (SocketAddr, usize)>) {
        let scarce = shares.filter(|(_, share)| *share < MAX_IDLE);
        *self.max_idle.borrow_mut() = scarce.collect();
    }

    /// Takes the most recently used connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if no connection is established in time.
    pub async fn take(
        &self,
        address: SocketAddr,
        repeatable: bool,
    ) -> Result<PooledSender, SendFailure> {
        let (sender, was_used) = match self.take_idle(address, repeatable) {
            Some(sender) => (sender, true),
            None => (UpstreamSender::connect(address).await?, false),
        };
        Ok(PooledSender {
            pool: self.clone(),
            address,
            sender,
            was_used,
        })
    }

    /// Closes connections that have been idle too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for senders in idle.values_mut() {
            senders.retain(|idle| now < idle.until && idle.sender.is_ready());
        }
        idle.retain(|_, senders| !senders.is_empty());
    }

    fn take_idle(&self, address: SocketAddr, repeatable: bool) -> Option<UpstreamSender> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        while let Some(idle) = senders.pop() {
            let fresh = repeatable || now.ms_since(idle.since) < MAX_UNREPEATABLE_IDLE_MS;
            if now < idle.until && fresh && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: UpstreamSender, keep_alive_ms: Option<u64>) {
        let now = self.clock.now();
        let kept_ms = keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS);
        let until = now + kept_ms.saturating_sub(KEEP_ALIVE_MARGIN_MS);
        let max_idle = self.max_idle.borrow().get(&address).copied();
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(address).or_default();
        if senders.len() < max_idle.unwrap_or(MAX_IDLE) {
            senders.push(Idle {
                sender,
                since: now,
                until,
            });
        }
    }
}

/// A connection that returns to its pool after a complete answer.
pub struct PooledSender {
    pool: Pool,
    address: SocketAddr,
    pub sender: UpstreamSender,
    /// Whether the connection has served an earlier request.
    pub was_used: bool,
}

impl PooledSender {
    /// Returns the connection to the pool; `keep_alive_ms` is the keep-alive time that the upstream
    /// announced.
    pub fn return_to_pool(self, keep_alive_ms: Option<u64>) {
        self.pool.put(self.address, self.sender, keep_alive_ms);
    }
}
