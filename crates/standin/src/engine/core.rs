//! The state of an engine: batch, waiting queue, slots.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonspread_model::load_report::LoadedAdapter;
use monsoonspread_model::{LoadReport, UnixMs};
use tokio::time::Instant;

use super::command::{Order, OrderOutcome};
use super::prefix_cache::PrefixCache;
use super::sequence::{Admission, NewRequest, Sequence, adapter_of};
use super::slots::Slots;
use super::{EngineCounters, EngineSettings};
use crate::fault::FaultState;
use crate::marker::marker_of;

/// A prompt with this text crashes each engine that runs it.
pub const CRASH_TEXT: &str = "crash-this-engine";

/// Place in the waiting queue: priority, then order of arrival.
type Turn = (i64, u64);

/// What an engine keeps in its life, and its counters.
#[derive(Debug)]
pub(super) struct Core {
    settings: EngineSettings,
    pub(super) counters: EngineCounters,
    pub(super) life: u64,
    started_at_unix_ms: UnixMs,
    highest_fencing_number: u64,
    slots: Slots,
    waiting: BTreeMap<Turn, Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
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
            settings,
            counters: EngineCounters::default(),
            life: 0,
            started_at_unix_ms: UnixMs::now(),
            highest_fencing_number: 0,
            slots: Slots::default(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
            prefixes,
            wanted_loads: Vec::new(),
        }
    }

    /// Forgets everything but the counters; dropped requests end their streams.
    pub(super) fn crash(&mut self) {
        let cut = std::mem::take(&mut self.waiting).into_values();
        cut.chain(std::mem::take(&mut self.running))
            .for_each(|sequence| sequence.cut("the engine died"));
        self.life += 1;
        self.started_at_unix_ms = UnixMs::now();
        self.highest_fencing_number = 0;
        self.slots.clear();
        self.prefixes = PrefixCache::new(self.settings.prefix_cache_blocks);
        self.wanted_loads.clear();
    }

    /// Takes a request in, or says why not.
    pub(super) fn generate(&mut self, request: NewRequest, faults: &FaultState, now: Instant) {
        let (request, admission) = self.admit(request, faults, now);
        if admission != Admission::Taken {
            self.counters.refused += 1;
        }
        let _ = request.send(admission);
    }

    fn admit(
        &mut self,
        mut request: NewRequest,
        faults: &FaultState,
        now: Instant,
    ) -> (tokio::sync::oneshot::Sender<Admission>, Admission) {
        let (unused, _) = tokio::sync::oneshot::channel();
        let taken = std::mem::replace(&mut request.taken, unused);
        if faults.is_draining() {
            return (taken, Admission::Refused("the engine is stopping"));
        }
        if self.waiting.len() >= self.settings.max_waiting {
            return (taken, Admission::Refused("too many requests wait"));
        }
        if !self.slots.is_ready(&request.model) {
            if !self.settings.auto_load {
                return (taken, Admission::CopyMissing);
            }
            self.want(&request.model);
        }
        self.slots.pin(&request.model);
        self.arrivals += 1;
        let turn = (request.priority, self.arrivals);
        let mut sequence = Sequence::new(request, now);
        if faults.take_cut_stream() {
            sequence.cut_after = Some(sequence.max_tokens / 2);
        }
        self.waiting.insert(turn, sequence);
        (taken, Admission::Taken)
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
            let waiting = self
                .waiting
                .values()
                .filter(|one| one.model == name)
                .count();
            (0..waiting).for_each(|_| self.slots.pin(&name));
            begun.push(name);
        }
        begun
    }

    /// Forgets loads for which only cancelled requests wait.
    fn drop_unwanted_loads(&mut self) {
        let waiting = &self.waiting;
        self.wanted_loads.retain(|name| {
            waiting
                .values()
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
        if self.is_fenced(order.fencing_number) {
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
            .waiting
            .values()
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
        if self.is_fenced(fencing_number) {
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
        let waiting = self
            .waiting
            .extract_if(.., |_, sequence| sequence.model == copy);
        let waiting = waiting.map(|(_, sequence)| sequence).collect::<Vec<_>>();
        let running = self
            .running
            .extract_if(.., |sequence| sequence.model == copy);
        let cut = waiting.into_iter().chain(running).collect::<Vec<_>>();
        let in_use = cut.iter().any(|sequence| !sequence.is_cancelled());
        cut.into_iter().for_each(|sequence| sequence.cut(why));
        in_use
    }

    /// Notes a fencing number by an order with no other effect.
    pub(super) fn fence(&mut self, order: Order) {
        let outcome = match self.is_fenced(order.fencing_number) {
            true => OrderOutcome::Fenced,
            false => OrderOutcome::Done,
        };
        let _ = order.outcome.send(outcome);
    }

    fn is_fenced(&mut self, fencing_number: Option<u64>) -> bool {
        let Some(number) = fencing_number.filter(|_| self.settings.checks_fencing) else {
            return false;
        };
        let is_old = number < self.highest_fencing_number;
        self.highest_fencing_number = self.highest_fencing_number.max(number);
        self.counters.fenced_orders += u64::from(is_old);
        is_old
    }

    /// Fills the batch and works out the next step; `None` when there is nothing to run.
    pub(super) fn begin_step(&mut self) -> Option<Step> {
        self.drop_cancelled();
        let fresh_tokens = self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        if self
            .running
            .iter()
            .any(|sequence| sequence.prompt.contains(CRASH_TEXT))
        {
            return Some(Step::Crashes);
        }
        let adapters = self
            .running
            .iter()
            .map(|sequence| sequence.model.as_str())
            .collect::<std::collections::HashSet<_>>()
            .len();
        let settings = &self.settings;
        let time_ms = settings.step_base_ms
            + settings.step_per_request_ms * self.running.len() as f64
            + settings.step_per_adapter_ms * adapters as f64
            + settings.prefill_per_token_ms * fresh_tokens as f64;
        Some(Step::Takes(settings.scaled(time_ms)))
    }

    fn drop_cancelled(&mut self) {
        let waiting = self
            .waiting
            .extract_if(.., |_, sequence| sequence.is_cancelled());
        let waiting = waiting.map(|(_, sequence)| sequence).collect::<Vec<_>>();
        let running = self
            .running
            .extract_if(.., |sequence| sequence.is_cancelled());
        let cancelled = waiting.into_iter().chain(running).collect::<Vec<_>>();
        self.counters.cancelled += cancelled.len() as u64;
        for sequence in cancelled {
            self.slots.unpin(&sequence.model);
        }
    }

    /// Moves waiting requests into free places; returns the prompt tokens to read.
    fn fill_batch(&mut self) -> u64 {
        let places = self
            .settings
            .batch_places
            .saturating_sub(self.running.len());
        let turns = self
            .waiting
            .iter()
            .filter(|(_, sequence)| self.slots.is_ready(&sequence.model))
            .map(|(turn, _)| *turn)
            .take(places)
            .collect::<Vec<_>>();
        let mut fresh_tokens = 0;
        for turn in turns {
            if let Some(sequence) = self.waiting.remove(&turn) {
                fresh_tokens += self.enter(sequence);
            }
        }
        fresh_tokens
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
        self.running.push(sequence);
        cost.fresh_tokens
    }

    /// Generates one token for each request in the batch.
    pub(super) fn finish_step(&mut self) {
        self.counters.steps += 1;
        self.counters.batch_sum += self.running.len() as u64;
        self.counters.tokens += self.running.len() as u64;
        for sequence in &mut self.running {
            sequence.generate(self.settings.tokens_per_chunk);
        }
        let ends = |sequence: &mut Sequence| {
            sequence.is_done() || sequence.cut_after == Some(sequence.done_tokens)
        };
        let ended = self.running.extract_if(.., ends).collect::<Vec<_>>();
        for sequence in ended {
            self.slots.unpin(&sequence.model);
            // A cut stream ends by dropping it without its last event.
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
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
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
