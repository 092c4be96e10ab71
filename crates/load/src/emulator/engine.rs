//! An engine as far as prompts, steps and orders go.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_decisions::copies::CopyControl;
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{
    AdapterKey, BaseModel, EngineShape, Holdings, Order, OrderAnswer, OrderKind,
};

use super::EmulatorSettings;

/// The base model of all engines.
pub(super) const MODEL: &str = "base";
/// Prompt tokens that an engine reads in a millisecond; it does nothing else meanwhile.
const READ_TOKENS_PER_MS: u64 = 19;
/// Time of a step with one running request, in milliseconds.
const STEP_MS: f64 = 9.5;
/// Part of a step that each further running request adds.
const STEP_GROWTH: f64 = 0.02;
/// Time of a load from the weight store, in milliseconds.
const LOAD_MS: u64 = 250;
/// Time of a load of an adapter that the engine held before, in milliseconds.
const WARM_LOAD_MS: u64 = 25;

/// An engine and the state of its holder.
pub(super) struct EmulatedEngine {
    pub(super) control: CopyControl,
    pub(super) served: u64,
    pub(super) loads: u64,
    pub(super) running: u32,
    time_percent: u32,
    read_until: UnixMs,
    held: BTreeSet<AdapterKey>,
    coming: BTreeMap<AdapterKey, UnixMs>,
    held_before: BTreeSet<AdapterKey>,
    accepted: u64,
}

impl EmulatedEngine {
    pub(super) fn new(settings: &EmulatorSettings, time_percent: u32) -> Self {
        let model = BaseModel {
            name: MODEL.into(),
            size_mb: 0.0,
            adapter_size_mb: 0.0,
        };
        let shape = EngineShape {
            batch_places: settings.batch_places,
            kv_tokens: 0,
            adapter_slots: settings.adapter_slots,
            weights_mb: 0.0,
            models: vec![model],
        };
        Self {
            control: CopyControl::new(shape),
            served: 0,
            loads: 0,
            running: 0,
            time_percent,
            read_until: UnixMs(0),
            held: BTreeSet::new(),
            coming: BTreeMap::new(),
            held_before: BTreeSet::new(),
            accepted: 0,
        }
    }

    /// A prompt arrives; returns when its first event comes.
    pub(super) fn on_prompt(&mut self, now: UnixMs, tokens: u32) -> UnixMs {
        let read_ms = u64::from(tokens) * u64::from(self.time_percent) / 100;
        let read_ms = read_ms.div_ceil(READ_TOKENS_PER_MS);
        self.read_until = self.read_until.max(now) + read_ms;
        self.running += 1;
        self.read_until
    }

    /// Time from the first event to the last, as the engine is now.
    pub(super) fn answer_ms(&self, tokens: u32) -> u64 {
        let step_ms = STEP_MS * (1.0 + STEP_GROWTH * f64::from(self.running));
        (f64::from(tokens) * step_ms * f64::from(self.time_percent) / 100.0) as u64
    }

    pub(super) fn report(&mut self, now: UnixMs) -> Holdings {
        self.on_time(now);
        Holdings {
            models: vec![MODEL.into()],
            adapters: self.held.iter().map(|key| (key.clone(), 1)).collect(),
            loading: self.coming.keys().map(|key| (key.clone(), 1)).collect(),
            accepted_orders: self.accepted,
        }
    }

    pub(super) fn on_order(&mut self, now: UnixMs, order: &Order) -> OrderAnswer {
        self.on_time(now);
        match order.kind {
            _ if order.accepted_before != self.accepted => OrderAnswer::Conflict,
            OrderKind::Unload => {
                self.accepted += u64::from(self.held.remove(&order.key));
                OrderAnswer::Holds
            }
            OrderKind::Load if self.held.contains(&order.key) => OrderAnswer::Holds,
            OrderKind::Load if self.coming.contains_key(&order.key) => OrderAnswer::Accepted,
            OrderKind::Load => {
                let is_cold = self.held_before.insert(order.key.clone());
                self.loads += u64::from(is_cold);
                self.accepted += 1;
                let takes_ms = if is_cold { LOAD_MS } else { WARM_LOAD_MS };
                self.coming.insert(order.key.clone(), now + takes_ms);
                OrderAnswer::Accepted
            }
        }
    }

    fn on_time(&mut self, now: UnixMs) {
        let coming = std::mem::take(&mut self.coming);
        for (key, at) in coming {
            if at <= now {
                self.held.insert(key);
            } else {
                self.coming.insert(key, at);
            }
        }
    }
}
