//! Memory that request bodies are read into.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use displaydoc::Display;
use monsoonspread_decisions::memory_budget::{BodyBudget, BodyId, BodyReservation, MachineShares};
use monsoonspread_model::UnixMs;
use thiserror::Error;
use tokio::sync::Notify;

/// First reservation for a body of unknown length, in bytes; it doubles as the body grows.
const FIRST_STEP_BYTES: usize = 4 * 1024;

/// the memory for request bodies is in use
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub struct OutOfMemory;

#[derive(Debug)]
struct State {
    budget: BodyBudget,
    /// Wakes the readers of bodies that yield.
    readers: HashMap<BodyId, Arc<Notify>>,
}

/// The budget of all request bodies. Bodies release their memory on whatever thread drops them last.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    state: Arc<Mutex<State>>,
}

impl BodyMemory {
    /// Creates the budget in `shares`.
    pub fn new(shares: MachineShares) -> Self {
        let state = State {
            budget: BodyBudget::new(shares),
            readers: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Begins to read a body of at most `max_bytes`.
    pub fn begin(&self, now: UnixMs, max_bytes: usize) -> ReservedBody {
        let mut state = self.state();
        let id = state.budget.begin(now);
        let yields = Arc::new(Notify::new());
        state.readers.insert(id, Arc::clone(&yields));
        ReservedBody {
            reservation: self.reservation(id),
            max_bytes,
            buffer: Vec::new(),
            yields,
        }
    }

    /// Reserves memory that doesn't yield, for what is kept of a head.
    ///
    /// # Errors
    ///
    /// Fails if the memory is in use by bodies that don't yield.
    pub fn hold(&self, now: UnixMs, bytes: usize) -> Result<Reservation, OutOfMemory> {
        let id = self.state().budget.begin(now);
        let reservation = self.reservation(id);
        reservation.reserve(now, bytes)?;
        self.state().budget.complete(id);
        Ok(reservation)
    }

    /// Makes the largest and slowest body yield; returns whether there is one.
    pub fn yield_one(&self, now: UnixMs) -> bool {
        let mut state = self.state();
        let Some(id) = state.budget.yield_one(now) else {
            return false;
        };
        state.notify(id);
        true
    }

    /// Memory reserved now, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.state().budget.held_bytes()
    }

    fn reservation(&self, id: BodyId) -> Reservation {
        Reservation {
            memory: self.clone(),
            id,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn notify(&mut self, id: BodyId) {
        if let Some(reader) = self.readers.remove(&id) {
            reader.notify_one();
        }
    }
}

/// Reserved memory, which is released on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: BodyMemory,
    id: BodyId,
}

impl Reservation {
    fn reserve(&self, now: UnixMs, bytes: usize) -> Result<(), OutOfMemory> {
        let mut state = self.memory.state();
        match state.budget.reserve(now, self.id, bytes) {
            BodyReservation::Granted(yielding) => {
                yielding.into_iter().for_each(|id| state.notify(id));
                Ok(())
            }
            BodyReservation::Refused => Err(OutOfMemory),
        }
    }

    fn complete(&self) {
        let mut state = self.memory.state();
        state.budget.complete(self.id);
        state.readers.remove(&self.id);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.release(self.id);
        state.readers.remove(&self.id);
    }
}

/// A body in reserved memory.
#[derive(Debug)]
pub struct ReservedBody {
    reservation: Reservation,
    max_bytes: usize,
    buffer: Vec<u8>,
    yields: Arc<Notify>,
}

impl ReservedBody {
    /// Reserves memory for `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails if the memory is in use by bodies that don't yield.
    pub fn reserve(&mut self, now: UnixMs, bytes: usize) -> Result<(), OutOfMemory> {
        self.reservation.reserve(now, bytes)?;
        self.buffer.reserve_exact(bytes - self.buffer.len());
        Ok(())
    }

    /// Number of bytes read so far.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Appends bytes, with more memory if they need it.
    ///
    /// # Errors
    ///
    /// Fails if the memory is in use by bodies that don't yield.
    pub fn extend(&mut self, now: UnixMs, bytes: &[u8]) -> Result<(), OutOfMemory> {
        let needed = self.buffer.len() + bytes.len();
        if needed > self.buffer.capacity() {
            let doubled = (2 * self.buffer.capacity()).max(FIRST_STEP_BYTES);
            self.reserve(now, doubled.min(self.max_bytes).max(needed))?;
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Waits until the body has to yield.
    pub async fn yields(&self) {
        self.yields.notified().await;
    }

    /// Ends the body, which no longer yields. Its memory is released with the last copy of the result.
    pub fn finish(self) -> Bytes {
        self.reservation.complete();
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
