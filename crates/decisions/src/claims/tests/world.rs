//! Claims for one key around a fake store and a fake service.

use monsoonspread_model::{RefusalReason, UnixMs};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::step::Step;
use crate::claims::{
    Claim, ClaimAction, ClaimAnswer, ClaimKey, ClaimRecord, ClaimState, ClaimToken, OutcomeWrite,
    RunResult, body_digest,
};

const TIMEOUT_MS: u64 = 2_000;

/// An action in flight and the claim that returned it.
#[derive(Clone, Debug)]
struct Operation {
    machine: usize,
    action: ClaimAction,
}

struct Node {
    claim: Claim,
    deadline_unix_ms: UnixMs,
    crashed: bool,
    ran: bool,
    other_body: bool,
    answers: Vec<ClaimAnswer>,
}

/// Claims, operations and the stored record for one key.
pub struct World {
    now: UnixMs,
    nodes: Vec<Node>,
    record: Option<(ClaimRecord, u64)>,
    revision: u64,
    under_way: Vec<Operation>,
    delayed: Vec<Operation>,
    /// How often the service ran the call.
    pub runs: u32,
    /// Whether the call that ran had the other body.
    ran_other_body: Option<bool>,
    random: ChaCha8Rng,
}

fn reply(run: u32) -> RunResult {
    RunResult::Replied {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: run.to_string().into_bytes(),
    }
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: UnixMs(1_000),
            nodes: Vec::new(),
            record: None,
            revision: 0,
            under_way: Vec::new(),
            delayed: Vec::new(),
            runs: 0,
            ran_other_body: None,
            random: ChaCha8Rng::seed_from_u64(1),
        };
        world.call(b"body");
        world
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Tick(times) => self.now = self.now + 20 * u64::from(times),
            Step::ClockBack(times) => self.now = self.now - 20 * u64::from(times),
            Step::Repeat => self.call(b"body"),
            Step::OtherBody => self.call(b"other"),
            Step::Answer(pick) => self.take(pick, |world, one| world.answer(one, false)),
            Step::LoseAnswer(pick) => self.take(pick, |world, one| world.answer(one, true)),
            Step::Delay(pick) => self.take(pick, Self::delay),
            Step::ApplyDelayed(pick) => self.apply_delayed(pick),
            Step::Refuse(pick) => self.take(pick, Self::refuse),
            Step::Deadline(pick) => self.pass_deadline(usize::from(pick) % self.nodes.len()),
            Step::Crash(pick) => {
                let index = usize::from(pick) % self.nodes.len();
                self.nodes[index].crashed = true;
            }
        }
    }

    /// Completes all operations and checks that each claim that did not crash gave exactly one answer
    /// and recorded its outcome.
    pub fn settle(&mut self) {
        while !self.delayed.is_empty() {
            self.apply_delayed(0);
        }
        for _ in 0..10_000 {
            if self.under_way.is_empty() {
                break;
            }
            self.now = self.now + 20;
            self.take(0, |world, one| world.answer(one, false));
        }
        for node in self.nodes.iter().filter(|node| !node.crashed) {
            assert!(node.claim.is_done(), "{:?}", node.claim);
            assert_eq!(node.answers.len(), 1);
        }
        let holder = self.record.as_ref().map(|(record, _)| record);
        if self.nodes.iter().all(|node| !node.crashed) {
            assert!(holder.is_none_or(|record| record.state != ClaimState::Started));
        }
    }

    fn call(&mut self, body: &[u8]) {
        let key = ClaimKey::new(&"records".into(), &"bench".into(), "offset-17");
        let token = ClaimToken::random(&mut self.random);
        let digest = body_digest("commit", body);
        let mut claim = Claim::new(key, token, digest, self.now + TIMEOUT_MS);
        let actions = claim.start(self.now);
        self.nodes.push(Node {
            claim,
            deadline_unix_ms: self.now + TIMEOUT_MS,
            crashed: false,
            ran: false,
            other_body: body != b"body",
            answers: Vec::new(),
        });
        self.run(self.nodes.len() - 1, actions);
    }

    fn run(&mut self, machine: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Answer(answer) => self.check_answer(machine, answer),
                ClaimAction::Run if self.now >= self.nodes[machine].deadline_unix_ms => {
                    panic!("a call is run after its deadline")
                }
                ClaimAction::Run if !self.nodes[machine].answers.is_empty() => {
                    panic!("a call is run after its answer")
                }
                action => self.under_way.push(Operation { machine, action }),
            }
        }
    }

    fn check_answer(&mut self, machine: usize, answer: ClaimAnswer) {
        let node = &mut self.nodes[machine];
        match &answer {
            ClaimAnswer::Replied { body, .. } => {
                assert_eq!(Some(node.other_body), self.ran_other_body);
                assert_eq!(*body, b"1", "not the answer of the first run");
            }
            ClaimAnswer::Refused(refusal) if refusal.not_run => {
                assert!(!node.ran, "a call that ran was refused as not run");
            }
            ClaimAnswer::Refused(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
            }
        }
        node.answers.push(answer);
        assert_eq!(node.answers.len(), 1, "a call has two answers");
    }

    fn take(&mut self, pick: u8, act: impl Fn(&mut Self, Operation)) {
        if self.under_way.is_empty() {
            return;
        }
        let operation = self
            .under_way
            .remove(usize::from(pick) % self.under_way.len());
        if let ClaimAction::ReadAt(at) = operation.action {
            self.now = self.now.max(at);
        }
        let crashed = self.nodes[operation.machine].crashed;
        if !(crashed && operation.action == ClaimAction::Run) {
            act(self, operation);
        }
    }

    fn pass_deadline(&mut self, index: usize) {
        self.now = self.now.max(self.nodes[index].deadline_unix_ms);
        let actions = self.nodes[index].claim.on_deadline(self.now);
        self.apply(index, actions);
    }

    fn apply_delayed(&mut self, pick: u8) {
        if !self.delayed.is_empty() {
            let operation = self.delayed.remove(usize::from(pick) % self.delayed.len());
            self.execute(&operation);
        }
    }

    fn delay(&mut self, operation: Operation) {
        let is_write = !matches!(
            operation.action,
            ClaimAction::Run | ClaimAction::Read | ClaimAction::ReadAt(_)
        );
        if is_write {
            self.delayed.push(operation.clone());
        }
        self.report_lost(&operation);
    }

    /// Executes an operation and reports its result to its claim, or loses the answer.
    fn answer(&mut self, operation: Operation, lose: bool) {
        let written = self.execute(&operation);
        if lose {
            return self.report_lost(&operation);
        }
        let (now, runs) = (self.now, self.runs);
        let found = self.record.clone();
        let found = found.as_ref().map(|(record, revision)| (record, *revision));
        let claim = &mut self.nodes[operation.machine].claim;
        let actions = match (&operation.action, found) {
            (ClaimAction::Run, _) => claim.on_run_result(now, reply(runs)),
            (ClaimAction::WriteOutcome { .. }, _) if written => {
                claim.on_outcome_written(now, OutcomeWrite::Written)
            }
            (ClaimAction::WriteOutcome { .. }, _) => {
                claim.on_outcome_written(now, OutcomeWrite::Conflict)
            }
            (ClaimAction::Create(_), _) if written => {
                let actions = claim.on_created(now, None);
                assert!(claim.on_created(now, None).is_empty(), "created twice");
                actions
            }
            (ClaimAction::Retake { .. }, Some((_, revision))) if written => {
                claim.on_created(now, Some(revision))
            }
            (ClaimAction::Create(_) | ClaimAction::Retake { .. }, Some((record, revision))) => {
                claim.on_exists(now, record, revision)
            }
            (_, found) => claim.on_read(now, found),
        };
        self.apply(operation.machine, actions);
    }

    /// Executes an operation; true when a write took effect.
    fn execute(&mut self, operation: &Operation) -> bool {
        let revision = self.record.as_ref().map_or(0, |(_, revision)| *revision);
        let (record, expected) = match &operation.action {
            ClaimAction::Create(record) => (record, 0),
            ClaimAction::Retake {
                record,
                expected_mod_revision,
            }
            | ClaimAction::WriteOutcome {
                record,
                expected_mod_revision,
            } => (record, *expected_mod_revision),
            ClaimAction::Run => {
                self.runs += 1;
                let node = &mut self.nodes[operation.machine];
                node.ran = true;
                let is_not_run = |answer: &ClaimAnswer| matches!(answer, ClaimAnswer::Refused(refusal) if refusal.not_run);
                assert!(
                    !node.answers.iter().any(is_not_run),
                    "'not run' was reported for a call that ran"
                );
                self.ran_other_body = Some(node.other_body);
                return false;
            }
            _ => return false,
        };
        if revision != expected {
            return false;
        }
        self.revision += 1;
        self.record = Some((record.clone(), self.revision));
        true
    }

    fn report_lost(&mut self, operation: &Operation) {
        let now = self.now;
        let claim = &mut self.nodes[operation.machine].claim;
        let actions = match &operation.action {
            ClaimAction::Run => claim.on_run_result(now, RunResult::Unknown),
            ClaimAction::WriteOutcome { .. } => {
                claim.on_outcome_written(now, OutcomeWrite::Unknown)
            }
            ClaimAction::Read | ClaimAction::ReadAt(_) => claim.on_store_unreachable(now),
            _ => claim.on_write_unknown(now),
        };
        self.apply(operation.machine, actions);
    }

    fn refuse(&mut self, operation: Operation) {
        let now = self.now;
        let claim = &mut self.nodes[operation.machine].claim;
        let actions = match &operation.action {
            ClaimAction::Run => claim.on_run_result(now, RunResult::NotRun),
            ClaimAction::WriteOutcome { .. } => {
                claim.on_outcome_written(now, OutcomeWrite::Unreachable)
            }
            _ => claim.on_store_unreachable(now),
        };
        self.apply(operation.machine, actions);
    }

    fn apply(&mut self, machine: usize, actions: Vec<ClaimAction>) {
        if !self.nodes[machine].crashed {
            self.run(machine, actions);
        }
    }
}
