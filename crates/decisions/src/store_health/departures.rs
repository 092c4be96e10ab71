//! Upstreams that left, which an older copy of the store may list as ready.

use std::collections::BTreeMap;

use monsoonspread_model::{UnixMs, UpstreamName};

/// How long what a copy lists is doubted after the store came back from it, in milliseconds: by then live
/// upstreams have written their entries again, and those of silent ones are removed.
const DOUBTED_MS: u64 = 5_000;
/// How long a departure is kept, in milliseconds: longer than a copy is old.
const KEPT_MS: u64 = 120_000;

/// Whether an entry of the store's state may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Now.
    Now,
    /// From this time on, if it is still listed.
    From(UnixMs),
    /// Not until the upstream writes another one.
    Never,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    /// The upstream reported that it leaves; otherwise its entry just disappeared.
    was_leaving: bool,
    forgotten_at: UnixMs,
}

/// Upstreams that left, which an older copy of the store may list as ready.
///
/// ```
/// use monsoonspread_decisions::store_health::{Admission, Departures};
/// use monsoonspread_model::UnixMs;
///
/// let mut departures = Departures::default();
/// departures.on_left(UnixMs(0), &"engine-1".into(), 1, true);
/// assert_eq!(departures.admission(UnixMs(10), &"engine-1".into(), 1), Admission::Now);
/// departures.on_restored(UnixMs(20));
/// assert_eq!(departures.admission(UnixMs(30), &"engine-1".into(), 1), Admission::Never);
/// // Another process of the upstream wrote the entry.
/// assert_eq!(departures.admission(UnixMs(30), &"engine-1".into(), 2), Admission::Now);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Departures {
    left: BTreeMap<UpstreamName, Departure>,
    doubted_until: UnixMs,
}

impl Departures {
    /// An incarnation of an upstream left, after it had reported that (`was_leaving`) or without a word.
    pub fn on_left(
        &mut self,
        now: UnixMs,
        name: &UpstreamName,
        incarnation: u64,
        was_leaving: bool,
    ) {
        self.left
            .retain(|_, departure| departure.forgotten_at > now);
        let departure = Departure {
            incarnation,
            was_leaving,
            forgotten_at: now + KEPT_MS,
        };
        self.left.insert(name.clone(), departure);
    }

    /// An upstream wrote its entry.
    pub fn on_written(&mut self, name: &UpstreamName) {
        self.left.remove(name);
    }

    /// The store came back from an older copy.
    pub fn on_restored(&mut self, now: UnixMs) {
        self.doubted_until = now + DOUBTED_MS;
    }

    /// Whether the whole state may list what is no longer so.
    pub fn is_doubted(&self, now: UnixMs) -> bool {
        now < self.doubted_until
    }

    /// Decides on an entry of the whole state, of which can't be told when it was written.
    pub fn admission(&self, now: UnixMs, name: &UpstreamName, incarnation: u64) -> Admission {
        let departure = self.left.get(name);
        match departure.filter(|departure| departure.incarnation >= incarnation) {
            Some(departure) if self.is_doubted(now) => match departure.was_leaving {
                true => Admission::Never,
                false => Admission::From(self.doubted_until),
            },
            _ => Admission::Now,
        }
    }
}
