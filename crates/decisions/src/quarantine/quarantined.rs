//! Crash counts by request.

use std::collections::HashMap;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::attribution::attribute;
use super::dump::{CrashDump, QuarantineDump, SuspectDump};
use super::{Admission, Suspect};

/// Default number of crashes after which a request is refused.
pub const CRASHES_TO_QUARANTINE: usize = 2;
/// How long a quarantined request is refused after its last crash, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// Crashes after which a request may be sent only once: a single crash is weak evidence against a
/// request that ran beside others.
const CRASHES_TO_SUSPECT: usize = 2;
/// Maximum number of remembered fingerprints of requests.
pub(super) const MAX_FINGERPRINTS: usize = 1_024;
/// Maximum number of remembered prompt parts: several prompts of the longest that fit into a request's headers.
const MAX_PARTS: usize = 8_192;

/// Crashes by request fingerprint.
#[derive(Debug)]
pub struct Quarantine {
    crashes_to_quarantine: usize,
    max_suspects: usize,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Crashes of those that are refused; `None` if each crash counts against all that ran there.
    attributed: Option<HashMap<Fingerprint, usize>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::with_crashes(CRASHES_TO_QUARANTINE)
    }
}

impl Quarantine {
    /// Creates an empty quarantine.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::Quarantine;
    /// # use monsoonspread_model::{Fingerprint, UnixMs};
    /// assert_eq!(Quarantine::new().refused_until(UnixMs(0), Fingerprint(7)), None);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty quarantine that refuses a request after `crashes_to_quarantine` crashes.
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
            max_suspects: MAX_FINGERPRINTS,
            suspects: HashMap::new(),
            attributed: None,
        }
    }

    /// Counts each crash against the strongest suspects only, for suspects that occur together.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::Quarantine;
    /// # use monsoonspread_model::{Fingerprint, UnixMs};
    /// let parts = Quarantine::with_crashes(3).with_attribution();
    /// assert_eq!(parts.refused_until(UnixMs(0), Fingerprint(7)), None);
    /// ```
    pub fn with_attribution(mut self) -> Self {
        self.attributed = Some(HashMap::new());
        self.max_suspects = MAX_PARTS;
        self
    }

    /// Records a crash that this instance or a peer saw; true when it changes what is known.
    pub fn on_crash(&mut self, now: UnixMs, notice: &CrashNotice) -> bool {
        !self
            .on_crashes(now, std::slice::from_ref(notice))
            .is_empty()
    }

    /// Records crashes that this instance or a peer saw, and attributes them together; returns those that
    /// change what is known.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::Quarantine;
    /// # use monsoonspread_model::UnixMs;
    /// assert!(Quarantine::new().on_crashes(UnixMs(0), &[]).is_empty());
    /// ```
    pub fn on_crashes<'a>(
        &mut self,
        now: UnixMs,
        notices: &'a [CrashNotice],
    ) -> Vec<&'a CrashNotice> {
        let mut news = Vec::new();
        for notice in notices {
            if notice.seen_at_unix_ms + QUARANTINE_MS <= now {
                continue;
            }
            self.evict_for(now, notice.fingerprint);
            let suspect = self.suspects.entry(notice.fingerprint).or_default();
            if suspect.add(notice) {
                news.push(notice);
            }
        }
        if !news.is_empty() {
            self.attribute(now);
        }
        news
    }

    /// A copy of the request was served, or an operator or a peer cleared it; true when that changes
    /// what is known.
    pub fn on_cleared(&mut self, fingerprint: Fingerprint, at: UnixMs) -> bool {
        !self.on_all_cleared(&[(fingerprint, at)]).is_empty()
    }

    /// Like [`Self::on_cleared`], for several fingerprints with the times up to which they are cleared; returns
    /// those whose clearing changes what is known.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::Quarantine;
    /// # use monsoonspread_model::{Fingerprint, UnixMs};
    /// let cleared = [(Fingerprint(7), UnixMs(0))];
    /// assert!(Quarantine::new().on_all_cleared(&cleared).is_empty());
    /// ```
    pub fn on_all_cleared(&mut self, cleared: &[(Fingerprint, UnixMs)]) -> Vec<Fingerprint> {
        let mut news = Vec::new();
        let mut latest = UnixMs(0);
        for (fingerprint, at) in cleared {
            let Some(suspect) = self.suspects.get_mut(fingerprint) else {
                continue;
            };
            let is_first = suspect.cleared_at().is_none();
            let is_changed = suspect.clear(*at);
            // That a suspect was served before its crashes matters where crashes are attributed.
            if is_changed || (is_first && self.attributed.is_some()) {
                news.push(*fingerprint);
                latest = latest.max(*at);
            }
        }
        if !news.is_empty() {
            self.attribute(latest);
        }
        news
    }

    /// Whether any request is refused because of a part of its prompt.
    pub fn refuses_parts(&self) -> bool {
        let attributed = self.attributed.as_ref();
        attributed.is_some_and(|attributed| !attributed.is_empty())
    }

    fn attribute(&mut self, now: UnixMs) {
        let Some(attributed) = &mut self.attributed else {
            return;
        };
        let suspects = self.suspects.iter();
        let current = suspects.filter(|(_, suspect)| now < suspect.expires_at());
        let current = current.map(|(fingerprint, suspect)| (*fingerprint, suspect));
        *attributed = attribute(current, self.crashes_to_quarantine, attributed);
    }

    /// Admission of a request with `running` copies on this instance and `breaks` that are not yet
    /// confirmed as crashes.
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

    /// When the request may be retried; `None` when it is not quarantined.
    pub fn refused_until(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<UnixMs> {
        let suspect = self.suspect(now, fingerprint)?;
        let is_refused = match &self.attributed {
            Some(attributed) => attributed.contains_key(&fingerprint),
            None => suspect.crash_count() >= self.crashes_to_quarantine,
        };
        is_refused.then(|| suspect.expires_at())
    }

    /// Those against which crashes count.
    pub fn suspected(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let suspects = self.suspects.iter();
        let suspected = suspects.filter(|(_, suspect)| suspect.active_crashes().next().is_some());
        suspected.map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    /// Whether the request crashed an upstream before.
    pub fn is_suspected(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        self.crashes(now, fingerprint) > 0
    }

    /// Number of crashes that count against the request.
    pub fn crashes(&self, now: UnixMs, fingerprint: Fingerprint) -> usize {
        self.suspect(now, fingerprint)
            .map_or(0, Suspect::crash_count)
    }

    /// Recorded crashes of a request; `None` if there are none or they have expired.
    pub fn suspect(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<&Suspect> {
        let suspect = self.suspects.get(&fingerprint)?;
        (now < suspect.expires_at()).then_some(suspect)
    }

    /// Requests that every instance should know: those restricted to a single attempt or refused, and
    /// those that would be if they had not been cleared.
    pub fn fleet_wide(&self, now: UnixMs) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let suspects = self.suspects.iter();
        suspects
            .filter(move |(_, suspect)| now < suspect.expires_at())
            .filter(|(_, suspect)| suspect.uncleared_count() >= CRASHES_TO_SUSPECT)
            .map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    /// Index of the request among those restricted to a single attempt or refused; `None` for any
    /// other.
    ///
    /// All instances know these requests and use the index to send them to different upstreams, so
    /// that one which crashes its upstream does not break the others.
    pub fn isolation_index(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<usize> {
        let is_isolated = |suspect: &Suspect| suspect.crash_count() >= CRASHES_TO_SUSPECT;
        is_isolated(self.suspect(now, fingerprint)?).then(|| {
            let isolated = self
                .fleet_wide(now)
                .filter(|(_, suspect)| is_isolated(suspect));
            isolated.filter(|(other, _)| *other < fingerprint).count()
        })
    }

    /// Whether every instance should know of the request.
    pub fn is_fleet_wide(&self, now: UnixMs, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspect(now, fingerprint);
        suspect.is_some_and(|suspect| suspect.uncleared_count() >= CRASHES_TO_SUSPECT)
    }

    /// Describes the quarantine's state without any caller's text.
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

    /// Evicts the requests with the fewest crashes, and of these the oldest, if `newcomer` needs
    /// space: a sixteenth of them at once, as many newcomers may follow.
    fn evict_for(&mut self, now: UnixMs, newcomer: Fingerprint) {
        if self.suspects.len() < self.max_suspects || self.suspects.contains_key(&newcomer) {
            return;
        }
        self.suspects
            .retain(|_, suspect| now < suspect.expires_at());
        if self.suspects.len() < self.max_suspects {
            return;
        }
        let suspects = self.suspects.iter();
        let mut weakest: Vec<_> = suspects
            .map(|(fingerprint, suspect)| {
                (suspect.crash_count(), suspect.expires_at(), *fingerprint)
            })
            .collect();
        weakest.sort_unstable();
        for (_, _, fingerprint) in weakest.iter().take(self.max_suspects / 16) {
            self.suspects.remove(fingerprint);
        }
    }
}
