//! The run: arrivals, messages and engines in the order of their times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use monsoonspread_decisions::copies::{
    CopyAction, CopyRequest, CopyRequestId, EngineQuote, QuoteQuestion,
};
use monsoonspread_decisions::load_choice::{LoadChoice, PromptCost};
use monsoonspread_decisions::placement::{CandidateUpstream, Placement, PlacementSettings};
use monsoonspread_model::fleet::{AdapterKey, Order, OrderAnswer};
use monsoonspread_model::{AdapterName, UnixMs, UpstreamName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{EmulatedEngine, MODEL};
use super::{EmulatedRun, EmulatorSettings, EngineChoice};
use crate::plan::Popularity;

/// Way of a message between two instances, or to an engine, in milliseconds.
const HOP_MS: u64 = 1;
/// How often holders look after their engines, in milliseconds.
const TICK_MS: u64 = 25;
/// Objective for the first event, in milliseconds.
const OBJECTIVE_MS: u64 = 1_000;
/// How long a request waits for a copy, in milliseconds.
const WAIT_MS: u64 = 2_500;
/// How long a request may take, in milliseconds.
const DEADLINE_MS: u64 = 10_000;
/// Start of virtual time: zero stands for "never" in some states.
const START: UnixMs = UnixMs(1_000);

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Ask { request: u64, patient: bool },
    Granted(u64),
    Refused(u64),
    Started(u64),
    Ended(u64),
    Answered { engine: usize, answer: OrderAnswer },
    Ordered { engine: usize, order: Order },
    Report { engine: usize },
    Tick,
}

struct Instance {
    placement: Placement,
    loads: LoadChoice,
}

struct Request {
    instance: usize,
    key: AdapterKey,
    arrived_at: UnixMs,
    /// Engines still to be asked, the next one last.
    candidates: Vec<UpstreamName>,
    first: UpstreamName,
    engine: usize,
    is_patient: bool,
}

struct World {
    settings: EmulatorSettings,
    choice: EngineChoice,
    random: ChaCha8Rng,
    popularity: Popularity,
    now: UnixMs,
    ends_at: UnixMs,
    queue: BinaryHeap<Reverse<(UnixMs, u64)>>,
    events: HashMap<u64, Event>,
    scheduled: u64,
    instances: Vec<Instance>,
    engines: Vec<EmulatedEngine>,
    numbers: BTreeMap<UpstreamName, usize>,
    requests: BTreeMap<u64, Request>,
    arrivals: u64,
    run: EmulatedRun,
}

/// Plays `settings` with one way of choosing engines.
///
/// ```
/// # use monsoonspread_load::emulator::{EmulatorSettings, EngineChoice, emulate};
/// let settings = EmulatorSettings { engines: 4, requests_per_s: 10.0, seconds: 2, ..Default::default() };
/// let run = emulate(settings.with_instances(3), EngineChoice::Quotes);
/// assert!(run.first_event.count > 0);
/// ```
pub fn emulate(settings: EmulatorSettings, choice: EngineChoice) -> EmulatedRun {
    let mut world = World::new(settings, choice);
    world.play();
    world.finish()
}

impl World {
    fn new(settings: EmulatorSettings, choice: EngineChoice) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        let popularity = Popularity::new(settings.adapters, settings.zipf_exponent, &mut random);
        let upstreams: Vec<CandidateUpstream> = (0..settings.engines)
            .map(|number| CandidateUpstream {
                name: format!("engine-{number}").into(),
                zone: format!("zone-{}", number % settings.zones).into(),
                weight: 1.0,
            })
            .collect();
        let instances = (0..settings.instances).map(|number| {
            let zone = format!("zone-{}", number % settings.zones);
            let mut placement = Placement::new(zone.as_str().into(), PLACEMENT);
            placement.on_upstreams(upstreams.clone());
            placement.on_sharing_instances(settings.instances);
            let loads = LoadChoice::new();
            Instance { placement, loads }
        });
        let numbers = upstreams.iter().enumerate();
        let numbers = numbers.map(|(number, up)| (up.name.clone(), number));
        Self {
            instances: instances.collect(),
            engines: (0..settings.engines)
                .map(|number| EmulatedEngine::new(&settings, settings.time_percent(number)))
                .collect(),
            numbers: numbers.collect(),
            now: START,
            ends_at: START + settings.seconds * 1_000,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            requests: BTreeMap::new(),
            arrivals: 0,
            run: EmulatedRun::new(settings, choice),
            settings,
            choice,
            random,
            popularity,
        }
    }

    fn at(&mut self, at: UnixMs, event: Event) {
        self.scheduled += 1;
        self.events.insert(self.scheduled, event);
        self.queue.push(Reverse((at, self.scheduled)));
    }

    fn play(&mut self) {
        for engine in 0..self.engines.len() {
            let actions = self.engines[engine].control.on_may_order(self.now, true);
            self.perform(engine, actions);
        }
        self.at(self.now, Event::Tick);
        // Holders know their engines before the first request.
        self.at(self.now + 2 * TICK_MS, Event::Arrival);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.on_event(event);
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Ask { request, patient } => self.on_ask(request, patient),
            Event::Granted(request) => self.on_granted(request),
            Event::Refused(request) => self.ask_next(request),
            Event::Started(request) => self.on_started(request),
            Event::Ended(request) => self.on_ended(request),
            Event::Ordered { engine, order } => {
                let answer = self.engines[engine].on_order(self.now, &order);
                self.at(self.now + HOP_MS, Event::Answered { engine, answer });
            }
            Event::Answered { engine, answer } => {
                let control = &mut self.engines[engine].control;
                let actions = control.on_order_answer(self.now, answer);
                self.perform(engine, actions);
            }
            Event::Report { engine } => {
                let report = self.engines[engine].report(self.now);
                let control = &mut self.engines[engine].control;
                let actions = control.on_report(self.now, Some(report));
                self.perform(engine, actions);
            }
            Event::Tick => {
                for engine in 0..self.engines.len() {
                    self.share_paces(engine);
                    let actions = self.engines[engine].control.on_tick(self.now);
                    self.perform(engine, actions);
                }
                if self.now < self.ends_at || !self.requests.is_empty() {
                    self.at(self.now + TICK_MS, Event::Tick);
                }
            }
        }
    }

    /// The instance that holds an engine knows the usual paces from its own quotes.
    fn share_paces(&mut self, engine: usize) {
        let holder = engine % self.instances.len();
        let usual = self.instances[holder].loads.usual_paces(self.now);
        self.engines[engine].control.on_usual_paces(usual);
    }

    fn on_arrival(&mut self) {
        let mean_ms = 1_000.0 / self.settings.requests_per_s;
        let uniform: f64 = self.random.random();
        // Several arrivals may fall into one millisecond.
        let gap_ms = -mean_ms * (1.0 - uniform).ln();
        let gap_ms = (gap_ms + self.random.random::<f64>()).floor() as u64;
        if self.now + gap_ms < self.ends_at {
            self.at(self.now + gap_ms, Event::Arrival);
        }
        self.arrivals += 1;
        let instance = self.random.random_range(0..self.instances.len());
        let adapter = format!("a{}", self.popularity.draw(&mut self.random));
        let mut candidates = self.candidates(instance, &adapter.as_str().into());
        candidates.reverse();
        let Some(first) = candidates.last().cloned() else {
            return;
        };
        let request = Request {
            instance,
            key: AdapterKey::new(MODEL, Some(&adapter)),
            arrived_at: self.now,
            candidates,
            first,
            engine: 0,
            is_patient: false,
        };
        self.requests.insert(self.arrivals, request);
        self.ask_next(self.arrivals);
    }

    fn candidates(&mut self, instance: usize, adapter: &AdapterName) -> Vec<UpstreamName> {
        let now = self.now;
        let Instance { placement, loads } = &mut self.instances[instance];
        placement.on_arrival(now, adapter);
        let mut quoted: Vec<(UpstreamName, EngineQuote)> = Vec::new();
        if self.choice == EngineChoice::Quotes {
            let key = AdapterKey::new(MODEL, Some(adapter.as_str()));
            let draw = self.arrivals as usize;
            let compared = placement.compared(now, adapter, draw, |_| true);
            for (rank, name) in compared.into_iter().enumerate() {
                let control = &mut self.engines[self.numbers[&name]].control;
                let question = QuoteQuestion {
                    key: key.clone(),
                    min_version: None,
                    shared_parts: Vec::new(),
                    counts_demand: rank == 0,
                };
                let quote = control.on_quote(now, &question);
                loads.on_quote(now, &name, quote.as_ref());
                self.run.messages += 2;
                let Some(quote) = quote else { continue };
                quoted.push((name, quote));
                if let Some(per_s) = quote.demand_per_s {
                    placement.on_counted_demand(now, adapter, per_s.into());
                }
            }
        }
        let mut names = placement.candidates(now, adapter);
        let copies = placement.copies(now, adapter);
        let prompt = PromptCost {
            tokens: self.settings.prompt_tokens,
            preferred_engine: None,
        };
        loads.sort(now, &mut names, copies, &quoted, prompt);
        names
    }

    fn ask_next(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let next = request.candidates.pop();
        if next.is_none() && request.is_patient {
            self.requests.remove(&number);
            self.run.refused += 1;
            return;
        }
        request.is_patient = next.is_none();
        let name = next.unwrap_or_else(|| request.first.clone());
        request.engine = self.numbers[&name];
        let patient = request.is_patient;
        self.run.messages += 2;
        let request = number;
        self.at(self.now + HOP_MS, Event::Ask { request, patient });
    }

    fn on_ask(&mut self, number: u64, patient: bool) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let copy_request = CopyRequest {
            id: copy_request_id(number),
            key: request.key.clone(),
            min_version: None,
            rank: 0,
            prompt_tokens: self.settings.prompt_tokens,
            answer_tokens: self.settings.answer_tokens,
            shared_parts: Vec::new(),
            patient,
            in_time_until: request.arrived_at + OBJECTIVE_MS,
            wait_until: request.arrived_at + WAIT_MS,
            ends_by: request.arrived_at + DEADLINE_MS,
        };
        let engine = request.engine;
        let actions = self.engines[engine]
            .control
            .on_request(self.now, copy_request);
        self.perform(engine, actions);
    }

    fn on_granted(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let waited_ms = self.now.ms_since(request.arrived_at);
        self.run.grants_ms.push(waited_ms);
        let tokens = self.settings.prompt_tokens;
        let first_at = self.engines[request.engine].on_prompt(self.now + HOP_MS, tokens);
        self.at(first_at, Event::Started(number));
    }

    fn on_started(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let engine = request.engine;
        let first_ms = self.now.ms_since(request.arrived_at);
        self.run.firsts_ms.push(first_ms);
        let time_percent = self.settings.time_percent(engine);
        let control = &mut self.engines[engine].control;
        let announced = self.settings.announces.then_some(time_percent);
        let actions = control.on_started(self.now, &copy_request_id(number), announced);
        self.perform(engine, actions);
        let answer_ms = self.engines[engine].answer_ms(self.settings.answer_tokens);
        self.at(self.now + answer_ms, Event::Ended(number));
    }

    fn on_ended(&mut self, number: u64) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        let engine = &mut self.engines[request.engine];
        engine.served += 1;
        engine.running -= 1;
        let (id, events) = (copy_request_id(number), self.settings.answer_tokens);
        engine.control.on_streamed(self.now, &id, events);
        let actions = engine.control.on_done(self.now, &id, false);
        self.perform(request.engine, actions);
    }

    fn perform(&mut self, engine: usize, actions: Vec<CopyAction>) {
        let then = self.now + HOP_MS;
        for action in actions {
            match action {
                CopyAction::Order(order) => self.at(then, Event::Ordered { engine, order }),
                CopyAction::ReadReport => self.at(then, Event::Report { engine }),
                CopyAction::Refuse { request, .. } => self.at(then, Event::Refused(request.number)),
                CopyAction::Grant {
                    request, running, ..
                } => {
                    self.on_running(engine, request.number, running);
                    self.at(then, Event::Granted(request.number));
                }
            }
        }
    }

    /// An instance that chooses from its own view learns from grants.
    fn on_running(&mut self, engine: usize, number: u64, running: u32) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let name: UpstreamName = format!("engine-{engine}").into();
        let loads = &mut self.instances[request.instance].loads;
        loads.on_running(self.now, &name, running);
        loads.on_sent(self.now, &name);
    }

    fn finish(self) -> EmulatedRun {
        let served: Vec<u64> = self.engines.iter().map(|engine| engine.served).collect();
        let loads = self.engines.iter().map(|engine| engine.loads).sum();
        self.run
            .finished(&self.settings, self.arrivals, &served, loads)
    }
}

const PLACEMENT: PlacementSettings = PlacementSettings {
    requests_per_copy_per_s: 4.0,
    max_copies: 64,
    spare_candidates: 2,
    demand_half_life_ms: 3_000,
    demand_capacity: 1_024,
};

fn copy_request_id(number: u64) -> CopyRequestId {
    CopyRequestId {
        instance: "emulated".into(),
        number,
    }
}
