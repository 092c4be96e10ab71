//! Collects what shows whether a process runs on.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_borders::relay::IdentityRequest;
use monsoonspread_decisions::announced::Backoff;
use monsoonspread_decisions::answer_end::ProcessEvidence;
use monsoonspread_model::UnixMs;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

use super::EndQuestion;
use super::ask::{ask, is_refused};
use super::process_checks::ProcessChecks;
use crate::shared::Shared;

/// Time in which an upstream answers a check, in milliseconds: a lost packet is sent again within it.
const CHECK_TIMEOUT_MS: u64 = 1_000;
/// Minimum time between the starts of two tries, in milliseconds.
const TRY_INTERVAL_MS: u64 = 50;

/// Returns what shows whether the process that answered a request ran on past the end of its answer, which
/// arrived just now.
pub async fn process_evidence(shared: Rc<Shared>, question: EndQuestion) -> ProcessEvidence {
    let Some(identity) = &question.identity else {
        return ProcessEvidence::NotAsked;
    };
    let checks = shared.end_checks.of(shared.now(), &question.upstream);
    let mut changed = checks.subscribe();
    let mut inquiry = Inquiry::new(&shared, &question, &checks);
    loop {
        match inquiry.next_step() {
            Step::Conclude(evidence) => return evidence,
            Step::Ask(backoff) => {
                if let Some(evidence) = inquiry.ask(identity, backoff).await {
                    return evidence;
                }
            }
            Step::Connect => {
                if is_refused(question.upstream.address).await {
                    return ProcessEvidence::ConnectionRefused;
                }
            }
            Step::WaitUntil(at) => wait_until(&shared, at, &mut changed).await,
        }
    }
}

/// What to do next for an answer that waits for evidence.
enum Step {
    Conclude(ProcessEvidence),
    /// Send a check, in this back-off if there is one.
    Ask(Option<Backoff>),
    /// Connect without a request, which shows whether the process has ended.
    Connect,
    /// Wait until this time, or until something changes.
    WaitUntil(UnixMs),
}

/// The search for evidence about one answer.
struct Inquiry<'a> {
    shared: &'a Rc<Shared>,
    question: &'a EndQuestion,
    checks: &'a ProcessChecks,
    /// Number of the answer's end.
    end: u64,
    /// When the answer is given up at the latest.
    latest: UnixMs,
    /// When a check that was sent for this answer counts as unanswered.
    unanswered_at: Option<UnixMs>,
    has_connected: bool,
}

impl<'a> Inquiry<'a> {
    fn new(shared: &'a Rc<Shared>, question: &'a EndQuestion, checks: &'a ProcessChecks) -> Self {
        Self {
            shared,
            question,
            checks,
            end: checks.next_number(),
            // An answer that is ready is delivered, even if late.
            latest: question.gives_up_at.max(shared.now() + CHECK_TIMEOUT_MS),
            unanswered_at: None,
            has_connected: false,
        }
    }

    fn next_step(&mut self) -> Step {
        if let Some(evidence) = self.checks.evidence_after(self.end) {
            return Step::Conclude(evidence);
        }
        let now = self.shared.now();
        let gives_up_at = self.gives_up_at();
        if now >= gives_up_at.min(self.unanswered_at.unwrap_or(gives_up_at)) {
            return Step::Conclude(match self.unanswered_at {
                Some(_) => ProcessEvidence::NoAnswer,
                None => ProcessEvidence::NotAsked,
            });
        }
        if self.checks.is_under_way_after(self.end) {
            return Step::WaitUntil(self.unanswered_at(now).min(gives_up_at));
        }
        let fleet = self.shared.fleet.borrow();
        let backoff = fleet.backoff(now, &self.question.upstream);
        let next_at = self.checks.next_at(now, backoff, gives_up_at);
        if next_at <= now && (backoff.is_none() || !self.checks.is_under_way()) {
            return Step::Ask(backoff);
        }
        if !std::mem::replace(&mut self.has_connected, true) {
            return Step::Connect;
        }
        let ends_at = gives_up_at.min(self.unanswered_at.unwrap_or(gives_up_at));
        Step::WaitUntil(match next_at > now {
            true => next_at.min(ends_at),
            false => ends_at,
        })
    }

    /// Sends a check; returns `None` if nothing came of it.
    async fn ask(
        &mut self,
        identity: &IdentityRequest,
        backoff: Option<Backoff>,
    ) -> Option<ProcessEvidence> {
        let now = self.shared.now();
        let ends_at = self.unanswered_at(now).min(self.gives_up_at());
        let check = self.checks.begin(now, backoff);
        let asked = ask(self.shared, &self.question.upstream, identity);
        let wait = Duration::from_millis(ends_at.ms_since(now));
        if let Ok(Some(evidence)) = timeout(wait, asked).await {
            check.on_evidence(evidence);
            return Some(evidence);
        }
        drop(check);
        let next_try = now + TRY_INTERVAL_MS;
        sleep(Duration::from_millis(next_try.ms_since(self.shared.now()))).await;
        None
    }

    /// When the answer is given up: with the process, if that stops.
    fn gives_up_at(&self) -> UnixMs {
        self.shared.useful_until(self.latest)
    }

    /// When checks count as unanswered, the first of which is under way by `now`.
    fn unanswered_at(&mut self, now: UnixMs) -> UnixMs {
        *self.unanswered_at.get_or_insert(now + CHECK_TIMEOUT_MS)
    }
}

/// Waits until `at`, or until a check ends or a planned stop begins.
async fn wait_until(shared: &Shared, at: UnixMs, changed: &mut Receiver<()>) {
    let wait = Duration::from_millis(at.ms_since(shared.now()));
    tokio::select! {
        () = sleep(wait) => {}
        // The sender lives as long as the checks of the process.
        _ = changed.changed() => {}
        _ = shared.stop_begun(), if !shared.is_stopping() => {}
    }
}
