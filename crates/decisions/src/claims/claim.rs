//! State machine of one keyed call.

use monsoonspread_model::{Refusal, UnixMs};

use super::refusals::{deadline_passed, key_conflict, not_run, outcome_unknown, store_unreachable};
use super::{
    ClaimAction, ClaimAnswer, ClaimDump, ClaimKey, ClaimRecord, ClaimSettings, ClaimState,
    ClaimToken, MAX_STORED_BODY_BYTES, RunResult,
};

/// Revision of a key that is absent.
pub(super) const ABSENT: u64 = 0;

/// One keyed call on one instance, from its arrival until its outcome is recorded.
#[derive(Clone, Debug)]
pub struct Claim {
    pub(super) key: ClaimKey,
    pub(super) token: ClaimToken,
    pub(super) body_digest: String,
    pub(super) deadline_unix_ms: UnixMs,
    pub(super) settings: ClaimSettings,
    pub(super) phase: Phase,
    pub(super) answered: bool,
    pub(super) ran: bool,
    pub(super) attempts: u32,
    /// Whether a create or a retake with a lost answer may still take effect.
    pub(super) write_unconfirmed: bool,
    pub(super) poll_ms: u64,
    pub(super) mod_revision: Option<u64>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    New,
    /// A create or a retake is in flight.
    Claiming,
    /// The answer to a create or a retake was lost.
    ReadingBack,
    /// Another instance holds the claim.
    Waiting,
    Running,
    /// The outcome is being recorded.
    Recording(ClaimState),
    Done,
}

impl Claim {
    /// Creates a claim for a call that must be answered by `deadline_unix_ms`.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// assert!(matches!(claim.start(UnixMs(0))[..], [ClaimAction::Create(_)]));
    /// assert_eq!(claim.on_created(UnixMs(4), Some(7)), [ClaimAction::Run]);
    /// ```
    pub fn new(
        key: ClaimKey,
        token: ClaimToken,
        body_digest: String,
        deadline_unix_ms: UnixMs,
    ) -> Self {
        let settings = ClaimSettings::default();
        Self {
            key,
            token,
            body_digest,
            deadline_unix_ms,
            poll_ms: settings.poll_ms,
            settings,
            phase: Phase::New,
            answered: false,
            ran: false,
            attempts: 0,
            write_unconfirmed: false,
            mod_revision: None,
        }
    }

    /// Replaces the default settings.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// let claim = claim.with_settings(ClaimSettings { poll_ms: 5, ..Default::default() });
    /// assert!(!claim.is_done());
    /// ```
    #[must_use]
    pub fn with_settings(mut self, settings: ClaimSettings) -> Self {
        self.poll_ms = settings.poll_ms;
        self.settings = settings;
        self
    }

    /// Key of the record in the key-value service.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// assert!(claim.key().as_str().starts_with("/monsoonspread/claim/"));
    /// ```
    pub fn key(&self) -> &ClaimKey {
        &self.key
    }

    /// Whether the claim has ended and needs no further events.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// claim.start(UnixMs(900));
    /// assert!(claim.is_done(), "the deadline had passed");
    /// ```
    pub fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    /// Describes the state of the claim.
    ///
    /// ```
    /// # use monsoonspread_decisions::claims::*;
    /// # use monsoonspread_model::UnixMs;
    /// # use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
    /// # let token = ClaimToken::random(&mut ChaCha8Rng::seed_from_u64(1));
    /// # let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
    /// # let mut claim = Claim::new(key, token, body_digest("commit", b"{}"), UnixMs(900));
    /// assert_eq!(claim.dump(UnixMs(0)).phase, "new");
    /// ```
    pub fn dump(&self, _now: UnixMs) -> ClaimDump {
        let phase = match self.phase {
            Phase::New => "new",
            Phase::Claiming => "claiming",
            Phase::ReadingBack => "reading_back",
            Phase::Waiting => "waiting",
            Phase::Running => "running",
            Phase::Recording(_) => "recording",
            Phase::Done => "done",
        };
        ClaimDump {
            phase,
            deadline_unix_ms: self.deadline_unix_ms,
            ran: self.ran,
        }
    }

    pub(super) fn create(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Claiming;
        self.attempts += 1;
        vec![ClaimAction::Create(self.record_of(ClaimState::Started))]
    }

    /// The key holds `record`.
    pub(super) fn on_found(
        &mut self,
        now: UnixMs,
        record: &ClaimRecord,
        mod_revision: u64,
    ) -> Vec<ClaimAction> {
        if record.token == self.token && self.phase != Phase::Waiting {
            return self.on_created(now, Some(mod_revision));
        }
        if record.body_digest != self.body_digest {
            return self.refuse_and_end(key_conflict());
        }
        match &record.state {
            ClaimState::Replied {
                status,
                content_type,
                body,
            } => {
                let answer = ClaimAnswer::Replied {
                    status: *status,
                    content_type: content_type.clone(),
                    body: body.clone(),
                    replayed: true,
                };
                self.phase = Phase::Done;
                self.answer(answer)
            }
            ClaimState::Unknown => self.refuse_and_end(outcome_unknown()),
            ClaimState::NotRun => self.retake(now, mod_revision),
            ClaimState::Started => self.wait(now, record),
        }
    }

    /// Reading back found no record: the lost create may still take effect.
    pub(super) fn on_absent(&mut self, now: UnixMs) -> Vec<ClaimAction> {
        let tries_left = self.attempts < self.settings.create_attempts;
        if tries_left && !self.must_not_start(now) {
            return self.create();
        }
        let mut actions = self.refuse(store_unreachable(now));
        actions.extend(self.record(ClaimState::NotRun));
        actions
    }

    pub(super) fn retake(&mut self, now: UnixMs, expected_mod_revision: u64) -> Vec<ClaimAction> {
        if self.must_not_start(now) && self.write_unconfirmed {
            let mut actions = self.refuse(deadline_passed());
            actions.extend(self.record(ClaimState::NotRun));
            return actions;
        }
        if self.must_not_start(now) {
            return self.refuse_and_end(deadline_passed());
        }
        self.phase = Phase::Claiming;
        self.attempts += 1;
        vec![ClaimAction::Retake {
            record: self.record_of(ClaimState::Started),
            expected_mod_revision,
        }]
    }

    /// Whether the call must not be started any more.
    fn must_not_start(&self, now: UnixMs) -> bool {
        self.answered || now >= self.deadline_unix_ms
    }

    /// Waits for the outcome of another instance's run while it can still come in time.
    pub(super) fn wait(&mut self, now: UnixMs, record: &ClaimRecord) -> Vec<ClaimAction> {
        let ends_at = record.deadline_unix_ms + self.settings.grace_ms;
        if now >= ends_at || self.answered {
            return self.refuse_and_end(outcome_unknown());
        }
        let read_at = now + self.poll_ms;
        if read_at >= self.deadline_unix_ms {
            return self.refuse_and_end(outcome_unknown().with_retry_at(ends_at));
        }
        self.poll_ms = (self.poll_ms * 2).min(self.settings.max_poll_ms);
        self.phase = Phase::Waiting;
        vec![ClaimAction::ReadAt(read_at)]
    }

    /// Records `outcome`; reads the record first if its revision is unknown.
    pub(super) fn record(&mut self, outcome: ClaimState) -> Vec<ClaimAction> {
        self.phase = Phase::Recording(outcome.clone());
        match self.mod_revision {
            Some(mod_revision) => vec![self.write(outcome, mod_revision)],
            None => vec![ClaimAction::Read],
        }
    }

    /// Handles a read of the record while its outcome is being recorded.
    pub(super) fn on_outcome_read(
        &mut self,
        record: &ClaimRecord,
        mod_revision: u64,
        outcome: ClaimState,
    ) -> Vec<ClaimAction> {
        if record.token == self.token {
            let open = record.state == ClaimState::Started;
            return if open {
                vec![self.write(outcome, mod_revision)]
            } else {
                self.end()
            };
        }
        let may_be_retaken = record.state == ClaimState::NotRun && self.write_unconfirmed;
        if !may_be_retaken || outcome != ClaimState::NotRun {
            return self.end();
        }
        vec![ClaimAction::WriteOutcome {
            record: record.clone(),
            expected_mod_revision: mod_revision,
        }]
    }

    pub(super) fn write(&self, outcome: ClaimState, expected_mod_revision: u64) -> ClaimAction {
        ClaimAction::WriteOutcome {
            record: self.record_of(outcome),
            expected_mod_revision,
        }
    }

    /// Reads again after a pause, or ends when the time limit for recording has passed.
    pub(super) fn read_later(&mut self, now: UnixMs, phase: Phase) -> Vec<ClaimAction> {
        let read_at = now + self.settings.store_retry_ms;
        if read_at >= self.deadline_unix_ms + self.settings.record_timeout_ms {
            return self.end();
        }
        self.phase = phase;
        vec![ClaimAction::ReadAt(read_at)]
    }

    pub(super) fn record_of(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord {
            token: self.token.clone(),
            body_digest: self.body_digest.clone(),
            deadline_unix_ms: self.deadline_unix_ms,
            state,
        }
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) -> Vec<ClaimAction> {
        self.answer(ClaimAnswer::Refused(refusal))
    }

    pub(super) fn refuse_and_end(&mut self, refusal: Refusal) -> Vec<ClaimAction> {
        self.phase = Phase::Done;
        self.refuse(refusal)
    }

    pub(super) fn answer(&mut self, answer: ClaimAnswer) -> Vec<ClaimAction> {
        if std::mem::replace(&mut self.answered, true) {
            return Vec::new();
        }
        vec![ClaimAction::Answer(answer)]
    }

    pub(super) fn end(&mut self) -> Vec<ClaimAction> {
        self.phase = Phase::Done;
        Vec::new()
    }
}

pub(super) fn answer_and_outcome(result: RunResult) -> (ClaimAnswer, ClaimState) {
    match result {
        RunResult::Replied {
            status,
            content_type,
            body,
        } => {
            let outcome = stored_state(status, &content_type, &body);
            let answer = ClaimAnswer::Replied {
                status,
                content_type,
                body,
                replayed: false,
            };
            (answer, outcome)
        }
        RunResult::NotRun => (ClaimAnswer::Refused(not_run()), ClaimState::NotRun),
        RunResult::Unknown => (ClaimAnswer::Refused(outcome_unknown()), ClaimState::Unknown),
    }
}

/// The state that stores an answer for repeats; `Unknown` if its body is too large.
pub(super) fn stored_state(status: u16, content_type: &str, body: &[u8]) -> ClaimState {
    if body.len() > MAX_STORED_BODY_BYTES {
        return ClaimState::Unknown;
    }
    ClaimState::Replied {
        status,
        content_type: content_type.to_owned(),
        body: body.to_vec(),
    }
}
