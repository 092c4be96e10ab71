//! A server of a pool, as its keeper sees it.

use std::collections::HashMap;

use monsoonspread_model::{UnixMs, UpstreamName, ZoneName};

use super::{PlaceEnd, PlaceId, ReportedLoad};
use crate::capacity::ConcurrencyEstimate;

/// Places of a server before its first answer.
const DEFAULT_PLACES: u32 = 4;
/// Time of a call before the first answers, in milliseconds.
const DEFAULT_CALL_MS: f64 = 30.0;
/// Half-life of the load that calls without a grant cause, in milliseconds: some calls' time.
const FOREIGN_HALF_LIFE_MS: f64 = 200.0;
/// How long a server gets no calls after it failed several in a row, in milliseconds, as in the choice without a
/// keeper.
const FAILED_MS: u64 = 500;
/// Failed calls in a row after which a server is taken to be down: a keeper sees all calls of all instances, some of
/// which fail at a server that serves the others.
const FAILED_IN_ROW: u32 = 3;
/// How long a server gets no calls after it rejected one, in milliseconds: about one call's time.
const REJECTED_MS: u64 = 20;
/// When a place is free again whose end nobody told, in multiples of the usual time of a call.
const EXPIRES_CALLS: f64 = 10.0;
/// When such a place is free again at the earliest, in milliseconds.
const MIN_EXPIRES_MS: u64 = 400;
/// Advantage of a server in the requester's availability zone, as a share of its cost.
const SAME_ZONE: f64 = 0.9;

/// A listed server of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomServer {
    /// Name of the server.
    pub name: UpstreamName,
    /// Availability zone it runs in.
    pub zone: ZoneName,
    /// Start time of its process.
    pub incarnation: u64,
}

/// A place that was granted.
#[derive(Clone, Copy, Debug)]
struct Granted {
    /// Calls at the server when it was granted, with it.
    running: u32,
    expires_at: UnixMs,
}

/// What a keeper knows of one server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) listed: RoomServer,
    pub(super) estimate: ConcurrencyEstimate,
    granted: HashMap<PlaceId, Granted>,
    /// Calls at the server that no grant accounts for, and when they were seen.
    foreign: (f64, UnixMs),
    failed_in_row: u32,
    skipped_until: UnixMs,
}

impl ServerState {
    pub(super) fn new(listed: RoomServer) -> Self {
        Self {
            listed,
            estimate: ConcurrencyEstimate::new(DEFAULT_PLACES),
            granted: HashMap::new(),
            foreign: (0.0, UnixMs(0)),
            failed_in_row: 0,
            skipped_until: UnixMs(0),
        }
    }

    /// Number of calls that were granted and haven't ended.
    pub(super) fn granted(&self) -> usize {
        self.granted.len()
    }

    /// Number of calls at the server.
    pub(super) fn running(&self, now: UnixMs) -> f64 {
        self.granted.len() as f64 + self.foreign(now)
    }

    fn foreign(&self, now: UnixMs) -> f64 {
        let (calls, seen_at) = self.foreign;
        let age_ms = now.ms_since(seen_at) as f64;
        calls * 0.5_f64.powf(age_ms / FOREIGN_HALF_LIFE_MS)
    }

    /// Usual time of a call, in milliseconds.
    pub(super) fn call_ms(&self, now: UnixMs) -> f64 {
        self.estimate.mean_ms(now).unwrap_or(DEFAULT_CALL_MS)
    }

    /// Whether it gets calls now.
    pub(super) fn is_open(&self, now: UnixMs) -> bool {
        now >= self.skipped_until
    }

    /// Whether it has room for one more call.
    pub(super) fn has_room(&mut self, now: UnixMs) -> bool {
        self.is_open(now) && self.running(now) + 1.0 <= f64::from(self.estimate.limit(now)) + 0.5
    }

    /// Expected time of one more call from `zone`, for comparison with other servers.
    pub(super) fn cost(&mut self, now: UnixMs, zone: Option<&ZoneName>) -> f64 {
        let limit = f64::from(self.estimate.limit(now));
        let cost = (self.running(now) + 1.0) / limit * self.call_ms(now);
        match zone {
            Some(zone) if *zone == self.listed.zone => cost * SAME_ZONE,
            _ => cost,
        }
    }

    pub(super) fn grant(&mut self, now: UnixMs, id: PlaceId, ends_by: UnixMs) {
        let expires_ms = (self.call_ms(now) * EXPIRES_CALLS) as u64;
        let granted = Granted {
            running: self.running(now).round() as u32 + 1,
            expires_at: ends_by.min(now + expires_ms.max(MIN_EXPIRES_MS)),
        };
        self.granted.insert(id, granted);
    }

    /// A call ended; returns false if it had no place here.
    pub(super) fn on_end(
        &mut self,
        now: UnixMs,
        id: &PlaceId,
        end: PlaceEnd,
        load: Option<ReportedLoad>,
    ) -> bool {
        let Some(granted) = self.granted.get(id).copied() else {
            return false;
        };
        if let Some(load) = load {
            self.estimate.set_places(load.places);
            let seen = f64::from(load.running + load.waiting);
            let foreign = (seen - self.granted.len() as f64).max(0.0);
            self.foreign = (foreign, now);
        }
        self.granted.remove(id);
        match end {
            PlaceEnd::Served(took_ms) => {
                self.failed_in_row = 0;
                let slowness = load.map_or(100, |load| load.slowness_percent.max(1));
                let usual_ms = took_ms as f64 * 100.0 / f64::from(slowness);
                self.estimate.on_time(now, granted.running, usual_ms);
            }
            PlaceEnd::Rejected => self.skipped_until = now + REJECTED_MS,
            PlaceEnd::Failed => self.on_failed(now),
            PlaceEnd::Unused => {}
        }
        true
    }

    fn on_failed(&mut self, now: UnixMs) {
        self.failed_in_row += 1;
        if self.failed_in_row >= FAILED_IN_ROW {
            // One more failure after that time skips it again.
            self.failed_in_row = FAILED_IN_ROW - 1;
            self.skipped_until = now + FAILED_MS;
        }
    }

    /// Frees the places of calls whose end nobody told.
    pub(super) fn expire(&mut self, now: UnixMs) {
        self.granted.retain(|_, granted| now < granted.expires_at);
    }

    /// Frees the places for which `is_live` returns false.
    pub(super) fn retain(&mut self, mut is_live: impl FnMut(&PlaceId) -> bool) {
        self.granted.retain(|id, _| is_live(id));
    }
}
