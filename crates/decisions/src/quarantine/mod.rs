//! Requests that crash upstreams.
//!
//! A request is known by a fingerprint of its adapter and body. After crashes on two different
//! upstreams it is refused at once, in every zone, since notices are spread to all instances.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};
use serde::Serialize;

/// Crashes on different upstreams after which a request is kept from all.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// How long a quarantined request is refused after its last crash, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Fingerprints remembered at the most.
const MAX_FINGERPRINTS: usize = 1_024;

/// Crashes seen, by fingerprint of the request.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: HashMap<Fingerprint, Vec<CrashNotice>>,
}

/// What a dump shows of the quarantine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct QuarantineDump {
    /// Fingerprints that crashed an upstream lately.
    pub suspected: usize,
    /// Fingerprints that are refused now, in hexadecimal digits.
    pub quarantined: Vec<String>,
}

impl Quarantine {
    /// An empty quarantine.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::Quarantine;
    /// # use monsoonspread_model::{Fingerprint, UnixMs};
    /// assert_eq!(Quarantine::new().refused_until(UnixMs(0), Fingerprint(7)), None);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash that this instance or a peer saw; true when it was not known yet.
    pub fn on_crash(&mut self, now: UnixMs, notice: &CrashNotice) -> bool {
        if is_over(now, notice) {
            return false;
        }
        self.make_room(now);
        let known = self.crashes.entry(notice.fingerprint).or_default();
        if known.iter().any(|crash| crash.upstream == notice.upstream) {
            return false;
        }
        known.push(notice.clone());
        true
    }

    /// When the request may come back; `None` when it is not quarantined.
    pub fn refused_until(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<UnixMs> {
        let crashes = self.crashes.get(&fingerprint)?;
        let recent = crashes.iter().filter(|crash| !is_over(now, crash));
        let ends: Vec<UnixMs> = recent.map(ends_at).collect();
        if ends.len() < CRASHES_TO_QUARANTINE {
            return None;
        }
        ends.into_iter().max()
    }

    /// Whether the request crashed an upstream before.
    pub fn is_suspected(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        self.crashes
            .get(&fingerprint)
            .is_some_and(|crashes| crashes.iter().any(|crash| !is_over(now, crash)))
    }

    /// Describes the quarantine without any caller's text.
    pub fn dump(&self, now: UnixMs) -> QuarantineDump {
        let mut quarantined: Vec<String> = self
            .crashes
            .keys()
            .filter(|fingerprint| self.refused_until(now, **fingerprint).is_some())
            .map(|fingerprint| fingerprint.to_string())
            .collect();
        quarantined.sort();
        QuarantineDump {
            suspected: self.crashes.len(),
            quarantined,
        }
    }

    fn make_room(&mut self, now: UnixMs) {
        if self.crashes.len() < MAX_FINGERPRINTS {
            return;
        }
        self.crashes
            .retain(|_, crashes| crashes.iter().any(|crash| !is_over(now, crash)));
        if self.crashes.len() >= MAX_FINGERPRINTS
            && let Some(oldest) = self.oldest()
        {
            self.crashes.remove(&oldest);
        }
    }

    fn oldest(&self) -> Option<Fingerprint> {
        let last_crash = |crashes: &[CrashNotice]| crashes.iter().map(|c| c.seen_at_unix_ms).max();
        self.crashes
            .iter()
            .min_by_key(|(fingerprint, crashes)| (last_crash(crashes), **fingerprint))
            .map(|(fingerprint, _)| *fingerprint)
    }
}

fn ends_at(crash: &CrashNotice) -> UnixMs {
    crash.seen_at_unix_ms + QUARANTINE_MS
}

fn is_over(now: UnixMs, crash: &CrashNotice) -> bool {
    ends_at(crash) <= now
}
