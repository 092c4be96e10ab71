//! Estimates arrival rates in bounded memory.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

/// Exponentially decayed arrival rates of the most frequent keys, in bounded memory.
///
/// When the sketch is full, a new key replaces the one with the lowest rate and starts from zero, so
/// that rates are never overestimated. A key that arrives again before `capacity` others is kept.
#[derive(Clone, Debug)]
pub struct DemandSketch<K> {
    rates: BTreeMap<K, Rate>,
    half_life_ms: f64,
    capacity: usize,
}

#[derive(Clone, Copy, Debug)]
struct Rate {
    weight: f64,
    updated_at: UnixMs,
}

impl<K: Clone + Ord> DemandSketch<K> {
    /// Creates a sketch of at most `capacity` keys whose weights halve every `half_life_ms`.
    ///
    /// ```
    /// # use monsoonspread_decisions::placement::DemandSketch;
    /// # use monsoonspread_model::UnixMs;
    /// let mut demand = DemandSketch::new(8, 1_000);
    /// demand.on_arrival(UnixMs(0), &"needle-7");
    /// assert!(demand.per_second(UnixMs(0), &"needle-7") > 0.0);
    /// ```
    pub fn new(capacity: usize, half_life_ms: u64) -> Self {
        Self {
            rates: BTreeMap::new(),
            half_life_ms: half_life_ms as f64,
            capacity,
        }
    }

    /// Counts one arrival.
    pub fn on_arrival(&mut self, now: UnixMs, key: &K) {
        let weight = self.weight(now, key) + 1.0;
        if !self.rates.contains_key(key) && self.rates.len() >= self.capacity {
            self.evict(now);
        }
        let updated_at = now;
        self.rates.insert(key.clone(), Rate { weight, updated_at });
    }

    /// Arrivals per second, as a decayed mean.
    pub fn per_second(&self, now: UnixMs, key: &K) -> f64 {
        self.weight(now, key) / self.mean_life_s()
    }

    /// Arrivals per second without the latest one, as a decayed mean.
    ///
    /// The latest arrival is the request that queries the rate. If it counted, every single request
    /// would appear as demand, multiplied by the number of instances that share the demand.
    pub fn per_second_before(&self, now: UnixMs, key: &K) -> f64 {
        let last = 1.0 / self.mean_life_s();
        (self.per_second(now, key) - last).max(0.0)
    }

    /// Number of tracked keys.
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// Whether no key is tracked.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    fn mean_life_s(&self) -> f64 {
        self.half_life_ms / std::f64::consts::LN_2 / 1_000.0
    }

    fn weight(&self, now: UnixMs, key: &K) -> f64 {
        self.rates
            .get(key)
            .map_or(0.0, |rate| self.decayed(now, *rate))
    }

    fn decayed(&self, now: UnixMs, rate: Rate) -> f64 {
        let age_ms = now.ms_since(rate.updated_at) as f64;
        rate.weight * 0.5_f64.powf(age_ms / self.half_life_ms)
    }

    fn evict(&mut self, now: UnixMs) {
        let lowest = self
            .rates
            .iter()
            .min_by(|a, b| self.decayed(now, *a.1).total_cmp(&self.decayed(now, *b.1)))
            .map(|(key, _)| key.clone());
        if let Some(key) = lowest {
            self.rates.remove(&key);
        }
    }
}
