//! The state of an engine: batch, waiting queue, slots.

use std::time::Duration;

use monsoonspread_model::load_report::LoadedAdapter;
use monsoonspread_model::{LoadReport, UnixMs};
use tokio::time::Instant;

use super::batch::Batch;
use super::command::{Order, OrderOutcome};
use super::fencing::Fencing;
use super::prefix_cache::PrefixCache;
use super::sequence::{Admission, NewRequest, Sequence, adapter_of};
use super::slots::Slots;
use super::{EngineCounters, EngineSettings};
use crate::fault::FaultState;
use crate::marker::marker_of;

/// A prompt with this text crashes each engine that runs it.
pub const CRASH_TEXT: &str = "crash-this-engine";

/// What an engine keeps in its life, and its counters.
#[derive(Debug)]
pub(super) struct Core {
    settings: EngineSettings,
    pub(super) counters: EngineCounters,
    pub(super) life: u64,
    started_at_unix_ms: UnixMs,
    fencing: Fencing,
    slots: Slots,
    batch: Batch,
    prefixes: PrefixCache,
    wanted_loads: Vec<String>,
}

/// What a step does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// It takes this time.
    Takes(Duration),
    /// A prompt crashes the engine.
    Crashes,
}

impl Core {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let prefixes = PrefixCache::new(settings.prefix_cache_blocks);
        Self {
            counters: EngineCounters::default(),
            life: 0,
            started_at_unix_ms: UnixMs::now(),
            fencing: Fencing::new(settings.checks_fencing),
            settings,
            slots: Slots::default(),
            batch: Batch::default(),
            prefixes,
            wanted_loads: Vec::new(),
        }
    }

    /// Forgets everything but the counters; dropped requests end their streams.
    pub(super) fn crash(&mut self) {
        for sequence in self.batch.take_all() {
            sequence.cut("the engine died");
        }
        self.life += 1;
        self.started_at_unix_ms = UnixMs::now();
        self.fencing = Fencing::new(self.settings.checks_fencing);
        self.slots.clear();
        self.prefixes = PrefixCache::new(self.settings.prefix_cache_blocks);
        self.wanted_loads.clear();
    }

    /// Takes a request in, or says why not.
    pub(super) fn generate(
        &mut self,
        request: NewRequest,
        faults: &FaultState,
        now: Instant,
    ) -> Admission {
        let admission = self.admission_of(&request.model, faults);
        match admission {
            Admission::Taken => self.take_in(request, faults, now),
            _ => self.counters.refused += 1,
        }
        admission
    }

    fn admission_of(&self, model: &str, faults: &FaultState) -> Admission {
        if faults.is_draining() {
            return Admission::Refused("the engine is stopping");
        }
        if self.batch.waiting().len() >= self.settings.max_waiting {
            return Admission::Refused("too many requests wait");
        }
        if self.settings.auto_load || self.slots.is_ready(model) {
            return Admission::Taken;
        }
        Admission::CopyMissing
    }

    fn take_in(&mut self, request: NewRequest, faults: &FaultState, now: Instant) {
        if !self.slots.is_ready(&request.model) {
            self.want(&request.model);
        }
        self.slots.pin(&request.model);
        let priority = request.priority;
        let mut sequence = Sequence::new(request, now);
        if faults.take_cut_stream() {
            sequence.cut_after = Some(sequence.max_tokens / 2);
        }
        self.batch.push(priority, sequence);
    }

    fn want(&mut self, model: &str) {
        let known =
            self.slots.contains(model) || self.wanted_loads.iter().any(|name| name == model);
        if !known {
            self.wanted_loads.push(model.to_owned());
        }
    }

    /// Begins the loads that the engine wants by itself and has slots for.
    pub(super) fn begin_wanted_loads(&mut self) -> Vec<String> {
        self.drop_unwanted_loads();
        let mut begun = Vec::new();
        while !self.wanted_loads.is_empty() && self.make_room() {
            let name = self.wanted_loads.remove(0);
            self.begin_load(&name);
            let waiting = self.batch.waiting().filter(|one| one.model == name).count();
            (0..waiting).for_each(|_| self.slots.pin(&name));
            begun.push(name);
        }
        begun
    }

    /// Forgets loads for which only cancelled requests wait.
    fn drop_unwanted_loads(&mut self) {
        let batch = &self.batch;
        self.wanted_loads.retain(|name| {
            batch
                .waiting()
                .any(|sequence| sequence.model == *name && !sequence.is_cancelled())
        });
    }

    fn make_room(&mut self) -> bool {
        if self.slots.len() < self.settings.adapter_slots {
            return true;
        }
        let Some(name) = self.slots.least_recent_idle() else {
            return false;
        };
        self.slots.remove(&name);
        self.counters.evictions += 1;
        true
    }

    fn begin_load(&mut self, name: &str) {
        self.counters.loads += 1;
        self.slots.begin_load(name);
    }

    /// Takes a load order; true when a fetch must begin.
    pub(super) fn load(&mut self, order: Order) -> bool {
        if !self.accepts(order.fencing_number) {
            let _ = order.outcome.send(OrderOutcome::Fenced);
            return false;
        }
        if let Some(slot) = self.slots.get_mut(&order.copy) {
            if slot.ready {
                let _ = order.outcome.send(OrderOutcome::Done);
            } else {
                slot.waiters.push(order.outcome);
            }
            return false;
        }
        if self.slots.len() >= self.settings.adapter_slots {
            let why = "no adapter slot is free".to_owned();
            let _ = order.outcome.send(OrderOutcome::Failed(why));
            return false;
        }
        self.begin_load(&order.copy);
        if let Some(slot) = self.slots.get_mut(&order.copy) {
            slot.waiters.push(order.outcome);
        }
        true
    }

    /// Notes the end of a load.
    pub(super) fn fetched(&mut self, copy: &str, result: Result<(), String>, now: Instant) {
        let outcome = match result {
            Ok(()) => OrderOutcome::Done,
            Err(why) => OrderOutcome::Failed(why),
        };
        let Some(slot) = self.slots.get_mut(copy) else {
            return;
        };
        let waiters = std::mem::take(&mut slot.waiters);
        slot.ready = outcome == OrderOutcome::Done;
        if slot.ready {
            self.count_load_wait(copy, now);
        } else {
            self.counters.failed_loads += 1;
            self.slots.remove(copy);
            self.cut_all(copy, "the adapter could not be loaded");
        }
        for waiter in waiters {
            let _ = waiter.send(outcome.clone());
        }
    }

    fn count_load_wait(&mut self, copy: &str, now: Instant) {
        let waited = self
            .batch
            .waiting()
            .filter(|sequence| sequence.model == copy)
            .map(|sequence| now.duration_since(sequence.arrived_at).as_millis() as u64)
            .sum::<u64>();
        self.counters.auto_load_wait_ms += waited;
    }

    /// Unloads a copy, even from under the requests that use it, which is counted.
    pub(super) fn unload(&mut self, order: Order) {
        let _ = order
            .outcome
            .send(self.unload_copy(&order.copy, order.fencing_number));
    }

    fn unload_copy(&mut self, copy: &str, fencing_number: Option<u64>) -> OrderOutcome {
        if !self.accepts(fencing_number) {
            return OrderOutcome::Fenced;
        }
        let Some(slot) = self.slots.remove(copy) else {
            return OrderOutcome::CopyMissing;
        };
        self.counters.unloads += 1;
        for waiter in slot.waiters {
            let _ = waiter.send(OrderOutcome::Failed("the copy was unloaded".to_owned()));
        }
        if self.cut_all(copy, "the copy was unloaded") {
            self.counters.pin_violations += 1;
        }
        OrderOutcome::Done
    }

    /// Cuts every request for a copy; false when there was none in use.
    fn cut_all(&mut self, copy: &str, why: &'static str) -> bool {
        let cut = self.batch.take_copy(copy);
        let in_use = cut.iter().any(|sequence| !sequence.is_cancelled());
        cut.into_iter().for_each(|sequence| sequence.cut(why));
        in_use
    }

    /// Notes a fencing number by an order with no other effect.
    pub(super) fn fence(&mut self, order: Order) {
        let outcome = match self.accepts(order.fencing_number) {
            true => OrderOutcome::Done,
            false => OrderOutcome::Fenced,
        };
        let _ = order.outcome.send(outcome);
    }

    fn accepts(&mut self, fencing_number: Option<u64>) -> bool {
        let accepted = self.fencing.accepts(fencing_number);
        self.counters.fenced_orders += u64::from(!accepted);
        accepted
    }

    /// Fills the batch and works out the next step; `None` when there is nothing to run.
    pub(super) fn begin_step(&mut self) -> Option<Step> {
        self.drop_cancelled();
        let fresh_tokens = self.fill_batch();
        let running = self.batch.running();
        if running.is_empty() {
            return None;
        }
        if running
            .iter()
            .any(|sequence| sequence.prompt.contains(CRASH_TEXT))
        {
            return Some(Step::Crashes);
        }
        let settings = &self.settings;
        let time_ms = settings.step_base_ms
            + settings.step_per_request_ms * running.len() as f64
            + settings.step_per_adapter_ms * self.batch.adapters() as f64
            + settings.prefill_per_token_ms * fresh_tokens as f64;
        Some(Step::Takes(settings.scaled(time_ms)))
    }

    /// Drops cancelled requests; those that waited for a load count as having waited until now.
    fn drop_cancelled(&mut self) {
        let now = Instant::now();
        for sequence in self.batch.take_cancelled() {
            self.counters.cancelled += 1;
            if !self.slots.is_ready(&sequence.model) {
                let waited = now.duration_since(sequence.arrived_at);
                self.counters.auto_load_wait_ms += waited.as_millis() as u64;
            }
            self.slots.unpin(&sequence.model);
        }
    }

    /// Moves waiting requests into free places; returns the prompt tokens to read.
    fn fill_batch(&mut self) -> u64 {
        let slots = &self.slots;
        let places = self.settings.batch_places;
        let ready = self.batch.take_ready(places, |model| slots.is_ready(model));
        ready.into_iter().map(|sequence| self.enter(sequence)).sum()
    }

    fn enter(&mut self, sequence: Sequence) -> u64 {
        let adapter = adapter_of(&sequence.model);
        let cost = self.prefixes.read(adapter, &sequence.prompt);
        let counters = &mut self.counters;
        counters.runs += 1;
        counters.prefill_tokens += cost.fresh_tokens;
        counters.cached_tokens += cost.cached_tokens;
        if !sequence.request_id.is_empty() {
            *counters
                .by_request
                .entry(sequence.request_id.clone())
                .or_default() += 1;
        }
        if let Some(marker) = marker_of(&sequence.prompt) {
            let runs = counters.by_marker.entry(marker.to_owned()).or_default();
            runs.push(adapter.to_owned());
        }
        self.batch.enter(sequence);
        cost.fresh_tokens
    }

    /// Generates one token for each request in the batch.
    pub(super) fn finish_step(&mut self) {
        self.counters.steps += 1;
        let running = self.batch.running().len() as u64;
        self.counters.batch_sum += running;
        self.counters.tokens += running;
        // A cut stream ends by dropping it without its last event.
        for sequence in self.batch.generate(self.settings.tokens_per_chunk) {
            self.slots.unpin(&sequence.model);
            self.counters.finished += u64::from(sequence.is_done());
        }
    }

    /// The figures of this moment.
    pub(super) fn report(&self, draining: bool) -> LoadReport {
        let adapters = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.ready)
            .map(|(name, slot)| LoadedAdapter {
                name: name.clone(),
                in_use: slot.in_use,
            })
            .collect();
        LoadReport {
            taken_at_unix_ms: UnixMs::now(),
            running: self.batch.running().len() as u32,
            waiting: self.batch.waiting().len() as u32,
            adapters,
            draining,
            started_at_unix_ms: self.started_at_unix_ms,
        }
    }

    /// Names of the copies held.
    pub(super) fn models(&self) -> Vec<String> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.ready)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
