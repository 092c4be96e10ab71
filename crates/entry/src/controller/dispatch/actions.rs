//! Execution of the dispatcher's actions.

use std::collections::VecDeque;
use std::sync::Arc;

use monsoonspread_borders::GenerateRequest;
use monsoonspread_decisions::dispatch::{
    AttemptEnd, AttemptId, DispatchAction, DispatchEvent, EndKind,
};
use monsoonspread_model::message::{CrashNotice, GrantRequest, MeshMessage, RequestId};
use monsoonspread_model::{CopyName, InstanceName, Refusal, UnixMs, UpstreamName};
use tokio::sync::oneshot;

use super::command::DispatchCommand;
use super::controller::DispatchController;
use super::generation::{Generation, GenerationJob};
use super::request_record::{RequestRecord, RunningGeneration};
use crate::event::Event;

impl DispatchController {
    /// Executes `actions` and the actions that result from them.
    pub(super) fn carry_out(&mut self, actions: Vec<DispatchAction>) {
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            waiting.extend(self.carry_out_one(action));
        }
    }

    fn carry_out_one(&mut self, action: DispatchAction) -> Vec<DispatchAction> {
        match action {
            DispatchAction::RequestGrant(grant_request) => {
                return self.request_grant(grant_request);
            }
            DispatchAction::Withdraw { upstream, request } => self.withdraw(upstream, request),
            DispatchAction::Generate {
                request,
                attempt,
                upstream,
                copy,
                resume,
            } => self.generate(request, attempt, upstream, copy, resume),
            DispatchAction::Cancel { request, attempt } => self.cancel(request, attempt),
            DispatchAction::Choose { request, attempt } => self.choose(request, attempt),
            DispatchAction::ReturnGrant(back) => {
                if let Some(owner) = self.known_owners.get(&back.upstream) {
                    self.mesh.send(owner, MeshMessage::GrantReturn(back));
                }
            }
            DispatchAction::Finish { request, result } => self.finish(request, result),
            DispatchAction::Announce { to, announce } => {
                self.mesh.send(&to, MeshMessage::Announce(announce));
            }
            DispatchAction::BroadcastCrash(notice) => self.broadcast_crash_notice(&notice),
            DispatchAction::Event(event) => log_event(&event),
        }
        Vec::new()
    }

    fn request_grant(&mut self, grant_request: GrantRequest) -> Vec<DispatchAction> {
        let request = grant_request.request;
        let upstream = grant_request.upstream.clone();
        let Some(owner) = self.known_owners.get(&upstream) else {
            return self
                .dispatcher
                .on_grant_request_failed(UnixMs::now(), request, &upstream);
        };
        self.grant_requests
            .insert((request, upstream.clone()), owner.clone());
        if self
            .mesh
            .send(owner, MeshMessage::GrantRequest(grant_request))
        {
            return Vec::new();
        }
        self.grant_requests.remove(&(request, upstream.clone()));
        self.dispatcher
            .on_grant_request_failed(UnixMs::now(), request, &upstream)
    }

    fn withdraw(&mut self, upstream: UpstreamName, request: RequestId) {
        let requested_from = self.grant_requests.remove(&(request, upstream.clone()));
        let Some(owner) = requested_from.or_else(|| self.known_owners.get(&upstream).cloned())
        else {
            return;
        };
        let message = MeshMessage::GrantWithdraw { upstream, request };
        self.mesh.send(&owner, message);
    }

    fn generate(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        upstream: UpstreamName,
        copy: CopyName,
        resume: bool,
    ) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        let directory = self.directory.borrow();
        let Some(row) = directory.engines.get(&upstream) else {
            return self.handle.enqueue(unreachable_upstream(request, attempt));
        };
        let (chosen, chosen_receiver) = oneshot::channel();
        let body = if resume {
            record.call.resumed_body(&record.text, record.tokens)
        } else {
            record.call.engine_body()
        };
        let job = GenerationJob {
            request,
            attempt,
            upstream,
            engine: Arc::clone(&row.client),
            generate: GenerateRequest {
                copy: copy.clone(),
                path: record.call.api.path().to_owned(),
                body,
                priority: record.call.priority,
                request_id: format!("{}-{}", self.local_instance, request.0),
            },
            copy,
            earlier_tokens: if resume { record.tokens } else { 0 },
            chosen: chosen_receiver,
            answer_events: record.answer_events.clone(),
            dispatch: self.handle.clone(),
        };
        let task = self.generations.spawn(Generation::new(job).run());
        let running = RunningGeneration {
            task,
            chosen: Some(chosen),
        };
        record.generations.insert(attempt, running);
    }

    fn cancel(&mut self, request: RequestId, attempt: AttemptId) {
        let record = self.records.get_mut(&request);
        if let Some(running) = record.and_then(|record| record.generations.remove(&attempt)) {
            running.task.abort();
        }
    }

    fn choose(&mut self, request: RequestId, attempt: AttemptId) {
        let Some(record) = self.records.get_mut(&request) else {
            return;
        };
        if record.text.is_empty() {
            let after_ms = UnixMs::now().ms_since(record.arrived_at);
            self.metrics.on_first_token(record.class, after_ms);
        }
        let running = record.generations.get_mut(&attempt);
        if let Some(chosen) = running.and_then(|running| running.chosen.take()) {
            let _ = chosen.send(());
        }
    }

    fn finish(&mut self, request: RequestId, result: Result<(), Refusal>) {
        let Some(record) = self.take_record(request) else {
            return;
        };
        for running in record.generations.values() {
            running.task.abort();
        }
        if result.is_ok() {
            let after_ms = UnixMs::now().ms_since(record.arrived_at);
            self.metrics.on_done(record.class, after_ms);
        }
        let _ = record.result.send(result);
    }

    pub(super) fn abort_request(&mut self, request: RequestId) {
        if let Some(record) = self.take_record(request) {
            for running in record.generations.values() {
                running.task.abort();
            }
        }
    }

    fn take_record(&mut self, request: RequestId) -> Option<RequestRecord> {
        let first = (request, UpstreamName::from(""));
        let keys: Vec<_> = self
            .grant_requests
            .range(first..)
            .take_while(|((id, _), _)| *id == request)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.grant_requests.remove(&key);
        }
        self.records.remove(&request)
    }

    fn broadcast_crash_notice(&self, notice: &CrashNotice) {
        Event::CrashSuspected {
            upstream: &notice.upstream,
            fingerprint: notice.fingerprint,
        }
        .log();
        let directory = self.directory.borrow();
        for entry in &directory.entries {
            let peer = InstanceName::from(entry.name.as_str());
            if peer != self.local_instance {
                self.mesh
                    .send(&peer, MeshMessage::CrashNotice(notice.clone()));
            }
        }
    }
}

/// Ends an attempt whose upstream is no longer listed.
fn unreachable_upstream(request: RequestId, attempt: AttemptId) -> DispatchCommand {
    DispatchCommand::Ended {
        request,
        attempt,
        end: AttemptEnd {
            kind: EndKind::Unreachable,
            tokens: 0,
            token_gap_us: None,
        },
        text: String::new(),
    }
}

fn log_event(event: &DispatchEvent) {
    match event {
        // The generation logs this together with the expected model.
        DispatchEvent::WrongAdapter { .. } => {}
        notice => Event::DispatchNotice { notice }.log(),
    }
}
