//! Simulated calls of many instances to a few servers, in virtual time: a message takes 1 ms.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use monsoonspread_model::fleet::Merit;
use monsoonspread_model::{UnixMs, UpstreamName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{
    PlaceEnd, PlaceId, PlaceRequest, ReportedLoad, RoomAction, RoomKeeper, RoomServer,
};

const MESSAGE_MS: u64 = 1;
const PLACES: usize = 6;
/// Calls that a server queues before it rejects more.
const QUEUE: usize = 24;
const TICK_MS: u64 = 25;
/// Shortest and longest work of a call, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 15..46;

/// One kind of requests.
#[derive(Clone)]
pub struct Kind {
    pub per_s: u64,
    pub merit: Merit,
    pub workspace: Option<&'static str>,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    /// Whether a refused request comes back at once, and how often.
    pub returns_at_once: u32,
}

impl Kind {
    pub fn new(per_s: u64) -> Self {
        Self {
            per_s,
            merit: Merit::default(),
            workspace: None,
            objective_ms: 150,
            deadline_ms: 1_000,
            returns_at_once: 0,
        }
    }
}

/// What became of one kind.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub arrived: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub rejected: u64,
    /// Times after which requests were refused, in milliseconds.
    pub refused_after_ms: Vec<u64>,
    pub returns_ms: Vec<u64>,
}

impl Outcome {
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.arrived as f64
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize, u32),
    Ask(u64),
    Send(u64, usize),
    EndWork(u64, usize),
    Ended(u64, usize, bool),
    Tick,
}

struct Call {
    kind: usize,
    returns: u32,
    arrived_at: u64,
    began_at: u64,
}

#[derive(Default)]
struct Server {
    is_lost: bool,
    slowness: f64,
    running: usize,
    waiting: VecDeque<u64>,
}

/// Servers of one pool, their keeper and the clients.
pub struct Simulation {
    keeper: RoomKeeper,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    calls: HashMap<u64, Call>,
    kinds: Vec<Kind>,
    pub outcomes: Vec<Outcome>,
    now: u64,
    next: u64,
    random: ChaCha8Rng,
    pub lost_done_share: f64,
    /// Share of the calls that end without an answer.
    pub failed_share: f64,
}

fn name(server: usize) -> UpstreamName {
    format!("plain-{server}").as_str().into()
}

impl Simulation {
    pub fn new(servers: usize, kinds: &[Kind]) -> Self {
        let mut simulation = Self {
            keeper: RoomKeeper::default(),
            servers: Vec::new(),
            events: BinaryHeap::new(),
            calls: HashMap::new(),
            kinds: kinds.to_vec(),
            outcomes: vec![Outcome::default(); kinds.len()],
            now: 1_000_000,
            next: 0,
            random: ChaCha8Rng::seed_from_u64(7),
            lost_done_share: 0.0,
            failed_share: 0.0,
        };
        for _ in 0..servers {
            simulation.servers.push(Server {
                slowness: 1.0,
                ..Server::default()
            });
        }
        simulation.list();
        simulation.at(0, Event::Tick);
        simulation
    }

    /// Sets how long work takes on a server, relative to the usual time.
    pub fn set_slowness(&mut self, server: usize, slowness: f64) {
        self.servers[server].slowness = slowness;
    }

    /// Ends a server and its calls.
    pub fn lose(&mut self, server: usize) {
        self.servers[server].is_lost = true;
        self.list();
    }

    fn list(&mut self) {
        let servers = self.servers.iter().enumerate();
        let listed = servers.filter(|(_, server)| !server.is_lost);
        let listed = listed.map(|(number, _)| RoomServer {
            name: name(number),
            zone: "zone-a".into(),
            incarnation: 1,
        });
        self.keeper.on_servers(listed.collect());
    }

    /// Runs the clients for `for_ms`, then until all calls have ended if `to_end`.
    pub fn run(&mut self, for_ms: u64, to_end: bool) {
        let ends_at = self.now + for_ms;
        for kind in 0..self.kinds.len() {
            let arrivals = self.kinds[kind].per_s * for_ms / 1_000;
            for _ in 0..arrivals {
                let at_ms = self.random.random_range(0..for_ms);
                self.at(at_ms, Event::Arrive(kind, 0));
            }
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= ends_at && !to_end || to_end && at > ends_at + 3_000 {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.now = ends_at;
    }

    fn at(&mut self, in_ms: u64, event: Event) {
        self.next += 1;
        let entry = (self.now + in_ms, self.next, event);
        self.events.push(Reverse(entry));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick => {
                let actions = self.keeper.on_tick(UnixMs(self.now));
                self.carry_out(actions);
                self.at(TICK_MS, Event::Tick);
            }
            Event::Arrive(kind, returns) => {
                if returns == 0 {
                    self.outcomes[kind].arrived += 1;
                }
                let call = Call {
                    kind,
                    returns,
                    arrived_at: self.now,
                    began_at: 0,
                };
                self.next += 1;
                self.calls.insert(self.next, call);
                self.at(MESSAGE_MS, Event::Ask(self.next));
            }
            Event::Ask(call) => self.ask(call),
            Event::Send(call, server) => self.on_sent(call, server),
            Event::EndWork(call, server) => self.on_work_ended(call, server),
            Event::Ended(call, server, served) => self.on_ended(call, server, served),
        }
    }

    fn ask(&mut self, call: u64) {
        let Call {
            kind, arrived_at, ..
        } = self.calls[&call];
        let kind = &self.kinds[kind];
        let request = PlaceRequest {
            id: id(call),
            merit: kind.merit,
            workspace: kind.workspace.map(Into::into),
            zone: None,
            in_time_until: UnixMs(arrived_at + kind.objective_ms),
            ends_by: UnixMs(arrived_at + kind.deadline_ms),
        };
        let actions = self.keeper.on_request(UnixMs(self.now), request);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<RoomAction>) {
        for action in actions {
            match action {
                RoomAction::Grant { id, server, .. } => {
                    let mut servers = 0..self.servers.len();
                    let server = servers.find(|number| name(*number) == server);
                    let server = server.expect("a server");
                    self.at(2 * MESSAGE_MS, Event::Send(id.number, server));
                }
                RoomAction::Queue { .. } => {}
                RoomAction::Refuse { id, return_ms, .. } => self.on_refused(id.number, return_ms),
            }
        }
    }

    fn on_refused(&mut self, call: u64, return_ms: u64) {
        let Some(call) = self.calls.remove(&call) else {
            return;
        };
        if call.returns < self.kinds[call.kind].returns_at_once {
            self.at(1, Event::Arrive(call.kind, call.returns + 1));
            return;
        }
        let outcome = &mut self.outcomes[call.kind];
        outcome.refused += 1;
        outcome.refused_after_ms.push(self.now - call.arrived_at);
        outcome.returns_ms.push(self.now + return_ms);
    }

    fn on_sent(&mut self, call: u64, server: usize) {
        let state = &mut self.servers[server];
        if state.is_lost || state.waiting.len() >= QUEUE {
            self.outcomes[self.calls[&call].kind].rejected += 1;
            self.at(2 * MESSAGE_MS, Event::Ended(call, server, false));
        } else if state.running < PLACES {
            self.begin(call, server);
        } else {
            state.waiting.push_back(call);
        }
    }

    fn begin(&mut self, call: u64, server: usize) {
        self.servers[server].running += 1;
        if let Some(call) = self.calls.get_mut(&call) {
            call.began_at = self.now;
        }
        let work_ms = self.random.random_range(WORK_MS) as f64 * self.servers[server].slowness;
        self.at(work_ms as u64, Event::EndWork(call, server));
    }

    fn on_work_ended(&mut self, call: u64, server: usize) {
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.begin(next, server);
        }
        let fails = self.random.random_range(0.0..1.0) < self.failed_share;
        let served = !self.servers[server].is_lost && !fails;
        let done = self.calls.get(&call);
        if let Some(done) = done.filter(|_| served) {
            let kind = &self.kinds[done.kind];
            let took_ms = self.now + MESSAGE_MS - done.arrived_at;
            let outcome = &mut self.outcomes[done.kind];
            if took_ms <= kind.objective_ms && done.returns == 0 {
                outcome.in_time += 1;
            } else if took_ms <= kind.deadline_ms {
                outcome.late += 1;
            }
        }
        self.at(2 * MESSAGE_MS, Event::Ended(call, server, served));
    }

    fn on_ended(&mut self, call: u64, server: usize, served: bool) {
        let Some(done) = self.calls.remove(&call) else {
            return;
        };
        if self.random.random_range(0.0..1.0) < self.lost_done_share {
            return;
        }
        let state = &self.servers[server];
        let load = ReportedLoad {
            running: state.running as u32,
            waiting: state.waiting.len() as u32,
            places: PLACES as u32,
            slowness_percent: 100,
        };
        let took_ms = self.now.saturating_sub(done.began_at);
        let end = match served {
            true => PlaceEnd::Served(took_ms),
            false => PlaceEnd::Failed,
        };
        let load = (!state.is_lost).then_some(load);
        let actions = self.keeper.on_end(UnixMs(self.now), &id(call), end, load);
        self.carry_out(actions);
    }
}

fn id(call: u64) -> PlaceId {
    PlaceId {
        instance: format!("entry-{}", call % 80).as_str().into(),
        number: call,
    }
}
