//! Event handlers of a [`Claim`].

use monsoonspread_model::UnixMs;

use super::claim::{ABSENT, Claim, Phase, answer_and_outcome};
use super::refusals::{deadline_passed, outcome_unknown, store_unreachable};
use super::{ClaimAction, ClaimRecord, ClaimState, OutcomeWrite, RunResult};

impl Claim {
    /// Starts the claim; has an effect only once.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// assert!(matches!(claim.start(UnixMs(0))[..], [ClaimAction::Create(_)]));
    /// ```
    pub fn start(&mut self, now: UnixMs) -> Vec<ClaimAction> {
        if self.phase != Phase::New {
            return Vec::new();
        }
        if now >= self.deadline_unix_ms {
            return self.refuse_and_end(deadline_passed());
        }
        self.create()
    }

    /// The record was created or retaken; `mod_revision` is its revision if known.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// assert_eq!(claim.on_created(UnixMs(4), None), [ClaimAction::Run]);
    /// ```
    pub fn on_created(&mut self, now: UnixMs, mod_revision: Option<u64>) -> Vec<ClaimAction> {
        if !matches!(self.phase, Phase::Claiming | Phase::ReadingBack) {
            return Vec::new();
        }
        self.mod_revision = mod_revision;
        if self.answered || now >= self.deadline_unix_ms {
            let mut actions = self.refuse(deadline_passed());
            actions.extend(self.record(ClaimState::NotRun));
            return actions;
        }
        self.phase = Phase::Running;
        self.ran = true;
        vec![ClaimAction::Run]
    }

    /// The deadline passed while an operation was in flight; its result must still be reported.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// assert!(matches!(claim.on_deadline(UnixMs(900))[..], [ClaimAction::Answer(_)]));
    /// assert_eq!(claim.on_created(UnixMs(950), None), [ClaimAction::Read], "it does not run");
    /// ```
    pub fn on_deadline(&mut self, now: UnixMs) -> Vec<ClaimAction> {
        if now < self.deadline_unix_ms {
            return Vec::new();
        }
        match self.phase {
            Phase::Claiming | Phase::ReadingBack => self.refuse(deadline_passed()),
            Phase::Running => self.refuse(outcome_unknown()),
            Phase::Waiting => self.refuse_and_end(outcome_unknown()),
            Phase::New | Phase::Recording(_) | Phase::Done => Vec::new(),
        }
    }

    /// The record was not created or retaken because the key holds `record`.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// let ClaimAction::Create(mut record) = claim.start(UnixMs(0)).remove(0) else { return };
    /// record.state = ClaimState::Unknown;
    /// record.token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(2));
    /// let actions = claim.on_exists(UnixMs(4), &record, 7);
    /// assert!(matches!(actions[..], [ClaimAction::Answer(ClaimAnswer::Refused(_))]));
    /// ```
    pub fn on_exists(
        &mut self,
        now: UnixMs,
        record: &ClaimRecord,
        mod_revision: u64,
    ) -> Vec<ClaimAction> {
        if !matches!(self.phase, Phase::Claiming | Phase::ReadingBack) {
            return Vec::new();
        }
        self.on_found(now, record, mod_revision)
    }

    /// The answer to a create or a retake was lost.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// assert_eq!(claim.on_write_unknown(UnixMs(4)), [ClaimAction::Read]);
    /// ```
    pub fn on_write_unknown(&mut self, _now: UnixMs) -> Vec<ClaimAction> {
        if self.phase != Phase::Claiming {
            return Vec::new();
        }
        self.write_unconfirmed = true;
        self.phase = Phase::ReadingBack;
        vec![ClaimAction::Read]
    }

    /// A create, a retake or a read did not reach the key-value service.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// let actions = claim.on_store_unreachable(UnixMs(4));
    /// let [ClaimAction::Answer(ClaimAnswer::Refused(refusal))] = &actions[..] else { return };
    /// assert!(refusal.not_run);
    /// ```
    pub fn on_store_unreachable(&mut self, now: UnixMs) -> Vec<ClaimAction> {
        match self.phase {
            Phase::Claiming if !self.write_unconfirmed => {
                self.refuse_and_end(store_unreachable(now))
            }
            Phase::Claiming | Phase::ReadingBack => {
                let mut actions = self.refuse(store_unreachable(now));
                actions.extend(self.read_later(now, Phase::Recording(ClaimState::NotRun)));
                actions
            }
            Phase::Waiting => self.refuse_and_end(outcome_unknown()),
            Phase::Recording(_) => self.read_later(now, self.phase.clone()),
            Phase::New | Phase::Running | Phase::Done => Vec::new(),
        }
    }

    /// The record was read.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// claim.on_write_unknown(UnixMs(4));
    /// let again = claim.on_read(UnixMs(5), None);
    /// assert!(matches!(again[..], [ClaimAction::Create(_)]));
    /// ```
    pub fn on_read(&mut self, now: UnixMs, found: Option<(&ClaimRecord, u64)>) -> Vec<ClaimAction> {
        match (self.phase.clone(), found) {
            (Phase::ReadingBack | Phase::Waiting, Some((record, mod_revision))) => {
                self.on_found(now, record, mod_revision)
            }
            (Phase::ReadingBack, None) => self.on_absent(now),
            (Phase::Waiting, None) => self.refuse_and_end(outcome_unknown()),
            (Phase::Recording(outcome), Some((record, mod_revision))) => {
                self.on_outcome_read(record, mod_revision, outcome)
            }
            (Phase::Recording(outcome), None) => vec![self.write(outcome, ABSENT)],
            (Phase::New | Phase::Claiming | Phase::Running | Phase::Done, _) => Vec::new(),
        }
    }

    /// The call ended with `result`.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// claim.on_created(UnixMs(4), Some(7));
    /// let actions = claim.on_run_result(UnixMs(9), RunResult::Unknown);
    /// assert!(matches!(actions[..], [ClaimAction::Answer(_), ClaimAction::WriteOutcome { .. }]));
    /// ```
    pub fn on_run_result(&mut self, _now: UnixMs, result: RunResult) -> Vec<ClaimAction> {
        if self.phase != Phase::Running {
            return Vec::new();
        }
        let (answer, outcome) = answer_and_outcome(result);
        let mut actions = self.answer(answer);
        actions.extend(self.record(outcome));
        actions
    }

    /// The write of the outcome ended.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(0));
    /// claim.on_created(UnixMs(4), Some(7));
    /// claim.on_run_result(UnixMs(9), RunResult::NotRun);
    /// claim.on_outcome_written(UnixMs(12), OutcomeWrite::Written);
    /// assert!(claim.is_done());
    /// ```
    pub fn on_outcome_written(&mut self, now: UnixMs, write: OutcomeWrite) -> Vec<ClaimAction> {
        if !matches!(self.phase, Phase::Recording(_)) {
            return Vec::new();
        }
        match write {
            OutcomeWrite::Written => self.end(),
            OutcomeWrite::Conflict | OutcomeWrite::Unknown => vec![ClaimAction::Read],
            OutcomeWrite::Unreachable => self.read_later(now, self.phase.clone()),
        }
    }
}
