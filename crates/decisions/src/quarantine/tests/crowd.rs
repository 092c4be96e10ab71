//! One request that ends engines, among a crowd that doesn't.

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::{Admission, Quarantine};

const ENGINES: usize = 18;
/// Requests on each engine, all of them resumable.
const ON_ENGINE: u64 = 30;
/// Copies that a client sends of its request, and upstreams that each is sent to.
const COPIES: u32 = 2;
const ATTEMPTS: u32 = 2;
const SEEDS: u64 = 50;
const FATAL: Fingerprint = Fingerprint(u64::MAX);
/// Time between the steps in which an engine may end, in milliseconds.
const STEP_MS: u64 = 1_000;

struct Crowd {
    random: ChaCha8Rng,
    quarantine: Quarantine,
    now: UnixMs,
    engines: Vec<Vec<Fingerprint>>,
    ended: usize,
    refused: usize,
}

impl Crowd {
    fn new(seed: u64) -> Self {
        let requests = |engine: u64| engine * ON_ENGINE..(engine + 1) * ON_ENGINE;
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            quarantine: Quarantine::with_crashes(3),
            now: UnixMs(STEP_MS),
            engines: (0..ENGINES as u64)
                .map(|engine| requests(engine).map(Fingerprint).collect())
                .collect(),
            ended: 0,
            refused: 0,
        }
    }

    /// Each copy of the fatal request goes to some engine; what ran there goes on elsewhere.
    fn play(&mut self) {
        for _ in 0..20 {
            for _ in 0..ATTEMPTS {
                let admission = self.quarantine.admission(self.now, FATAL, 0, 0);
                if matches!(admission, Admission::Refused(_)) {
                    return;
                }
                let engine = self.choose(FATAL);
                self.end(engine);
                if admission == Admission::SingleAttempt {
                    break;
                }
            }
            self.now = self.now + STEP_MS;
        }
    }

    fn end(&mut self, engine: usize) {
        self.ended += 1;
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
                self.go_on(fingerprint);
            }
        }
    }

    fn choose(&mut self, fingerprint: Fingerprint) -> usize {
        match self.quarantine.isolation_index(self.now, fingerprint) {
            Some(place) => place % ENGINES,
            None => self.random.random_range(0..ENGINES),
        }
    }

    fn go_on(&mut self, fingerprint: Fingerprint) {
        let admission = self.quarantine.admission(self.now, fingerprint, 0, 0);
        if matches!(admission, Admission::Refused(_)) {
            self.refused += 1;
            return;
        }
        let elsewhere = self.choose(fingerprint);
        self.engines[elsewhere].push(fingerprint);
    }
}

/// Guards against innocent requests that are refused because they ran beside one that ends engines:
/// the worst case, in which none of them is ever served and so cleared.
#[test]
fn requests_beside_one_that_ends_engines_are_not_refused() {
    let (mut refused, mut ended) = (0, 0);
    for seed in 0..SEEDS {
        let mut crowd = Crowd::new(seed);
        crowd.play();
        refused += crowd.refused;
        ended = ended.max(crowd.ended);
    }
    println!("{refused} innocent requests refused in {SEEDS} runs, {ended} engines ended at most");
    assert!(ended <= 3 + (COPIES * ATTEMPTS) as usize);
    assert_eq!(refused, 0);
}
