//! Attribution of crashes to the strongest suspects.

use std::collections::{HashMap, HashSet};

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UpstreamName};

use super::Suspect;

/// Number of crashes after which a suspect is refused that was served before them.
const CRASHES_OF_SERVED: usize = 5;
/// How long such a suspect has not been served then, in milliseconds: several times what the news of an
/// answer takes to reach all instances.
const UNSERVED_MS: u64 = 2_000;

/// Identifies the crash of an upstream.
pub(super) type CrashId = (UpstreamName, u64);

/// Attributes crashes, and returns the suspects that reach `threshold`, or did so in the
/// `previous` attribution, with their counts.
///
/// A crash counts against the suspect with the most crashes, and not against those that only ran beside it.
/// Suspects that were served before are weaker: they come after all others, and need more crashes.
pub(super) fn attribute<'a>(
    suspects: impl Iterator<Item = (Fingerprint, &'a Suspect)>,
    threshold: usize,
    previous: &HashMap<Fingerprint, usize>,
) -> HashMap<Fingerprint, usize> {
    let none = HashSet::new();
    let candidates = suspects.filter(|(_, suspect)| suspect.count_without(&none) >= threshold);
    let (served, unserved): (Vec<_>, Vec<_>) =
        candidates.partition(|(_, suspect)| suspect.cleared_at().is_some());
    let served = served
        .into_iter()
        .filter(|(_, suspect)| suspect.unserved_ms() >= UNSERVED_MS)
        .collect();
    let mut attribution = Attribution {
        previous,
        counts: HashMap::new(),
        explained: HashSet::new(),
    };
    attribution.add(unserved, threshold);
    attribution.add(served, threshold.max(CRASHES_OF_SERVED));
    attribution.counts
}

/// Returns what identifies a crash.
pub(super) fn crash_id(crash: &CrashNotice) -> CrashId {
    (crash.upstream.clone(), crash.incarnation)
}

struct Attribution<'a> {
    previous: &'a HashMap<Fingerprint, usize>,
    counts: HashMap<Fingerprint, usize>,
    explained: HashSet<CrashId>,
}

impl Attribution<'_> {
    /// Attributes the crashes that are left to the suspects in `open` that reach `threshold`, those with the
    /// most first. A suspect that was refused before stays so as long as any crash is left to it.
    fn add(&mut self, mut open: Vec<(Fingerprint, &Suspect)>, threshold: usize) {
        loop {
            let counts = open.iter().map(|suspect| self.count(suspect, threshold));
            let Some(most) = counts.max().filter(|most| *most > 0) else {
                return;
            };
            let (strongest, rest): (Vec<_>, Vec<_>) = open
                .into_iter()
                .partition(|suspect| self.count(suspect, threshold) == most);
            open = rest;
            for (fingerprint, suspect) in strongest {
                self.counts.insert(fingerprint, most);
                self.explained
                    .extend(suspect.active_crashes().map(crash_id));
            }
        }
    }

    /// Number of crashes that are left to a suspect; 0 if it isn't refused for them.
    fn count(&self, (fingerprint, suspect): &(Fingerprint, &Suspect), threshold: usize) -> usize {
        let count = suspect.count_without(&self.explained);
        let is_refused = count >= threshold || self.previous.contains_key(fingerprint);
        if is_refused { count } else { 0 }
    }
}
