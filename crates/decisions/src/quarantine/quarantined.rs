//! Crashes by request.

use std::collections::HashMap;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::dump::{CrashDump, QuarantineDump, SuspectDump};
use super::{Admission, Suspect};

/// Crashes after which a request is kept from all upstreams, unless another number is set.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// How long a quarantined request is refused after its last crash, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Crashes after which a request may be sent once only: one alone says little of a request that
/// ran beside others.
const CRASHES_TO_SUSPECT: usize = 2;
/// Fingerprints remembered at the most.
pub(super) const MAX_FINGERPRINTS: usize = 1_024;

/// Crashes seen, by fingerprint of the request.
#[derive(Debug)]
pub struct Quarantine {
    crashes_to_quarantine: usize,
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::with_crashes(CRASHES_TO_QUARANTINE)
    }
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

    /// An empty quarantine that refuses a request after `crashes_to_quarantine` crashes.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::{Admission, Quarantine};
    /// # use monsoonspread_model::{Fingerprint, UnixMs};
    /// let quarantine = Quarantine::with_crashes(3);
    /// let admission = quarantine.admission(UnixMs(0), Fingerprint(7), 0, 0);
    /// assert_eq!(admission, Admission::Unrestricted);
    /// ```
    pub fn with_crashes(crashes_to_quarantine: usize) -> Self {
        Self {
            crashes_to_quarantine,
            suspects: HashMap::new(),
        }
    }

    /// Records a crash that this instance or a peer saw; true when it was not known yet.
    pub fn on_crash(&mut self, now: UnixMs, notice: &CrashNotice) -> bool {
        if notice.seen_at_unix_ms + QUARANTINE_MS <= now {
            return false;
        }
        self.make_room(now, notice.fingerprint);
        let suspect = self.suspects.entry(notice.fingerprint).or_default();
        suspect.add(notice)
    }

    /// A copy of the request was served, or an operator or a peer cleared it; true when something
    /// was held against it.
    pub fn on_cleared(&mut self, fingerprint: Fingerprint, at: UnixMs) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.is_some_and(|suspect| suspect.clear(at))
    }

    /// What may be done with a request of which `running` copies run here, after `breaks` of which
    /// nobody knows yet whether they were crashes.
    pub fn admission(
        &self,
        now: UnixMs,
        fingerprint: Fingerprint,
        breaks: usize,
        running: usize,
    ) -> Admission {
        if let Some(until) = self.refused_until(now, fingerprint) {
            return Admission::Refused(until);
        }
        let crashes = self.crashes(now, fingerprint);
        if crashes + breaks < CRASHES_TO_SUSPECT {
            return Admission::Unrestricted;
        }
        if crashes >= CRASHES_TO_SUSPECT && running > 0 {
            return Admission::RetryLater;
        }
        Admission::SingleAttempt
    }

    /// When the request may come back; `None` when it is not quarantined.
    pub fn refused_until(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<UnixMs> {
        let suspect = self.suspect(now, fingerprint)?;
        (suspect.crash_count() >= self.crashes_to_quarantine).then(|| suspect.expires_at())
    }

    /// Whether the request crashed an upstream before.
    pub fn is_suspected(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        self.crashes(now, fingerprint) > 0
    }

    /// Crashes that are held against the request.
    pub fn crashes(&self, now: UnixMs, fingerprint: Fingerprint) -> usize {
        self.suspect(now, fingerprint)
            .map_or(0, Suspect::crash_count)
    }

    /// What is known of a request.
    pub fn suspect(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<&Suspect> {
        let suspect = self.suspects.get(&fingerprint)?;
        (now < suspect.expires_at()).then_some(suspect)
    }

    /// Requests that every instance should know: those that may be sent once only or not at all,
    /// or might have been until they were cleared.
    pub fn fleet_wide(&self, now: UnixMs) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, suspect)| now < suspect.expires_at())
            .filter(|(_, suspect)| suspect.uncleared_count() >= CRASHES_TO_SUSPECT)
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    /// Place of the request among those that may be sent once only; `None` for any other.
    ///
    /// All instances know these, and so keep them apart by their places: where one of them ends an
    /// upstream, the others are not beside it.
    pub fn isolation_index(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<usize> {
        let is_apart = |suspect: &Suspect| suspect.crash_count() >= CRASHES_TO_SUSPECT;
        is_apart(self.suspect(now, fingerprint)?).then(|| {
            let apart = self
                .fleet_wide(now)
                .filter(|(_, suspect)| is_apart(suspect));
            apart.filter(|(other, _)| *other < fingerprint).count()
        })
    }

    /// Whether every instance should know of the request.
    pub fn is_fleet_wide(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspect(now, fingerprint);
        suspect.is_some_and(|suspect| suspect.uncleared_count() >= CRASHES_TO_SUSPECT)
    }

    /// Describes the quarantine without any caller's text.
    pub fn dump(&self, now: UnixMs) -> QuarantineDump {
        let mut quarantined: Vec<String> = self
            .suspects
            .keys()
            .filter(|fingerprint| self.refused_until(now, **fingerprint).is_some())
            .map(ToString::to_string)
            .collect();
        quarantined.sort();
        QuarantineDump {
            suspected: self.suspects.len(),
            quarantined,
        }
    }

    /// Describes the requests that every instance should know.
    pub fn dump_fleet_wide(&self, now: UnixMs) -> Vec<SuspectDump> {
        let mut dumps: Vec<SuspectDump> = self
            .fleet_wide(now)
            .map(|(fingerprint, suspect)| SuspectDump {
                fingerprint: fingerprint.to_string(),
                counted: suspect.crash_count(),
                refused_until: self.refused_until(now, fingerprint),
                cleared_at: suspect.cleared_at(),
                crashes: suspect.crashes().iter().map(CrashDump::new).collect(),
            })
            .collect();
        dumps.sort_by(|a, b| a.fingerprint.cmp(&b.fingerprint));
        dumps
    }

    /// Forgets the request against which least is held, and of these the oldest.
    fn make_room(&mut self, now: UnixMs, newcomer: Fingerprint) {
        if self.suspects.len() < MAX_FINGERPRINTS || self.suspects.contains_key(&newcomer) {
            return;
        }
        self.suspects
            .retain(|_, suspect| now < suspect.expires_at());
        if self.suspects.len() < MAX_FINGERPRINTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(fingerprint, suspect)| {
            (suspect.crash_count(), suspect.expires_at(), **fingerprint)
        });
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }
}
