//! Number of concurrent calls up to which a server works at its best.

use monsoonspread_model::UnixMs;

/// Half-life of the weight of a sample, in milliseconds: short against the seconds for which servers turn
/// slow, and long enough for some tens of calls.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Weight of the samples of a level from which it is compared with others.
const KNOWN_WEIGHT: f64 = 12.0;
/// Highest level that is told apart; servers of plain services run fewer calls at once.
const MAX_LEVEL: usize = 64;
/// Throughput of fewer calls, relative to that of all places, from which fewer are better: means of some tens of
/// calls whose work differs by half are off by up to a tenth each.
const BETTER: f64 = 1.2;
/// Time between the end of a call and the start of the next one in its place, in milliseconds: three messages
/// between availability zones.
const TURN_MS: f64 = 4.0;
/// Calls beyond those that wait at the server in any case: ends are told late by a busy instance.
const MIN_TURNING: u32 = 1;

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    weight: f64,
    /// Weighted sum of the times of calls, in milliseconds.
    sum_ms: f64,
    seen_at: UnixMs,
}

impl Level {
    fn decayed(&self, now: UnixMs) -> Self {
        let age_ms = now.ms_since(self.seen_at) as f64;
        let factor = 0.5_f64.powf(age_ms / HALF_LIFE_MS);
        Self {
            weight: self.weight * factor,
            sum_ms: self.sum_ms * factor,
            seen_at: now,
        }
    }

    fn mean_ms(&self, now: UnixMs) -> Option<f64> {
        let level = self.decayed(now);
        (level.weight >= KNOWN_WEIGHT).then(|| level.sum_ms / level.weight)
    }
}

/// Estimates from the times of calls how many a server runs at once with the most throughput.
///
/// The times are kept by the number of calls that ran, and forgotten within seconds. All places are used again
/// once it isn't known any more how long calls take then.
///
/// ```
/// # use monsoonspread_decisions::capacity::ConcurrencyEstimate;
/// # use monsoonspread_model::UnixMs;
/// let mut estimate = ConcurrencyEstimate::new(6);
/// let now = UnixMs(1_000);
/// assert_eq!(estimate.calls(now), 6);
/// for _ in 0..20 {
///     estimate.on_time(now, 4, 30.0);
///     estimate.on_time(now, 5, 60.0);
///     estimate.on_time(now, 6, 60.0);
/// }
/// assert_eq!(estimate.calls(now), 4);
/// assert_eq!(estimate.calls(now + 10_000), 6);
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyEstimate {
    places: u32,
    levels: Vec<Level>,
    all: Level,
    /// Last estimate, and the time it was made.
    last: Option<(UnixMs, u32)>,
}

impl ConcurrencyEstimate {
    /// Starts with the number of calls that the server says it runs at once.
    pub fn new(places: u32) -> Self {
        Self {
            places: places.clamp(1, MAX_LEVEL as u32),
            levels: Vec::new(),
            all: Level::default(),
            last: None,
        }
    }

    /// Sets the number of calls that the server says it runs at once.
    pub fn set_places(&mut self, places: u32) {
        let places = places.clamp(1, MAX_LEVEL as u32);
        if places != self.places {
            self.places = places;
            self.last = None;
        }
    }

    /// A call took `took_ms` while `running` calls ran, with it.
    pub fn on_time(&mut self, now: UnixMs, running: u32, took_ms: f64) {
        // Calls beyond the places wait at the server.
        let index = running.clamp(1, self.places) as usize - 1;
        if self.levels.len() <= index {
            self.levels.resize(index + 1, Level::default());
        }
        for level in [&mut self.levels[index], &mut self.all] {
            *level = level.decayed(now);
            level.weight += 1.0;
            level.sum_ms += took_ms;
        }
        self.last = None;
    }

    /// Mean time of a call, in milliseconds; `None` without recent samples.
    pub fn mean_ms(&self, now: UnixMs) -> Option<f64> {
        self.all.mean_ms(now)
    }

    /// Number of calls that the server runs at once with the most throughput.
    pub fn calls(&mut self, now: UnixMs) -> u32 {
        if let Some((_, calls)) = self.last.filter(|(at, _)| *at == now) {
            return calls;
        }
        let calls = self.best(now).unwrap_or(self.places);
        self.last = Some((now, calls));
        calls
    }

    /// Number of calls that may be on their way to the server or running: some wait there, so that no place is
    /// idle while the next call is sent.
    pub fn limit(&mut self, now: UnixMs) -> u32 {
        let calls = self.calls(now);
        if calls < self.places {
            return calls;
        }
        let mean_ms = self.mean_ms(now).unwrap_or(f64::MAX);
        let turning = f64::from(calls) * TURN_MS / mean_ms.max(TURN_MS);
        calls + turning.ceil() as u32 + MIN_TURNING
    }

    /// Number of calls below the places with clearly more throughput than all places.
    fn best(&self, now: UnixMs) -> Option<u32> {
        let rate = |index: usize| {
            let mean_ms = self.levels.get(index)?.mean_ms(now)?;
            Some((index + 1) as f64 / mean_ms)
        };
        let full = self.places as usize - 1;
        let enough = rate(full)? * BETTER;
        let rates = (0..full).filter_map(|index| Some((rate(index)?, index)));
        let better = rates.filter(|(rate, _)| *rate > enough);
        let best = better.max_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, index)| index as u32 + 1)
    }
}
