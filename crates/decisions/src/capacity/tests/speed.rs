//! The estimated speed of engines against their true one.

use monsoonspread_model::UnixMs;

use crate::capacity::{EnginePaces, EngineSpeed, usual_paces};

/// Prompt tokens that an engine of the usual speed reads in a millisecond.
const TOKENS_PER_MS: f64 = 38.0;
/// Time between two events at the usual speed, in milliseconds.
const EVENT_MS: f64 = 36.0;
/// Time between two requests to an engine, in milliseconds.
const GAP_MS: u64 = 110;
/// Time of the steps up to the first event at the usual speed, in milliseconds.
const BEGIN_MS: f64 = 20.0;
/// Events of an answer.
const EVENTS: u32 = 20;

#[derive(Clone, Copy)]
enum Event {
    Started { tokens: u32 },
    Ended { lasted_ms: u64 },
}

/// An engine whose work takes `slowness` times the usual time.
struct TrueEngine {
    speed: EngineSpeed,
    slowness: f64,
    load_percent: u32,
    next_at: UnixMs,
    reads_until: UnixMs,
    events: Vec<(UnixMs, Event)>,
}

impl TrueEngine {
    fn new(slowness: f64) -> Self {
        Self {
            speed: EngineSpeed::new(),
            slowness,
            load_percent: 100,
            next_at: UnixMs(1_000),
            reads_until: UnixMs(1_000),
            events: Vec::new(),
        }
    }

    /// Serves one request after another until `until`; prompts have 300 to 1,500 tokens.
    fn serve_until(&mut self, until: UnixMs) {
        while self.next_at < until {
            let now = self.next_at;
            self.deliver(now);
            self.next_at = now + GAP_MS;
            let tokens = 300 + (now.0 * 7_919 % 1_200) as u32;
            let read_ms = (f64::from(tokens) / TOKENS_PER_MS + BEGIN_MS) * self.slowness;
            self.reads_until = now.max(self.reads_until) + read_ms as u64;
            self.speed.on_sent(now);
            let started = Event::Started { tokens };
            self.events.push((self.reads_until, started));
            let lasted_ms = (f64::from(EVENTS - 1) * EVENT_MS * self.slowness) as u64;
            let ended = Event::Ended { lasted_ms };
            self.events.push((self.reads_until + lasted_ms, ended));
        }
        self.deliver(until);
    }

    fn deliver(&mut self, until: UnixMs) {
        self.events.sort_by_key(|(at, _)| *at);
        let later = self.events.iter().position(|(at, _)| *at > until);
        let due = later.unwrap_or(self.events.len());
        for (at, event) in self.events.drain(..due) {
            match event {
                Event::Started { tokens } => {
                    self.speed.on_started(at, tokens, self.load_percent);
                }
                Event::Ended { lasted_ms } => {
                    self.speed
                        .on_streamed(at, lasted_ms, EVENTS, self.load_percent);
                }
            }
        }
    }
}

fn engines(slowness: &[f64]) -> Vec<TrueEngine> {
    slowness.iter().copied().map(TrueEngine::new).collect()
}

/// Returns the estimated slowness of each engine after all served until `until_ms`.
fn estimates(engines: &mut [TrueEngine], until_ms: u64) -> Vec<u32> {
    let until = UnixMs(until_ms);
    engines
        .iter_mut()
        .for_each(|engine| engine.serve_until(until));
    let paces: Vec<EnginePaces> = engines
        .iter()
        .map(|engine| engine.speed.paces(until))
        .collect();
    let usual = usual_paces(&paces);
    let estimate = |paces: &EnginePaces| paces.slowness_percent(&usual);
    paces.iter().map(estimate).collect()
}

/// A quarter of the engines runs at half of the speed all day: known after one second, to a fifth.
#[test]
fn two_speeds_are_told_apart_within_a_second() {
    let mut engines = engines(&[2.0, 1.0, 1.0, 1.0, 2.0, 1.0, 1.0, 1.0]);
    let estimates = estimates(&mut engines, 2_000);
    for (number, estimate) in estimates.into_iter().enumerate() {
        if number % 4 == 0 {
            assert!(
                (160..=240).contains(&estimate),
                "engine {number}: {estimate}"
            );
        } else {
            assert_eq!(estimate, 100, "engine {number}");
        }
    }
}

/// An engine turns slow, and fast again: both are followed within two seconds.
#[test]
fn a_step_is_followed() {
    let mut engines = engines(&[1.0; 6]);
    assert_eq!(estimates(&mut engines, 6_000), [100; 6]);
    engines[0].slowness = 2.5;
    assert!(estimates(&mut engines, 8_000)[0] >= 150);
    engines[0].slowness = 1.0;
    assert_eq!(estimates(&mut engines, 12_000), [100; 6]);
}

/// A crest slows all engines alike: that is load, and none is avoided for it.
#[test]
fn none_is_slow_when_all_are() {
    let mut engines = engines(&[1.0; 6]);
    estimates(&mut engines, 4_000);
    for engine in &mut engines {
        engine.slowness = 3.0;
    }
    assert_eq!(estimates(&mut engines, 8_000), [100; 6]);
}

/// A neighbour's load of 600 ms that the engine announces isn't its own slowness.
#[test]
fn announced_load_is_taken_out() {
    let mut engines = engines(&[1.0; 6]);
    estimates(&mut engines, 4_000);
    engines[0].slowness = 2.5;
    engines[0].load_percent = 250;
    assert_eq!(estimates(&mut engines, 4_600), [100; 6]);
}

/// An engine without requests, one that answers errors at once, and a restarted one aren't fast.
#[test]
fn an_engine_without_work_has_no_speed() {
    let mut speed = EngineSpeed::new();
    assert!(speed.paces(UnixMs(1_000)).is_unknown());
    for number in 0..100 {
        let now = UnixMs(1_000 + 10 * number);
        speed.on_sent(now);
        speed.on_unanswered(now + 1);
        speed.on_streamed(now + 1, 0, 1, 100);
    }
    assert!(speed.paces(UnixMs(2_000)).is_unknown());
}

/// What was learnt of a busy engine is forgotten once it has no more work.
#[test]
fn an_old_estimate_expires() {
    let mut engines = engines(&[2.0, 1.0, 1.0, 1.0, 1.0]);
    assert!(estimates(&mut engines, 3_000)[0] > 150);
    assert!(engines[0].speed.paces(UnixMs(20_000)).is_unknown());
}
