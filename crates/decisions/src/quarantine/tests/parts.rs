//! Prompt parts that crash upstreams, in drawn populations of requests that share their other parts.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::crash_of;
use crate::quarantine::{PartHistory, Quarantine};

const THRESHOLD: usize = 3;
const INSTANCES: usize = 8;
const ENGINES: usize = 18;
const LASTS_MS: u64 = 30_000;
/// Time from the start of an answer to the crash, until a crash is seen, between instances, and until
/// an engine is back, in milliseconds.
const CRASHES_AFTER_MS: u64 = 50;
const SEEN_AFTER_MS: u64 = 150;
const TOLD_AFTER_MS: u64 = 300;
const BACK_AFTER_MS: u64 = 2_000;
const FIRST_BYTE_MS: u64 = 100;
const BEGINNING_MS: u64 = 1_000;
/// The platform's rule: at most this many requests with a crashing part reach engines, from this long
/// after the fifth crash on.
const MAX_LATE: usize = 3;
const KNOWN_WITHIN_MS: u64 = 3_000;
const POPULATIONS: u64 = 60;

/// A population of requests.
#[derive(Clone, Copy, Debug)]
struct Population {
    requests_per_s: u64,
    /// One request in this many has a crashing part.
    crashing_one_in: u64,
    /// Number of crashing parts.
    crashing_parts: u64,
    /// Parts in the middle of prompts, and how unevenly they are used.
    middle_parts: u64,
    skew: f64,
    /// One in this many requests writes for 3 s instead of 0.7 s.
    long_one_in: u64,
    /// Pause between crashes for another reason, in milliseconds.
    other_crash_ms: u64,
}

impl Population {
    fn draw(random: &mut ChaCha8Rng) -> Self {
        Self {
            requests_per_s: random.random_range(20..160),
            crashing_one_in: random.random_range(3..60),
            crashing_parts: random.random_range(1..3),
            middle_parts: random.random_range(2..400),
            skew: random.random_range(1.0..3.0),
            long_one_in: random.random_range(2..40),
            other_crash_ms: random.random_range(2_000..20_000),
        }
    }

    fn parts(&self, random: &mut ChaCha8Rng) -> Vec<u64> {
        let mut parts = vec![FIRST_PARTS + random.random_range(0..2)];
        for _ in 0..random.random_range(0..3) {
            let draw = random.random_range(0.0_f64..1.0).powf(self.skew);
            parts.push(MIDDLE_PARTS + (draw * self.middle_parts as f64) as u64);
        }
        if random.random_range(0..self.crashing_one_in) == 0 {
            let at = random.random_range(1..=parts.len());
            let part = CRASHING_PARTS + random.random_range(0..self.crashing_parts);
            parts.insert(at, part);
        }
        parts
    }
}

const CRASHING_PARTS: u64 = 100;
const FIRST_PARTS: u64 = 1_000;
const MIDDLE_PARTS: u64 = 10_000;

fn is_crashing(part: u64) -> bool {
    (CRASHING_PARTS..FIRST_PARTS).contains(&part)
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrives,
    Ends(usize),
    Crashes(usize, u64),
    CrashesOtherwise,
    Told(usize, usize),
}

#[derive(Clone, Debug)]
struct Run {
    instance: usize,
    engine: usize,
    incarnation: u64,
    sent_at: u64,
    parts: Vec<u64>,
    is_repeat: bool,
    is_over: bool,
}

/// What instances tell each other.
#[derive(Clone, Debug)]
enum News {
    Crash(CrashNotice),
    Cleared(Fingerprint, UnixMs),
}

#[derive(Default)]
struct Outcome {
    /// Requests with each crashing part that reached engines.
    reached: BTreeMap<u64, Vec<u64>>,
    refused_sound: usize,
    sound: usize,
    /// Parts that were refused and don't crash engines.
    wrong: BTreeSet<u64>,
}

struct Region {
    random: ChaCha8Rng,
    population: Population,
    now: u64,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    runs: Vec<Run>,
    news: Vec<News>,
    quarantines: Vec<Quarantine>,
    histories: Vec<PartHistory>,
    /// Incarnation of each engine, and when it is up.
    engines: Vec<(u64, u64)>,
    outcome: Outcome,
}

impl Region {
    fn play(seed: u64) -> (Population, Outcome) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let population = Population::draw(&mut random);
        let quarantine = || Quarantine::with_crashes(THRESHOLD).with_attribution();
        let mut region = Self {
            random,
            population,
            now: 0,
            events: BinaryHeap::new(),
            runs: Vec::new(),
            news: Vec::new(),
            quarantines: (0..INSTANCES).map(|_| quarantine()).collect(),
            histories: vec![PartHistory::default(); INSTANCES],
            engines: vec![(1, 0); ENGINES],
            outcome: Outcome::default(),
        };
        region.at(0, Event::Arrives);
        region.at(1_000, Event::CrashesOtherwise);
        while let Some(std::cmp::Reverse((at, event))) = region.events.pop() {
            if at > LASTS_MS {
                break;
            }
            region.now = at;
            region.on_event(event);
        }
        (population, region.outcome)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.events.push(std::cmp::Reverse((at, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrives => {
                let parts = self.population.parts(&mut self.random);
                let instance = self.random.random_range(0..INSTANCES);
                self.send(instance, parts, false);
                let pause_ms = 2_000 / self.population.requests_per_s;
                let next = self.now + self.random.random_range(0..=pause_ms);
                self.at(next, Event::Arrives);
            }
            Event::Ends(run) if !self.runs[run].is_over => {
                self.runs[run].is_over = true;
                let (instance, parts) = (self.runs[run].instance, self.runs[run].parts.clone());
                for part in parts {
                    self.histories[instance].on_served(Fingerprint(part), UnixMs(self.now));
                    self.clear(instance, Fingerprint(part), UnixMs(self.now));
                }
            }
            Event::Crashes(engine, incarnation) if self.engines[engine].0 == incarnation => {
                self.crash(engine);
            }
            Event::CrashesOtherwise => {
                let engine = self.random.random_range(0..ENGINES);
                self.crash(engine);
                let next = self.now + self.population.other_crash_ms;
                self.at(next, Event::CrashesOtherwise);
            }
            Event::Told(instance, news) => self.on_news(instance, news),
            Event::Ends(_) | Event::Crashes(..) => {}
        }
    }

    fn send(&mut self, instance: usize, parts: Vec<u64>, is_repeat: bool) {
        let crashing = parts.iter().copied().find(|part| is_crashing(*part));
        let quarantine = &self.quarantines[instance];
        let now = UnixMs(self.now);
        let refused: Vec<u64> = parts
            .iter()
            .copied()
            .filter(|part| quarantine.refused_until(now, Fingerprint(*part)).is_some())
            .collect();
        let is_sound = crashing.is_none() && !is_repeat;
        self.outcome.sound += usize::from(is_sound);
        if !refused.is_empty() {
            self.outcome.refused_sound += usize::from(is_sound);
            let wrong = refused.into_iter().filter(|part| !is_crashing(*part));
            self.outcome.wrong.extend(wrong);
            return;
        }
        let up: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.engines[*engine].1 <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let fingerprints: Vec<Fingerprint> = parts.iter().copied().map(Fingerprint).collect();
        self.histories[instance].on_sent(&fingerprints, now);
        let engine = up[self.random.random_range(0..up.len())];
        let incarnation = self.engines[engine].0;
        let writes_ms = match self.random.random_range(0..self.population.long_one_in) {
            0 => 3_000,
            _ => 700,
        };
        let begins = self.now + FIRST_BYTE_MS;
        if let Some(part) = crashing {
            let reached = self.outcome.reached.entry(part).or_default();
            reached.push(self.now);
            self.at(
                begins + CRASHES_AFTER_MS,
                Event::Crashes(engine, incarnation),
            );
        }
        self.at(begins + writes_ms, Event::Ends(self.runs.len()));
        self.runs.push(Run {
            instance,
            engine,
            incarnation,
            sent_at: self.now,
            parts,
            is_repeat,
            is_over: false,
        });
    }

    fn crash(&mut self, engine: usize) {
        let incarnation = self.engines[engine].0;
        self.engines[engine] = (incarnation + 1, self.now + BACK_AFTER_MS);
        let running: Vec<usize> = (0..self.runs.len())
            .filter(|run| {
                let run = &self.runs[*run];
                !run.is_over && run.engine == engine && run.incarnation == incarnation
            })
            .collect();
        let seen_at = self.now + SEEN_AFTER_MS;
        for run in running {
            self.runs[run].is_over = true;
            let lost = self.runs[run].clone();
            if self.now < lost.sent_at + FIRST_BYTE_MS + BEGINNING_MS {
                for part in &lost.parts {
                    let upstream = format!("engine-{engine}");
                    let notice = crash_of(&upstream, incarnation, lost.sent_at, self.now);
                    let fingerprint = Fingerprint(*part);
                    self.tell(
                        lost.instance,
                        seen_at,
                        News::Crash(CrashNotice {
                            fingerprint,
                            ..notice
                        }),
                    );
                }
            }
            let is_suspected = lost.parts.iter().any(|part| {
                let quarantine = &self.quarantines[lost.instance];
                let suspect = quarantine.suspect(UnixMs(self.now), Fingerprint(*part));
                suspect.is_some_and(|suspect| {
                    suspect.cleared_at().is_none() && suspect.crash_count() >= 2
                })
            });
            if !lost.is_repeat && !is_suspected {
                self.send(lost.instance, lost.parts, true);
            }
        }
    }

    /// Tells an instance at `at`, and all others a little later.
    fn tell(&mut self, first: usize, at: u64, news: News) {
        self.news.push(news);
        for instance in 0..INSTANCES {
            let later_ms = if instance == first { 0 } else { TOLD_AFTER_MS };
            self.at(at + later_ms, Event::Told(instance, self.news.len() - 1));
        }
    }

    fn on_news(&mut self, instance: usize, news: usize) {
        match self.news[news].clone() {
            News::Crash(notice) => {
                self.quarantines[instance].on_crash(UnixMs(self.now), &notice);
                let now = UnixMs(self.now);
                let part = notice.fingerprint;
                let suspect = self.quarantines[instance].suspect(now, part);
                let history = &self.histories[instance];
                let at = suspect.and_then(|suspect| history.cleared_at(now, part, suspect));
                if let Some(at) = at {
                    self.clear(instance, part, at);
                }
            }
            News::Cleared(fingerprint, at) => {
                self.quarantines[instance].on_cleared(fingerprint, at);
            }
        }
    }

    fn clear(&mut self, instance: usize, fingerprint: Fingerprint, at: UnixMs) {
        if self.quarantines[instance].on_cleared(fingerprint, at) {
            self.tell(instance, self.now, News::Cleared(fingerprint, at));
        }
    }
}

/// Guards against engines that go on crashing under a prompt part, and against refusing sound requests for
/// the parts that they share with those that crash engines.
#[test]
fn crashing_parts_are_refused_and_sound_ones_are_not() {
    let (mut refused, mut sound, mut wrong, mut found) = (0, 0, 0, 0);
    for seed in 0..POPULATIONS {
        let (population, outcome) = Region::play(seed);
        for (part, reached) in &outcome.reached {
            let Some(fifth) = reached.get(4) else {
                continue;
            };
            found += 1;
            // Each of them crashes its engine soon after it has reached it.
            let known_from = fifth + FIRST_BYTE_MS + CRASHES_AFTER_MS + KNOWN_WITHIN_MS;
            let late = reached.iter().filter(|at| **at > known_from).count();
            assert!(
                late <= MAX_LATE,
                "seed {seed}: {late} with part {part}, {population:?}"
            );
        }
        assert!(
            outcome.wrong.iter().all(|part| *part >= MIDDLE_PARTS),
            "seed {seed}: a first part is refused, {population:?}"
        );
        assert!(
            outcome.refused_sound * 2 <= outcome.sound,
            "seed {seed}: {} of {} sound requests are refused, {population:?}",
            outcome.refused_sound,
            outcome.sound
        );
        refused += outcome.refused_sound;
        sound += outcome.sound;
        wrong += outcome.wrong.len();
    }
    println!(
        "{POPULATIONS} populations: {found} parts with five crashes; {refused} of {sound} sound requests \
         refused, {wrong} sound parts"
    );
    assert!(
        found > 0 && refused * 100 <= sound,
        "{refused} of {sound} refused"
    );
}
