//! State machine of one call of a plain service.

use monsoonspread_model::{Refusal, RefusalReason, ServiceName, UnixMs, UpstreamName};

use super::ServiceRouter;
use crate::retry_budget::RetryBudget;

/// Maximum number of servers that one call is sent to.
const MAX_TRIES: usize = 3;

/// How sending a call to one server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The server answered.
    Replied,
    /// The server could not be connected to.
    Unreachable,
    /// The server reported that it did not run the call.
    NotRun,
    /// The answer was lost; the call may have run.
    AnswerLost,
}

/// Next step of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAction {
    /// Send the call to this server.
    Send {
        /// The server.
        server: UpstreamName,
    },
    /// Forward the server's reply to the caller.
    Reply,
    /// Refuse, or report that the outcome is not known.
    Refuse(Refusal),
}

/// One call, from its first send to its only answer.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    service: ServiceName,
    repeatable: bool,
    deadline_unix_ms: UnixMs,
    tried: Vec<UpstreamName>,
    sent_at: UnixMs,
}

impl ServiceCall {
    /// Creates a call that has not been sent yet.
    ///
    /// ```
    /// # use monsoonspread_decisions::service_route::ServiceCall;
    /// # use monsoonspread_model::UnixMs;
    /// let call = ServiceCall::new("records".into(), true, UnixMs(2_000));
    /// # let _ = call;
    /// ```
    pub fn new(service: ServiceName, repeatable: bool, deadline_unix_ms: UnixMs) -> Self {
        Self {
            service,
            repeatable,
            deadline_unix_ms,
            tried: Vec::new(),
            sent_at: UnixMs(0),
        }
    }

    /// Sends the call for the first time.
    pub fn start(&mut self, now: UnixMs, router: &mut ServiceRouter) -> CallAction {
        if self.deadline_unix_ms <= now {
            let message = format!(
                "the deadline of the call to \"{}\" has passed",
                self.service
            );
            return CallAction::Refuse(Refusal::not_run(RefusalReason::DeadlineExceeded, message));
        }
        match router.pick(now, &self.service, self.repeatable, &self.tried) {
            Ok(server) => self.send(now, server),
            Err(refusal) => CallAction::Refuse(refusal),
        }
    }

    /// Handles the result of the last send.
    ///
    /// A call that may not be repeated is sent again only when the last server certainly did
    /// not run it.
    pub fn on_result(
        &mut self,
        now: UnixMs,
        result: CallResult,
        router: &mut ServiceRouter,
        retries: &mut RetryBudget,
    ) -> CallAction {
        self.report(now, result, router);
        match result {
            CallResult::Replied => CallAction::Reply,
            CallResult::AnswerLost if !self.repeatable => self.outcome_unknown(),
            _ => self.try_another(now, result, router, retries),
        }
    }

    fn report(&self, now: UnixMs, result: CallResult, router: &mut ServiceRouter) {
        let Some(server) = self.tried.last() else {
            return;
        };
        let answered = matches!(result, CallResult::Replied | CallResult::NotRun);
        let latency_ms = answered.then(|| now.ms_since(self.sent_at));
        router.on_end(now, server, self.repeatable, latency_ms);
    }

    fn try_another(
        &mut self,
        now: UnixMs,
        result: CallResult,
        router: &mut ServiceRouter,
        retries: &mut RetryBudget,
    ) -> CallAction {
        let may_try = self.tried.len() < MAX_TRIES && now < self.deadline_unix_ms;
        if !may_try || !retries.spend() {
            return self.failure_action(result);
        }
        match router.pick(now, &self.service, self.repeatable, &self.tried) {
            Ok(server) => self.send(now, server),
            Err(_) => self.failure_action(result),
        }
    }

    fn failure_action(&self, result: CallResult) -> CallAction {
        if result == CallResult::AnswerLost {
            return self.outcome_unknown();
        }
        let message = format!("no server of service \"{}\" took the call", self.service);
        CallAction::Refuse(Refusal::not_run(RefusalReason::Unavailable, message))
    }

    fn outcome_unknown(&self) -> CallAction {
        let message = format!(
            "the answer of service \"{}\" was lost and the call may have run",
            self.service
        );
        CallAction::Refuse(Refusal::may_have_run(
            RefusalReason::OutcomeUnknown,
            message,
        ))
    }

    fn send(&mut self, now: UnixMs, server: UpstreamName) -> CallAction {
        self.sent_at = now;
        self.tried.push(server.clone());
        CallAction::Send { server }
    }
}
