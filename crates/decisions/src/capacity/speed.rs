//! Estimates the speed of one engine from the requests that its holder granted.
//!
//! Two paces are tracked: the time to read a prompt, and the time between two events of a stream.
//! Only time in which the engine had work counts, so an idle engine isn't taken for a fast one. Both
//! are compared with the median over engines: when nearly all are slow, none is.

use monsoonspread_model::UnixMs;
use serde::{Deserialize, Serialize};

/// Half-life of a sample's weight, in milliseconds: a few requests of an engine in ordinary load,
/// and not much longer than the load of a neighbour lasts.
const HALF_LIFE_MS: f64 = 1_500.0;
/// Work that beginning an answer adds to reading its prompt, in prompt tokens: the steps up to the
/// first event, and the way of the messages.
const BEGIN_TOKENS: f64 = 800.0;
/// Weight below which a reading pace isn't used, in prompt tokens: four prompts of usual length, as
/// those of one moment share the engine's way.
const MIN_READ_TOKENS: f64 = 7_000.0;
/// Weight below which a step pace isn't used, in events: three short answers.
const MIN_EVENTS: f64 = 36.0;
/// Fewest events of an answer that count: an error is answered with one or two.
const MIN_EVENTS_PER_ANSWER: u32 = 4;
/// Fewest engines with a known pace from which the usual pace is taken.
const MIN_ENGINES: usize = 4;
/// Usual slowness, in percent.
const USUAL_PERCENT: u32 = 100;
/// Slowness below which an engine counts as usual, in percent: uneven load alone causes as much.
const SLOW_PERCENT: u32 = 150;
/// Largest slowness that is used, in percent.
const MAX_PERCENT: u32 = 400;

/// Paces of an engine, as shared in quotes. `None` where there is too little to go by.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EnginePaces {
    /// Time to read a prompt token, in nanoseconds.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub read_ns: Option<u32>,
    /// Time between two events of a stream, in microseconds.
    #[serde(default, rename = "e", skip_serializing_if = "Option::is_none")]
    pub event_us: Option<u32>,
}

impl EnginePaces {
    /// Whether neither pace is known.
    ///
    /// ```
    /// # use monsoonspread_decisions::capacity::EnginePaces;
    /// assert!(EnginePaces::default().is_unknown());
    /// ```
    pub fn is_unknown(&self) -> bool {
        self.read_ns.is_none() && self.event_us.is_none()
    }

    /// Returns the slowness of an engine with these paces against the `usual` ones, in percent; 100
    /// unless it is clearly slower.
    ///
    /// ```
    /// # use monsoonspread_decisions::capacity::EnginePaces;
    /// let usual = EnginePaces { read_ns: Some(26_000), event_us: Some(36_000) };
    /// let slow = EnginePaces { read_ns: Some(52_000), event_us: Some(72_000) };
    /// assert_eq!(slow.slowness_percent(&usual), 200);
    /// assert_eq!(usual.slowness_percent(&usual), 100);
    /// ```
    pub fn slowness_percent(&self, usual: &Self) -> u32 {
        let ratios = [
            ratio_percent(self.read_ns, usual.read_ns),
            ratio_percent(self.event_us, usual.event_us),
        ];
        let known: Vec<u32> = ratios.into_iter().flatten().collect();
        if known.is_empty() {
            return USUAL_PERCENT;
        }
        let mean = known.iter().sum::<u32>() / known.len() as u32;
        if mean < SLOW_PERCENT {
            return USUAL_PERCENT;
        }
        mean
    }
}

/// Returns the median of the paces of several engines; `None` for a pace that too few know.
///
/// ```
/// # use monsoonspread_decisions::capacity::{EnginePaces, usual_paces};
/// let paces = |read_ns| EnginePaces { read_ns: Some(read_ns), event_us: None };
/// let usual = usual_paces(&[paces(26), paces(80), paces(27), paces(25)]);
/// assert_eq!(usual, paces(27));
/// ```
pub fn usual_paces(engines: &[EnginePaces]) -> EnginePaces {
    EnginePaces {
        read_ns: median(engines.iter().filter_map(|paces| paces.read_ns)),
        event_us: median(engines.iter().filter_map(|paces| paces.event_us)),
    }
}

/// Estimates the speed of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineSpeed {
    reading: Pace,
    streaming: Pace,
    /// Number of prompts that were sent and not answered.
    unread: u32,
    /// When the engine last began to read, or an answer began.
    reads_since: UnixMs,
    sampled_at: Option<UnixMs>,
}

impl EngineSpeed {
    /// Starts without samples: also the state of each new incarnation of an engine.
    pub fn new() -> Self {
        Self::default()
    }

    /// A prompt is sent to the engine.
    pub fn on_sent(&mut self, now: UnixMs) {
        if self.unread == 0 {
            self.reads_since = now;
        }
        self.unread += 1;
    }

    /// The answer to a prompt began, of which the engine had `tokens` tokens to read, while its
    /// work took `load_percent` of its own usual time.
    ///
    /// ```
    /// # use monsoonspread_decisions::capacity::EngineSpeed;
    /// # use monsoonspread_model::UnixMs;
    /// let mut speed = EngineSpeed::new();
    /// for number in 0..8 {
    ///     speed.on_sent(UnixMs(1_000 + 100 * number));
    ///     speed.on_started(UnixMs(1_050 + 100 * number), 1_200, 100);
    /// }
    /// assert_eq!(speed.paces(UnixMs(1_800)).read_ns, Some(25_000));
    /// ```
    pub fn on_started(&mut self, now: UnixMs, tokens: u32, load_percent: u32) {
        if self.unread == 0 {
            return;
        }
        self.unread -= 1;
        let took_ms = now.ms_since(self.reads_since);
        self.reads_since = now;
        let work = f64::from(tokens) + BEGIN_TOKENS;
        self.reading.add(now, own_ms(took_ms, load_percent), work);
        self.sampled_at = Some(now);
    }

    /// A prompt that was sent is given up, or was answered with an error.
    pub fn on_unanswered(&mut self, now: UnixMs) {
        self.unread = self.unread.saturating_sub(1);
        self.reads_since = now;
    }

    /// A stream ended that had `events` events in `lasted_ms`, while the engine's work took
    /// `load_percent` of its own usual time.
    pub fn on_streamed(&mut self, now: UnixMs, lasted_ms: u64, events: u32, load_percent: u32) {
        if events < MIN_EVENTS_PER_ANSWER {
            return;
        }
        // The stream lasts from its first event on.
        let gaps = f64::from(events - 1);
        self.streaming
            .add(now, own_ms(lasted_ms, load_percent), gaps);
        self.sampled_at = Some(now);
    }

    /// Returns the engine's paces.
    pub fn paces(&self, now: UnixMs) -> EnginePaces {
        let read_ms = self.reading.ms_per_unit(now, MIN_READ_TOKENS);
        let event_ms = self.streaming.ms_per_unit(now, MIN_EVENTS);
        EnginePaces {
            read_ns: read_ms.map(|ms| (ms * 1_000_000.0).round() as u32),
            event_us: event_ms.map(|ms| (ms * 1_000.0).round() as u32),
        }
    }

    /// When the newest sample was taken; `None` without samples.
    pub fn sampled_at(&self) -> Option<UnixMs> {
        self.sampled_at
    }
}

/// Time and units of work, with a weight that halves with the sample's age.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    time_ms: f64,
    units: f64,
    weighted_at: UnixMs,
}

impl Pace {
    fn add(&mut self, now: UnixMs, time_ms: f64, units: f64) {
        let weight = self.weight(now);
        self.time_ms = self.time_ms * weight + time_ms;
        self.units = self.units * weight + units;
        self.weighted_at = now;
    }

    fn ms_per_unit(&self, now: UnixMs, min_units: f64) -> Option<f64> {
        let is_known = self.units * self.weight(now) >= min_units;
        is_known.then(|| self.time_ms / self.units)
    }

    fn weight(&self, now: UnixMs) -> f64 {
        let age_ms = now.ms_since(self.weighted_at) as f64;
        0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}

/// Time that work would have taken without the load of a neighbour on the engine's machine.
fn own_ms(took_ms: u64, load_percent: u32) -> f64 {
    took_ms as f64 * f64::from(USUAL_PERCENT) / f64::from(load_percent.max(1))
}

fn ratio_percent(pace: Option<u32>, usual: Option<u32>) -> Option<u32> {
    let (pace, usual) = (pace?, usual.filter(|usual| *usual > 0)?);
    let percent = u64::from(pace) * u64::from(USUAL_PERCENT) / u64::from(usual);
    Some(percent.min(MAX_PERCENT.into()) as u32)
}

fn median(paces: impl Iterator<Item = u32>) -> Option<u32> {
    let mut paces: Vec<u32> = paces.collect();
    if paces.len() < MIN_ENGINES {
        return None;
    }
    paces.sort_unstable();
    Some(paces[paces.len() / 2])
}
