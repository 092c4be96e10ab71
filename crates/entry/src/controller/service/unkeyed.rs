//! Calls without a claim, sent to one server after another.

use std::sync::Arc;

use monsoonspread_borders::{Service, ServiceError, ServiceReply};
use monsoonspread_decisions::service_route::{CallAction, CallResult, ServiceCall};
use monsoonspread_model::{Refusal, RefusalReason, UnixMs, UpstreamName};

use super::call::{CallAnswer, CallRequest, ServiceCalls};
use super::{RouteCommand, RoutedCall};
use crate::event::Event;

impl ServiceCalls {
    /// Sends a call to servers until one answers or the router refuses to go on.
    pub(super) async fn make_unkeyed(&self, request: &CallRequest) -> Result<CallAnswer, Refusal> {
        let call = ServiceCall::new(
            request.service.clone(),
            request.entry.repeatable,
            request.deadline_unix_ms,
        );
        let mut reply = None;
        let start = |answer| RouteCommand::Start {
            call,
            reply: answer,
        };
        let mut routed = self.routes.ask(start).await.ok_or_else(instance_stopped)?;
        loop {
            match routed.action {
                CallAction::Send { server } => {
                    let result = self.send(request, &server, &mut reply).await;
                    routed = self.report_result(routed.call, result).await?;
                }
                CallAction::Reply => {
                    return reply.map(call_answer_from).ok_or_else(instance_stopped);
                }
                CallAction::Refuse(refusal) => {
                    if !refusal.not_run {
                        Event::OutcomeUnknown {
                            service: &request.service,
                            call: &request.call,
                        }
                        .log();
                    }
                    return Err(refusal);
                }
            }
        }
    }

    async fn report_result(
        &self,
        call: ServiceCall,
        result: CallResult,
    ) -> Result<RoutedCall, Refusal> {
        let ended = |reply| RouteCommand::Ended {
            call,
            result,
            reply,
        };
        self.routes.ask(ended).await.ok_or_else(instance_stopped)
    }

    async fn send(
        &self,
        request: &CallRequest,
        server: &UpstreamName,
        reply: &mut Option<ServiceReply>,
    ) -> CallResult {
        let Some(client) = self.client_for(request, server) else {
            return CallResult::Unreachable;
        };
        let timeout_ms = request.deadline_unix_ms.ms_since(UnixMs::now()).max(1);
        let key = request.idempotency_key.as_deref();
        let called = client.call(&request.call, &request.body, key, timeout_ms);
        match called.await {
            Ok(answer) => {
                *reply = Some(answer);
                CallResult::Replied
            }
            Err(ServiceError::Unreachable(_)) => CallResult::Unreachable,
            Err(ServiceError::NotRun(_)) => CallResult::NotRun,
            Err(ServiceError::AnswerLost(_)) => CallResult::AnswerLost,
        }
    }

    fn client_for(&self, request: &CallRequest, server: &UpstreamName) -> Option<Arc<dyn Service>> {
        let directory = self.directory.borrow();
        let rows = directory.services.get(request.service.as_str())?;
        let row = rows.iter().find(|row| row.name == *server)?;
        Some(Arc::clone(&row.client))
    }
}

fn call_answer_from(reply: ServiceReply) -> CallAnswer {
    CallAnswer {
        status: reply.status,
        content_type: reply.content_type,
        body: reply.body,
        replayed: false,
    }
}

fn instance_stopped() -> Refusal {
    let message = "the instance stopped while it made the call";
    Refusal::may_have_run(RefusalReason::OutcomeUnknown, message)
}
