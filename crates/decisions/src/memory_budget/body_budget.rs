//! Memory reserved for request bodies.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

use super::MachineShares;

/// How long a body is read before it may yield to others, in milliseconds: the slowest link of a machine,
/// 10 Mbit/s, carries 1 MB in less.
const MIN_AGE_MS: u64 = 1_000;

/// Names a body within its budget.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

/// Outcome of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyReservation {
    /// The memory is reserved. The bodies listed yield: their requests must be refused now, and their memory
    /// no longer counts.
    Granted(Vec<BodyId>),
    /// There isn't enough memory.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Body {
    reserved_bytes: usize,
    begun_at: UnixMs,
    is_complete: bool,
}

impl Body {
    /// How much a body holds and for how long: the largest and slowest rank first.
    fn occupancy(&self, now: UnixMs) -> u64 {
        now.ms_since(self.begun_at) * self.reserved_bytes as u64
    }

    fn may_yield(&self, now: UnixMs) -> bool {
        !self.is_complete && now.ms_since(self.begun_at) >= MIN_AGE_MS
    }
}

/// Memory reserved for request bodies.
///
/// A part is kept free of large bodies, so that ordinary requests are served while a crowd of large ones holds
/// the rest. A single large body is always admitted.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    shares: MachineShares,
    held_bytes: usize,
    next: u64,
    bodies: BTreeMap<BodyId, Body>,
}

impl BodyBudget {
    /// Creates a budget of the memory in `shares`.
    ///
    /// ```
    /// # use monsoonspread_decisions::memory_budget::{BodyBudget, BodyReservation, MachineShares};
    /// # use monsoonspread_model::UnixMs;
    /// let mut budget = BodyBudget::new(MachineShares::new(100_000_000, 1_000));
    /// let body = budget.begin(UnixMs(0));
    /// assert_eq!(budget.reserve(UnixMs(0), body, 5_000), BodyReservation::Granted(vec![]));
    /// budget.release(body);
    /// assert_eq!(budget.held_bytes(), 0);
    /// ```
    pub fn new(shares: MachineShares) -> Self {
        Self {
            shares,
            held_bytes: 0,
            next: 0,
            bodies: BTreeMap::new(),
        }
    }

    /// Memory reserved now, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Begins a body, without memory.
    pub fn begin(&mut self, now: UnixMs) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        let body = Body {
            reserved_bytes: 0,
            begun_at: now,
            is_complete: false,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Reserves `bytes` in all for a body that is being read.
    pub fn reserve(&mut self, now: UnixMs, id: BodyId, bytes: usize) -> BodyReservation {
        let Some(body) = self.bodies.get(&id).copied() else {
            return BodyReservation::Refused;
        };
        let more_bytes = bytes.saturating_sub(body.reserved_bytes);
        let Some(yielding) = self.yielding(now, id, bytes, more_bytes) else {
            return BodyReservation::Refused;
        };
        for other in &yielding {
            self.release(*other);
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.reserved_bytes += more_bytes;
            self.held_bytes += more_bytes;
        }
        BodyReservation::Granted(yielding)
    }

    /// Marks a body as completely read: it no longer yields, as its request may run.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Releases a body, if it holds any memory.
    pub fn release(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.held_bytes -= body.reserved_bytes;
        }
    }

    /// Releases the largest and slowest body that may yield, for another reason than its memory.
    pub fn yield_one(&mut self, now: UnixMs) -> Option<BodyId> {
        let id = self.by_occupancy(now).first().map(|(id, _)| *id)?;
        self.release(id);
        Some(id)
    }

    /// Returns who has to yield; `None` if that is not enough.
    fn yielding(
        &self,
        now: UnixMs,
        id: BodyId,
        bytes: usize,
        more_bytes: usize,
    ) -> Option<Vec<BodyId>> {
        let is_large = self.is_large(bytes);
        let max_bytes = match is_large {
            true => self.shares.body_bytes - self.shares.small_bodies_bytes,
            false => self.shares.body_bytes,
        };
        let mut left_bytes = self.held_bytes + more_bytes;
        let mut yielding = Vec::new();
        if left_bytes <= max_bytes || (is_large && !self.has_large(id, &yielding)) {
            return Some(yielding);
        }
        for (other, reserved_bytes) in self.by_occupancy(now) {
            if other == id {
                continue;
            }
            left_bytes -= reserved_bytes;
            yielding.push(other);
            if left_bytes <= max_bytes || (is_large && !self.has_large(id, &yielding)) {
                return Some(yielding);
            }
        }
        None
    }

    fn is_large(&self, bytes: usize) -> bool {
        bytes > self.shares.small_body_bytes
    }

    /// Whether a large body other than `id` and those that yield is held.
    fn has_large(&self, id: BodyId, yielding: &[BodyId]) -> bool {
        let mut others = self.bodies.iter().filter(|(other, _)| **other != id);
        others.any(|(other, body)| self.is_large(body.reserved_bytes) && !yielding.contains(other))
    }

    /// The bodies that may yield, first the one that holds most for longest, and what each holds.
    fn by_occupancy(&self, now: UnixMs) -> Vec<(BodyId, usize)> {
        let mut ranked: Vec<_> = self
            .bodies
            .iter()
            .filter(|(_, body)| body.may_yield(now))
            .collect();
        ranked.sort_by_key(|(id, body)| (std::cmp::Reverse(body.occupancy(now)), **id));
        let ranked = ranked.into_iter();
        ranked
            .map(|(id, body)| (*id, body.reserved_bytes))
            .collect()
    }
}
