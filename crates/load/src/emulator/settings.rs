//! What is emulated.

/// What is emulated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EmulatorSettings {
    /// Instances that requests arrive at.
    pub instances: usize,
    /// Engines behind them.
    pub engines: usize,
    /// Zones over which engines are spread.
    pub zones: usize,
    /// Requests a second in the region.
    pub requests_per_s: f64,
    /// Adapters that are asked for.
    pub adapters: u64,
    /// Exponent of the adapters' popularity.
    pub zipf_exponent: f64,
    /// Adapter slots of an engine.
    pub adapter_slots: u32,
    /// Requests that an engine runs at once.
    pub batch_places: u32,
    /// Length of a prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of an answer, in tokens.
    pub answer_tokens: u32,
    /// Every so manieth engine is of another speed; 0 for none.
    pub uneven_every: usize,
    /// Time that work takes on those engines, in percent of the time on the others.
    pub uneven_percent: u32,
    /// Whether engines announce the time that work takes.
    pub announces: bool,
    /// Length of the run, in seconds of virtual time.
    pub seconds: u64,
    /// Seed of arrivals and of popularity.
    pub seed: u64,
}

impl Default for EmulatorSettings {
    /// About the load of one hundred and twenty engines of sixteen places.
    fn default() -> Self {
        Self {
            instances: 195,
            engines: 124,
            zones: 5,
            requests_per_s: 670.0,
            adapters: 4_000,
            zipf_exponent: 1.0,
            adapter_slots: 10,
            batch_places: 16,
            prompt_tokens: 880,
            answer_tokens: 69,
            uneven_every: 0,
            uneven_percent: 200,
            announces: false,
            seconds: 30,
            seed: 1,
        }
    }
}

impl EmulatorSettings {
    /// Returns how long work takes on an engine, in percent of the time on most engines.
    pub(super) fn time_percent(&self, engine: usize) -> u32 {
        let is_other = self.uneven_every > 0 && engine.is_multiple_of(self.uneven_every);
        if is_other { self.uneven_percent } else { 100 }
    }

    /// The same with so many instances.
    #[must_use]
    pub fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }
}
