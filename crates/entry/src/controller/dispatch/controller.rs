//! The task that owns the dispatcher.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_decisions::dispatch::{
    AttemptEnd, AttemptId, DispatchAction, DispatchEvent, DispatchSettings, Dispatcher,
};
use monsoonspread_decisions::placement::CandidateUpstream;
use monsoonspread_model::message::{
    CrashNotice, GrantAnswer, GrantReply, GrantRequest, MeshMessage, RequestId,
};
use monsoonspread_model::{CopyName, Epoch, InstanceName, Refusal, UnixMs, UpstreamName, ZoneName};
use monsoonspread_platform::GenerateRequest;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::command::{DispatchCommand, Submission};
use super::generation::{Generation, GenerationJob};
use super::record::{Record, RunningGeneration};
use super::{DispatchHandle, OwnerMap};
use crate::directory::Directory;
use crate::event::Event;
use crate::mesh::MeshHandle;
use crate::metrics::Metrics;

/// How often the dispatcher is told that time passed.
const TICK: Duration = Duration::from_millis(20);

/// Owns every model request in flight.
pub struct DispatchController {
    own: InstanceName,
    dispatcher: Dispatcher,
    records: BTreeMap<RequestId, Record>,
    /// Which instance was asked for a grant.
    asked: BTreeMap<(RequestId, UpstreamName), InstanceName>,
    generations: JoinSet<()>,
    mesh: MeshHandle,
    handle: DispatchHandle,
    commands: mpsc::UnboundedReceiver<DispatchCommand>,
    directory: watch::Receiver<Arc<Directory>>,
    owners: watch::Receiver<Arc<OwnerMap>>,
    known_owners: Arc<OwnerMap>,
    metrics: Metrics,
}

impl DispatchController {
    /// Creates the task's state.
    pub fn new(
        own: InstanceName,
        zone: ZoneName,
        mesh: MeshHandle,
        channel: (DispatchHandle, mpsc::UnboundedReceiver<DispatchCommand>),
        directory: watch::Receiver<Arc<Directory>>,
        owners: watch::Receiver<Arc<OwnerMap>>,
        metrics: Metrics,
    ) -> Self {
        let (handle, commands) = channel;
        Self {
            own,
            dispatcher: Dispatcher::new(zone, DispatchSettings::default()),
            records: BTreeMap::new(),
            asked: BTreeMap::new(),
            generations: JoinSet::new(),
            mesh,
            handle,
            commands,
            directory,
            owners,
            known_owners: Arc::default(),
            metrics,
        }
    }

    /// Serves messages until every sender is gone.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
                Ok(()) = self.directory.changed() => self.on_directory(),
                Ok(()) = self.owners.changed() => self.on_owners(),
            }
            while self.generations.try_join_next().is_some() {}
        }
    }

    fn on_command(&mut self, command: DispatchCommand) {
        let now = UnixMs::now();
        let actions = match command {
            DispatchCommand::Submit(submission) => self.on_submission(now, *submission),
            DispatchCommand::CallerGone(request) => {
                let actions = self.dispatcher.on_caller_gone(request);
                self.carry_out(actions);
                self.forget(request);
                return;
            }
            DispatchCommand::Reply(reply) => {
                if !matches!(reply.answer, GrantAnswer::Queued { .. }) {
                    let key = (reply.request, reply.upstream.clone());
                    self.asked.remove(&key);
                }
                self.dispatcher.on_reply(now, &reply)
            }
            DispatchCommand::AskFailed { request, upstream } => {
                self.asked.remove(&(request, upstream.clone()));
                self.dispatcher.on_ask_failed(now, request, &upstream)
            }
            DispatchCommand::AnnounceRequest { from, ask } => {
                self.dispatcher.on_announce_request(&from, &ask)
            }
            DispatchCommand::CrashNotice(notice) => self.dispatcher.on_crash_notice(now, &notice),
            DispatchCommand::PeerLost(peer) => return self.on_peer_lost(now, &peer),
            DispatchCommand::FirstToken { request, attempt } => {
                self.dispatcher.on_first_token(now, request, attempt)
            }
            DispatchCommand::Ended {
                request,
                attempt,
                end,
                text,
            } => self.on_ended(now, request, attempt, end, &text),
            DispatchCommand::Dump(reply) => {
                let _ = reply.send(self.dispatcher.dump(now));
                return;
            }
        };
        self.carry_out(actions);
    }

    fn on_tick(&mut self) {
        let actions = self.dispatcher.on_tick(UnixMs::now());
        self.carry_out(actions);
        self.metrics.on_in_flight(self.records.len());
    }

    fn on_directory(&mut self) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let sharing = directory.live_entries().max(1);
        self.dispatcher.on_sharing_instances(sharing);
        self.update_candidates(&directory);
    }

    fn on_owners(&mut self) {
        let owners = Arc::clone(&self.owners.borrow_and_update());
        let moved: Vec<_> = self
            .asked
            .iter()
            .filter(|((_, upstream), asked)| owners.get(upstream) != Some(*asked))
            .map(|(key, _)| key.clone())
            .collect();
        self.known_owners = owners;
        let directory = Arc::clone(&self.directory.borrow());
        self.update_candidates(&directory);
        let now = UnixMs::now();
        for (request, upstream) in moved {
            self.asked.remove(&(request, upstream.clone()));
            let reply = GrantReply {
                request,
                upstream,
                epoch: Epoch::default(),
                answer: GrantAnswer::NotOwner,
            };
            let actions = self.dispatcher.on_reply(now, &reply);
            self.carry_out(actions);
        }
    }

    /// Only upstreams with an owner can be asked for.
    fn update_candidates(&mut self, directory: &Directory) {
        let candidates = directory
            .engines
            .values()
            .filter(|engine| engine.is_live() && self.known_owners.contains_key(&engine.name))
            .map(|engine| CandidateUpstream {
                name: engine.name.clone(),
                zone: engine.listed.zone.clone(),
                weight: f64::from(engine.listed.adapter_slots.max(1)),
            })
            .collect();
        self.dispatcher.on_upstreams(candidates);
    }

    fn on_peer_lost(&mut self, now: UnixMs, peer: &InstanceName) {
        let lost: Vec<_> = self
            .asked
            .iter()
            .filter(|(_, asked)| *asked == peer)
            .map(|(key, _)| key.clone())
            .collect();
        for (request, upstream) in lost {
            self.asked.remove(&(request, upstream.clone()));
            let actions = self.dispatcher.on_ask_failed(now, request, &upstream);
            self.carry_out(actions);
        }
    }

    fn on_submission(&mut self, now: UnixMs, submission: Submission) -> Vec<DispatchAction> {
        let request = submission.request;
        self.metrics.on_request(request.class);
        let record = Record {
            call: Arc::new(submission.call),
            class: request.class,
            arrived_at: now,
            pieces: submission.pieces,
            result: submission.result,
            generations: HashMap::new(),
            text: String::new(),
            tokens: 0,
        };
        self.records.insert(request.request, record);
        self.dispatcher.on_request(now, request)
    }

    fn on_ended(
        &mut self,
        now: UnixMs,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        text: &str,
    ) -> Vec<DispatchAction> {
        if let Some(record) = self.records.get_mut(&request) {
            let generation = record.generations.remove(&attempt);
            // Only a chosen generation gave its text to the caller.
            if generation.is_some_and(|generation| generation.chosen.is_none()) {
                record.text.push_str(text);
                record.tokens += end.tokens;
            }
        }
        self.dispatcher.on_end(now, request, attempt, end)
    }

    /// Carries out actions and whatever they lead to.
    fn carry_out(&mut self, actions: Vec<DispatchAction>) {
        let mut waiting = VecDeque::from(actions);
        while let Some(action) = waiting.pop_front() {
            waiting.extend(self.carry_out_one(action));
        }
    }

    fn carry_out_one(&mut self, action: DispatchAction) -> Vec<DispatchAction> {
        match action {
            DispatchAction::Ask(ask) => return self.ask(ask),
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
            DispatchAction::Return(back) => {
                if let Some(owner) = self.known_owners.get(&back.upstream) {
                    self.mesh.send(owner, MeshMessage::GrantReturn(back));
                }
            }
            DispatchAction::Finish { request, result } => self.finish(request, result),
            DispatchAction::Announce { to, announce } => {
                self.mesh.send(&to, MeshMessage::Announce(announce));
            }
            DispatchAction::SpreadCrash(notice) => self.spread_crash(&notice),
            DispatchAction::Event(event) => log_event(&event),
        }
        Vec::new()
    }

    fn ask(&mut self, ask: GrantRequest) -> Vec<DispatchAction> {
        let request = ask.request;
        let upstream = ask.upstream.clone();
        let Some(owner) = self.known_owners.get(&upstream) else {
            return self
                .dispatcher
                .on_ask_failed(UnixMs::now(), request, &upstream);
        };
        self.asked
            .insert((request, upstream.clone()), owner.clone());
        if self.mesh.send(owner, MeshMessage::GrantRequest(ask)) {
            return Vec::new();
        }
        self.asked.remove(&(request, upstream.clone()));
        self.dispatcher
            .on_ask_failed(UnixMs::now(), request, &upstream)
    }

    fn withdraw(&mut self, upstream: UpstreamName, request: RequestId) {
        let asked = self.asked.remove(&(request, upstream.clone()));
        let Some(owner) = asked.or_else(|| self.known_owners.get(&upstream).cloned()) else {
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
            // Reported as any other upstream that can't be connected to.
            let end = AttemptEnd {
                kind: monsoonspread_decisions::dispatch::EndKind::Unreachable,
                tokens: 0,
                token_gap_us: None,
            };
            self.handle.tell(DispatchCommand::Ended {
                request,
                attempt,
                end,
                text: String::new(),
            });
            return;
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
                request_id: format!("{}-{}", self.own, request.0),
            },
            copy,
            tokens_before: if resume { record.tokens } else { 0 },
            chosen: chosen_receiver,
            pieces: record.pieces.clone(),
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

    fn forget(&mut self, request: RequestId) {
        if let Some(record) = self.take_record(request) {
            for running in record.generations.values() {
                running.task.abort();
            }
        }
    }

    fn take_record(&mut self, request: RequestId) -> Option<Record> {
        let first = (request, UpstreamName::from(""));
        let asked: Vec<_> = self
            .asked
            .range(first..)
            .take_while(|((asked, _), _)| *asked == request)
            .map(|(key, _)| key.clone())
            .collect();
        for key in asked {
            self.asked.remove(&key);
        }
        self.records.remove(&request)
    }

    fn spread_crash(&self, notice: &CrashNotice) {
        Event::CrashSuspected {
            upstream: &notice.upstream,
            fingerprint: notice.fingerprint,
        }
        .log();
        let directory = self.directory.borrow();
        for entry in &directory.entries {
            let peer = InstanceName::from(entry.name.as_str());
            if peer != self.own {
                self.mesh
                    .send(&peer, MeshMessage::CrashNotice(notice.clone()));
            }
        }
    }
}

fn log_event(event: &DispatchEvent) {
    match event {
        // Logged where the chunk was seen, with what was expected.
        DispatchEvent::WrongAdapter { .. } => {}
        notice => Event::DispatchNotice { notice }.log(),
    }
}
