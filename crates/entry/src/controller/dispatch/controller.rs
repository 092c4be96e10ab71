//! Task that runs the dispatcher for model requests in flight.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_decisions::dispatch::{
    AttemptEnd, AttemptId, DispatchAction, DispatchSettings, Dispatcher,
};
use monsoonspread_decisions::placement::CandidateUpstream;
use monsoonspread_model::message::{GrantAnswer, GrantReply, RequestId};
use monsoonspread_model::{Epoch, InstanceName, UnixMs, UpstreamName, ZoneName};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::command::{DispatchCommand, Submission};
use super::request_record::RequestRecord;
use super::{DispatchHandle, OwnerMap};
use crate::controller::Handles;
use crate::directory::Directory;
use crate::mesh::MeshHandle;
use crate::metrics::Metrics;

/// Interval of the dispatcher's time-driven steps.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the dispatcher and owns the model requests in flight.
pub struct DispatchController {
    pub(super) local_instance: InstanceName,
    pub(super) dispatcher: Dispatcher,
    pub(super) records: BTreeMap<RequestId, RequestRecord>,
    /// Instance that each unanswered grant request was sent to.
    pub(super) grant_requests: BTreeMap<(RequestId, UpstreamName), InstanceName>,
    pub(super) generations: JoinSet<()>,
    pub(super) mesh: MeshHandle,
    pub(super) handle: DispatchHandle,
    pub(super) commands: mpsc::UnboundedReceiver<DispatchCommand>,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) owners: watch::Receiver<Arc<OwnerMap>>,
    pub(super) known_owners: Arc<OwnerMap>,
    pub(super) metrics: Metrics,
}

impl DispatchController {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(
        local_instance: InstanceName,
        zone: ZoneName,
        handles: Handles,
        commands: mpsc::UnboundedReceiver<DispatchCommand>,
        directory: watch::Receiver<Arc<Directory>>,
        owners: watch::Receiver<Arc<OwnerMap>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            local_instance,
            dispatcher: Dispatcher::new(zone, DispatchSettings::default()),
            records: BTreeMap::new(),
            grant_requests: BTreeMap::new(),
            generations: JoinSet::new(),
            mesh: handles.mesh,
            handle: handles.dispatch,
            commands,
            directory,
            owners,
            known_owners: Arc::default(),
            metrics,
        }
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
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
            DispatchCommand::CallerDisconnected(request) => {
                let actions = self.dispatcher.on_caller_disconnected(request);
                self.carry_out(actions);
                self.abort_request(request);
                return;
            }
            DispatchCommand::Reply(reply) => {
                if !matches!(reply.answer, GrantAnswer::Queued { .. }) {
                    let key = (reply.request, reply.upstream.clone());
                    self.grant_requests.remove(&key);
                }
                self.dispatcher.on_reply(now, &reply)
            }
            DispatchCommand::GrantRequestFailed { request, upstream } => {
                self.grant_requests.remove(&(request, upstream.clone()));
                self.dispatcher
                    .on_grant_request_failed(now, request, &upstream)
            }
            DispatchCommand::AnnounceRequest {
                from,
                announce_request,
            } => self
                .dispatcher
                .on_announce_request(&from, &announce_request),
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
        let live_instances = directory.live_entries().max(1);
        self.dispatcher.on_sharing_instances(live_instances);
        self.update_candidates(&directory);
    }

    fn on_owners(&mut self) {
        let owners = Arc::clone(&self.owners.borrow_and_update());
        let moved: Vec<_> = self
            .grant_requests
            .iter()
            .filter(|((_, upstream), owner)| owners.get(upstream) != Some(*owner))
            .map(|(key, _)| key.clone())
            .collect();
        self.known_owners = owners;
        let directory = Arc::clone(&self.directory.borrow());
        self.update_candidates(&directory);
        let now = UnixMs::now();
        for (request, upstream) in moved {
            self.grant_requests.remove(&(request, upstream.clone()));
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

    /// Passes only live upstreams with a known owner to the dispatcher: a grant can't be requested
    /// for others.
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
            .grant_requests
            .iter()
            .filter(|(_, owner)| *owner == peer)
            .map(|(key, _)| key.clone())
            .collect();
        for (request, upstream) in lost {
            self.grant_requests.remove(&(request, upstream.clone()));
            let actions = self
                .dispatcher
                .on_grant_request_failed(now, request, &upstream);
            self.carry_out(actions);
        }
    }

    fn on_submission(&mut self, now: UnixMs, submission: Submission) -> Vec<DispatchAction> {
        let request = submission.request;
        self.metrics.on_request(request.class);
        let record = RequestRecord {
            call: Arc::new(submission.call),
            class: request.class,
            arrived_at: now,
            answer_events: submission.answer_events,
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
            // Only a chosen generation has sent its text to the caller.
            if generation.is_some_and(|generation| generation.chosen.is_none()) {
                record.text.push_str(text);
                record.tokens += end.tokens;
            }
        }
        self.dispatcher.on_end(now, request, attempt, end)
    }
}
