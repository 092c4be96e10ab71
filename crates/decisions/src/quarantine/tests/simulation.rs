//! Simulation of one request that crashes engines among many that don't.

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{Admission, Quarantine};

const ENGINES: usize = 18;
/// Requests on each engine, all of them resumable.
const ON_ENGINE: u64 = 30;
/// Copies that a client sends of its request, and upstreams that each copy is sent to.
const COPIES: u32 = 2;
const ATTEMPTS: u32 = 2;
const SEEDS: u64 = 50;
const FATAL: Fingerprint = Fingerprint(u64::MAX);
/// Time between the steps in which an engine may crash, in milliseconds.
const STEP_MS: u64 = 1_000;

struct Simulation {
    random: ChaCha8Rng,
    quarantine: Quarantine,
    now: UnixMs,
    engines: Vec<Vec<Fingerprint>>,
    crashed: usize,
    refused: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let requests = |engine: u64| engine * ON_ENGINE..(engine + 1) * ON_ENGINE;
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            quarantine: Quarantine::with_crashes(3),
            now: UnixMs(STEP_MS),
            engines: (0..ENGINES as u64)
                .map(|engine| requests(engine).map(Fingerprint).collect())
                .collect(),
            crashed: 0,
            refused: 0,
        }
    }

    /// Sends each copy of the fatal request to an engine; requests that ran there resume on others.
    fn run(&mut self) {
        for _ in 0..20 {
            for _ in 0..ATTEMPTS {
                let admission = self.quarantine.admission(self.now, FATAL, 0, 0);
                if matches!(admission, Admission::Refused(_)) {
                    return;
                }
                let engine = self.choose(FATAL);
                self.crash_engine(engine);
                if admission == Admission::SingleAttempt {
                    break;
                }
            }
            self.now = self.now + STEP_MS;
        }
    }

    fn crash_engine(&mut self, engine: usize) {
        self.crashed += 1;
        let mut broken = std::mem::take(&mut self.engines[engine]);
        broken.push(FATAL);
        broken.shuffle(&mut self.random);
        let sent_at = self.now;
        self.now = self.now + 300;
        for fingerprint in broken {
            let notice = CrashNotice {
                fingerprint,
                upstream: format!("engine-{engine}").as_str().into(),
                incarnation: self.now.0,
                sent_at_unix_ms: sent_at,
                seen_at_unix_ms: self.now,
            };
            self.quarantine.on_crash(self.now, &notice);
            if fingerprint != FATAL {
                self.resume(fingerprint);
            }
        }
    }

    fn choose(&mut self, fingerprint: Fingerprint) -> usize {
        match self.quarantine.isolation_index(self.now, fingerprint) {
            Some(place) => place % ENGINES,
            None => self.random.random_range(0..ENGINES),
        }
    }

    fn resume(&mut self, fingerprint: Fingerprint) {
        let admission = self.quarantine.admission(self.now, fingerprint, 0, 0);
        if matches!(admission, Admission::Refused(_)) {
            self.refused += 1;
            return;
        }
        let engine = self.choose(fingerprint);
        self.engines[engine].push(fingerprint);
    }
}

/// Guards against harmless requests that are refused because they shared an engine with a crashing
/// one: the worst case, in which none of them is ever served and thereby cleared.
#[test]
fn requests_sharing_an_engine_with_a_crashing_one_are_not_refused() {
    let (mut refused, mut crashed) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        refused += simulation.refused;
        crashed = crashed.max(simulation.crashed);
    }
    println!(
        "{refused} harmless requests refused in {SEEDS} runs, {crashed} engines crashed at most"
    );
    assert!(crashed <= 3 + (COPIES * ATTEMPTS) as usize);
    assert_eq!(refused, 0);
}
