//! Simulation of a copy control and an engine with message faults between them.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{
    AdapterKey, BaseModel, EngineShape, Order, OrderAnswer, PromptPart,
};

use super::engine::FakeEngine;
use crate::copies::{CopyAction, CopyControl, CopyRefusal, CopyRequest, CopyRequestId};

/// How an order is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    Answered,
    /// Carried out, but the answer is lost.
    AnswerLost,
    /// Carried out after this delay in milliseconds, and not answered.
    Late(u64),
}

pub struct World {
    pub control: CopyControl,
    pub engine: FakeEngine,
    pub now: UnixMs,
    pub granted: Vec<u64>,
    pub refused: Vec<(u64, CopyRefusal)>,
    pub deliveries: Box<dyn FnMut() -> Delivery>,
    pub orders: usize,
    late: Vec<(UnixMs, Order)>,
    deferred: Vec<CopyAction>,
}

impl World {
    pub fn new(slots: usize) -> Self {
        Self::with_memory(slots, 100_000)
    }

    /// Creates a world whose engine caches `kv_tokens` tokens.
    pub fn with_memory(slots: usize, kv_tokens: u64) -> Self {
        let base = BaseModel {
            name: "base".into(),
            size_mb: 0.0,
            adapter_size_mb: 0.0,
        };
        let shape = EngineShape {
            batch_places: 64,
            kv_tokens,
            adapter_slots: slots as u32,
            weights_mb: 0.0,
            models: vec![base],
        };
        let mut control = CopyControl::new(shape);
        control.may_order = true;
        Self {
            control,
            engine: FakeEngine::new(slots),
            now: UnixMs(1_000),
            granted: Vec::new(),
            refused: Vec::new(),
            deliveries: Box::new(|| Delivery::Answered),
            orders: 0,
            late: Vec::new(),
            deferred: Vec::new(),
        }
    }

    pub fn key(adapter: u64) -> AdapterKey {
        AdapterKey::new("base", Some(&format!("a{adapter}")))
    }

    pub fn id(number: u64) -> CopyRequestId {
        CopyRequestId {
            instance: "entry-1".into(),
            number,
        }
    }

    fn new_request(&self, number: u64, adapter: u64) -> CopyRequest {
        CopyRequest {
            id: Self::id(number),
            key: Self::key(adapter),
            min_version: None,
            rank: 0,
            prompt_tokens: 0,
            answer_tokens: 0,
            shared_parts: Vec::new(),
            patient: true,
            in_time_until: self.now + 30_000,
            wait_until: self.now + 60_000,
            ends_by: self.now + 90_000,
        }
    }

    pub fn request(&mut self, number: u64, adapter: u64) {
        let request = self.new_request(number, adapter);
        let actions = self.control.on_request(self.now, request);
        self.carry_out(actions);
    }

    /// Requests a copy of at least `min_version`.
    pub fn request_version(&mut self, number: u64, adapter: u64, min_version: u64) {
        let request = CopyRequest {
            min_version: Some(min_version),
            ..self.new_request(number, adapter)
        };
        let actions = self.control.on_request(self.now, request);
        self.carry_out(actions);
    }

    /// Like [`Self::request_version`], for a request that asks other engines too.
    pub fn request_version_impatiently(&mut self, number: u64, adapter: u64, min_version: u64) {
        let request = CopyRequest {
            min_version: Some(min_version),
            patient: false,
            ..self.new_request(number, adapter)
        };
        let actions = self.control.on_request(self.now, request);
        self.carry_out(actions);
    }

    /// Requests a copy for a prompt of `prompt_tokens` tokens.
    pub fn request_with_prompt(&mut self, number: u64, adapter: u64, prompt_tokens: u32) {
        let request = CopyRequest {
            prompt_tokens,
            ..self.new_request(number, adapter)
        };
        let actions = self.control.on_request(self.now, request);
        self.carry_out(actions);
    }

    /// Requests a copy for a request of `rank` with the lengths of its prompt and answer, in tokens,
    /// that is late after `in_time_ms`.
    pub fn request_ranked(
        &mut self,
        number: u64,
        adapter: u64,
        rank: u32,
        (prompt_tokens, answer_tokens): (u32, u32),
        in_time_ms: u64,
    ) {
        let request = CopyRequest {
            rank,
            prompt_tokens,
            answer_tokens,
            in_time_until: self.now + in_time_ms,
            ..self.new_request(number, adapter)
        };
        let actions = self.control.on_request(self.now, request);
        self.carry_out(actions);
    }

    /// Requests a copy for a prompt with the prefix `shared` and `further_tokens` further tokens.
    pub fn request_with_shared_prompt(
        &mut self,
        number: u64,
        adapter: u64,
        shared: &[PromptPart],
        further_tokens: u32,
    ) {
        let request = CopyRequest {
            prompt_tokens: shared.iter().map(|part| part.tokens).sum::<u32>() + further_tokens,
            shared_parts: shared.to_vec(),
            ..self.new_request(number, adapter)
        };
        let actions = self.control.on_request(self.now, request);
        self.carry_out(actions);
    }

    /// Delivers the first event of a request's response, with the engine's slowness.
    pub fn started(&mut self, number: u64, slowness_percent: u32) {
        let id = Self::id(number);
        let actions = self
            .control
            .on_started(self.now, &id, Some(slowness_percent));
        self.carry_out(actions);
    }

    /// Requests a copy and defers the resulting actions.
    pub fn request_later(&mut self, number: u64, adapter: u64) {
        let request = self.new_request(number, adapter);
        let actions = self.control.on_request(self.now, request);
        self.deferred.extend(actions);
    }

    pub fn take_actions(&mut self) -> Vec<CopyAction> {
        std::mem::take(&mut self.deferred)
    }

    pub fn done(&mut self, number: u64) {
        let actions = self.control.on_done(self.now, &Self::id(number), false);
        self.carry_out(actions);
    }

    pub fn name_version(&mut self, adapter: u64, version: u64) {
        self.engine.newest.insert(Self::key(adapter), version);
        let actions = self
            .control
            .on_version(self.now, &Self::key(adapter), version);
        self.carry_out(actions);
    }

    /// Restarts the engine under the same name; late orders may still reach it.
    pub fn restart(&mut self) {
        self.engine.restart();
        let actions = self.control.on_restart(self.now);
        self.carry_out(actions);
    }

    /// Advances the time in steps of 5 ms.
    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = self.now + 5;
            self.engine.on_time(self.now);
            self.deliver_late();
            let actions = self.control.on_tick(self.now);
            self.carry_out(actions);
        }
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = later;
        for (_, order) in due {
            self.engine.on_order(now, &order);
        }
    }

    pub fn carry_out(&mut self, actions: Vec<CopyAction>) {
        for action in actions {
            match action {
                CopyAction::Grant { request, .. } => self.granted.push(request.number),
                CopyAction::Refuse { request, reason } => {
                    self.refused.push((request.number, reason))
                }
                CopyAction::ReadReport => {
                    let report = self.engine.report();
                    let actions = self.control.on_report(self.now, Some(report));
                    self.carry_out(actions);
                }
                CopyAction::Order(order) => {
                    self.orders += 1;
                    let answer = self.order(order);
                    let actions = self.control.on_order_answer(self.now, answer);
                    self.carry_out(actions);
                }
            }
        }
    }

    fn order(&mut self, order: Order) -> OrderAnswer {
        match (self.deliveries)() {
            Delivery::Answered => self.engine.on_order(self.now, &order),
            Delivery::AnswerLost => {
                self.engine.on_order(self.now, &order);
                OrderAnswer::Unanswered
            }
            Delivery::Late(ms) => {
                self.late.push((self.now + ms, order));
                OrderAnswer::Unanswered
            }
        }
    }
}
