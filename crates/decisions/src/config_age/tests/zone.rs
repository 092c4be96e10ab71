//! The instances of a zone, of which one reads the store, in virtual time.

use std::collections::VecDeque;

use monsoonspread_model::{InstanceName, UnixMs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{
    AgeBounds, ConfigAge, Confirmation, ConfirmationRequests, ConfirmationSource, KeyVerdict,
};
use crate::change_feed::FeedTiming;

/// Duration of a step, in milliseconds.
pub const STEP_MS: u64 = 5;
/// Interval of requests for confirmation, in milliseconds.
const RENEW_MS: u64 = 1_000;
/// Timeout of a call to the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Faults {
    None,
    Many,
}

enum Message {
    Request(usize, u64),
    Changes(u64),
    Confirmed(Confirmation),
}

/// A call to the store, which the store answers with its revision at its arrival.
struct Call {
    asked_at: UnixMs,
    times_out: u64,
    arrives: u64,
    answered: u64,
    revision: Option<u64>,
}

struct Instance {
    age: ConfigAge,
    requests: ConfirmationRequests,
    source: ConfirmationSource,
    /// What its clock shows at the time 0.
    clock_ms: u64,
    revision: u64,
    call: Option<Call>,
    next_call: u64,
    next_request: u64,
    last_message: u64,
    inbox: VecDeque<(u64, Message)>,
    frozen_until: u64,
    cut_until: u64,
    store_cut_until: u64,
}

pub struct Zone {
    random: ChaCha8Rng,
    now: u64,
    bounds: AgeBounds,
    timing: FeedTiming,
    faults: Faults,
    /// When each revision after the first was acknowledged; each one removes a key.
    removed_at: Vec<u64>,
    instances: Vec<Instance>,
}

impl Zone {
    pub fn new(seed: u64, instances: usize, bounds: AgeBounds, change_ms: u64) -> Self {
        let mut zone = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 20_000,
            bounds,
            timing: FeedTiming::new(change_ms),
            faults: Faults::None,
            removed_at: Vec::new(),
            instances: Vec::new(),
        };
        for _ in 0..instances {
            let instance = zone.started();
            zone.instances.push(instance);
        }
        zone
    }

    pub fn with_faults(self, faults: Faults) -> Self {
        Self { faults, ..self }
    }

    /// An instance that starts now, with any time of day.
    fn started(&mut self) -> Instance {
        let clock_ms = self.random.random_range(0..1_000_000);
        Instance {
            age: ConfigAge::new(self.bounds),
            requests: ConfirmationRequests::new(clock_ms + self.now),
            source: ConfirmationSource::default(),
            clock_ms,
            revision: 0,
            call: None,
            next_call: self.now,
            next_request: self.now,
            last_message: self.now,
            inbox: VecDeque::new(),
            frozen_until: 0,
            cut_until: 0,
            store_cut_until: 0,
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    pub fn cut_from_store(&mut self) {
        for instance in &mut self.instances {
            instance.store_cut_until = u64::MAX;
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        if self.faults == Faults::Many {
            self.disturb();
        }
        for number in 0..self.instances.len() {
            self.advance_call(number);
            if self.instances[number].frozen_until <= self.now {
                self.receive(number);
                self.act(number);
            }
        }
    }

    /// Instances that vouch for a key that was removed, and how long ago that was acknowledged.
    pub fn vouches_for_removed(&self) -> Vec<(usize, u64)> {
        let instances = self.instances.iter().enumerate();
        let running = instances.filter(|(_, instance)| instance.frozen_until <= self.now);
        let vouching = running.filter(|(_, instance)| instance.age.vouches(self.time(instance)));
        vouching
            .filter_map(|(number, instance)| {
                let removed_at = self.removed_at.get(instance.revision as usize)?;
                Some((number, self.now - removed_at))
            })
            .collect()
    }

    /// Number of instances that refuse known keys.
    pub fn refusing(&self) -> usize {
        let instances = self.instances.iter();
        let refusing = instances.filter(|instance| !instance.age.vouches(self.time(instance)));
        refusing.count()
    }

    /// Number of instances that don't refuse unknown keys for good.
    pub fn without_final_answer(&self) -> usize {
        let instances = self.instances.iter();
        let verdicts = instances.map(|up| up.age.verdict(self.time(up), false));
        verdicts.filter(|one| *one != KeyVerdict::Unknown).count()
    }

    fn time(&self, instance: &Instance) -> UnixMs {
        UnixMs(instance.clock_ms + self.now)
    }

    /// Brings about faults of one instance now and then, and removes keys.
    fn disturb(&mut self) {
        let number = self.random.random_range(0..self.instances.len());
        let until = self.now + self.random.random_range(10..8_000);
        let instances = self.instances.len() as u32;
        // Each instance suffers from a fault about every two seconds.
        if !self.random.random_ratio(instances.min(100), 400) {
            return;
        }
        match self.random.random_range(0..5) {
            0 => self.instances[number].frozen_until = until,
            1 => self.instances[number].cut_until = until,
            2 => self.instances[number].store_cut_until = until,
            3 => self.removed_at.push(self.now),
            _ => self.instances[number] = self.started(),
        }
    }

    fn delay(&mut self) -> u64 {
        match self.faults {
            Faults::None => self.random.random_range(1..5),
            Faults::Many if self.random.random_ratio(1, 10) => self.random.random_range(1..3_000),
            Faults::Many => self.random.random_range(1..50),
        }
    }

    /// Lets the store answer a call, and loses the call where the link is cut.
    fn advance_call(&mut self, number: usize) {
        let revision = self.removed_at.len() as u64;
        let now = self.now;
        let instance = &mut self.instances[number];
        let is_cut = instance.store_cut_until > now;
        let Some(call) = &mut instance.call else {
            return;
        };
        if call.revision.is_none() && call.arrives <= now && !is_cut {
            call.revision = Some(revision);
        }
        if is_cut {
            call.answered = u64::MAX;
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = |number: usize| self.instances[number].cut_until > self.now;
        if is_cut(from) || is_cut(to) {
            return;
        }
        let at = self.now + self.delay();
        let inbox = &mut self.instances[to].inbox;
        // Messages on one link stay in order.
        let at = inbox.back().map_or(at, |(last, _)| at.max(*last));
        inbox.push_back((at, message));
    }

    fn receive(&mut self, number: usize) {
        while let Some((at, _)) = self.instances[number].inbox.front()
            && *at <= self.now
        {
            let time = self.time(&self.instances[number]);
            let instance = &mut self.instances[number];
            let (_, message) = instance.inbox.pop_front().expect("a message");
            instance.last_message = self.now;
            match message {
                Message::Changes(up_to) => instance.revision = instance.revision.max(up_to),
                Message::Confirmed(confirmation) => {
                    let requests = &instance.requests;
                    let at = requests.confirmed_at(time, instance.revision, &confirmation);
                    if let Some(at) = at {
                        instance.age.on_confirmed(at);
                    }
                }
                Message::Request(from, request) => {
                    let answer = instance.source.on_request(time, &name(from), request);
                    if let Some(confirmation) = answer {
                        self.send(number, from, Message::Confirmed(confirmation));
                    }
                }
            }
        }
    }

    fn act(&mut self, number: usize) {
        self.read_answer(number);
        let time = self.time(&self.instances[number]);
        let instance = &mut self.instances[number];
        let is_source = number == 0;
        let is_alone = self.now >= instance.last_message + self.timing.source_timeout_ms;
        let is_new = instance.age.age_ms(time).is_none();
        let may_call = instance.call.is_none() && instance.next_call <= self.now;
        if may_call && (is_source || is_alone || is_new) {
            self.call_store(number);
        }
        let instance = &mut self.instances[number];
        if !is_source && instance.next_request <= self.now {
            instance.next_request = self.now + RENEW_MS;
            let request = instance.requests.on_send(time);
            self.send(number, 0, Message::Request(number, request));
        }
    }

    fn call_store(&mut self, number: usize) {
        let asked_at = self.time(&self.instances[number]);
        let arrives = self.now + self.delay();
        let call = Call {
            asked_at,
            times_out: self.now + CALL_TIMEOUT_MS,
            arrives,
            answered: arrives + self.timing.watch_ms + self.delay(),
            revision: None,
        };
        let instance = &mut self.instances[number];
        instance.next_call = self.now + self.timing.coalesce_ms;
        instance.call = Some(call);
    }

    fn read_answer(&mut self, number: usize) {
        let time = self.time(&self.instances[number]);
        let instance = &mut self.instances[number];
        let Some(call) = instance.call.take() else {
            return;
        };
        let is_answered = call.answered <= self.now && call.revision.is_some();
        if !is_answered {
            instance.call = (call.times_out > self.now).then_some(call);
            return;
        }
        let revision = call.revision.unwrap_or_default();
        instance.revision = instance.revision.max(revision);
        instance.age.on_confirmed(call.asked_at);
        if number != 0 {
            return;
        }
        let confirmations = instance.source.on_read(time, call.asked_at, revision);
        for to in 1..self.instances.len() {
            self.send(number, to, Message::Changes(revision));
        }
        for (to, confirmation) in confirmations {
            let to = to.as_str().parse().expect("a number");
            self.send(number, to, Message::Confirmed(confirmation));
        }
    }
}

fn name(number: usize) -> InstanceName {
    number.to_string().as_str().into()
}
