//! Test harness around a dispatcher: fake owners, and invariants checked on every action.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::message::{GrantAnswer, GrantId, GrantReply, RequestId};
use monsoonspread_model::{
    AdapterRef, BundleVersion, Epoch, Fingerprint, Refusal, RequestClass, UnixMs, UpstreamName,
};

use crate::dispatch::{
    AttemptEnd, AttemptId, DispatchAction, DispatchSettings, Dispatcher, EndKind, NewRequest,
};
use crate::placement::CandidateUpstream;

pub(super) const UPSTREAMS: usize = 4;

/// Recorded actions, checked against the invariants as they come.
pub(super) struct World {
    pub(super) dispatcher: Dispatcher,
    pub(super) now: UnixMs,
    pub(super) grant_requests: Vec<(RequestId, UpstreamName)>,
    pub(super) running: BTreeMap<(RequestId, AttemptId), UpstreamName>,
    pub(super) results: BTreeMap<RequestId, Result<(), Refusal>>,
    pub(super) generated: Vec<(RequestId, UpstreamName, bool)>,
    pub(super) hedges: usize,
    pub(super) loads_allowed: Vec<bool>,
    pub(super) crashes_broadcast: usize,
    may_have_run: BTreeSet<RequestId>,
    adapters: BTreeMap<RequestId, AdapterRef>,
    granted: BTreeSet<(UpstreamName, GrantId)>,
    returned: BTreeSet<(UpstreamName, GrantId)>,
    announced: BTreeMap<UpstreamName, Epoch>,
    serial: u64,
}

impl World {
    pub(super) fn new(settings: DispatchSettings) -> Self {
        let mut dispatcher = Dispatcher::new("zone-0".into(), settings);
        dispatcher.on_upstreams(
            (0..UPSTREAMS)
                .map(|number| CandidateUpstream {
                    name: upstream(number),
                    zone: format!("zone-{}", number % 2).into(),
                    weight: 8.0,
                })
                .collect(),
        );
        Self {
            dispatcher,
            now: UnixMs(10_000),
            grant_requests: Vec::new(),
            running: BTreeMap::new(),
            results: BTreeMap::new(),
            generated: Vec::new(),
            hedges: 0,
            loads_allowed: Vec::new(),
            crashes_broadcast: 0,
            may_have_run: BTreeSet::new(),
            adapters: BTreeMap::new(),
            granted: BTreeSet::new(),
            returned: BTreeSet::new(),
            announced: BTreeMap::new(),
            serial: 0,
        }
    }

    pub(super) fn request(&mut self, id: u64, class: RequestClass, resumable: bool) -> RequestId {
        let request = RequestId(id);
        let adapter = AdapterRef::new(format!("needle-{}", id % 7), 2);
        self.adapters.insert(request, adapter.clone());
        let actions = self.dispatcher.on_request(
            self.now,
            NewRequest {
                request,
                adapter,
                class,
                priority: 5,
                caller: "bench".into(),
                tokens: 40,
                deadline_unix_ms: self.now + 1_000,
                bundle_version: BundleVersion(1),
                fingerprint: Fingerprint(id % 5),
                resumable,
            },
        );
        self.apply(actions);
        request
    }

    pub(super) fn reply(
        &mut self,
        request: RequestId,
        upstream: &UpstreamName,
        answer: GrantAnswer,
    ) {
        let epoch = match &answer {
            GrantAnswer::Granted { grant, .. } => grant.epoch,
            _ => Epoch(1),
        };
        self.deliver(&GrantReply {
            request,
            upstream: upstream.clone(),
            epoch,
            answer,
        });
    }

    pub(super) fn deliver(&mut self, reply: &GrantReply) {
        if let GrantAnswer::Granted { grant, .. } = reply.answer {
            self.granted.insert((reply.upstream.clone(), grant));
        }
        let actions = self.dispatcher.on_reply(self.now, reply);
        self.apply(actions);
    }

    pub(super) fn grant(&mut self, epoch: u64) -> GrantAnswer {
        self.serial += 1;
        GrantAnswer::Granted {
            grant: GrantId {
                epoch: Epoch(epoch),
                serial: self.serial,
            },
            copy_epoch: Epoch(epoch),
            expires_at_unix_ms: self.now + 60_000,
        }
    }

    pub(super) fn first_token(&mut self, request: RequestId, attempt: AttemptId) {
        let actions = self.dispatcher.on_first_token(self.now, request, attempt);
        self.apply(actions);
    }

    pub(super) fn end(&mut self, request: RequestId, attempt: AttemptId, kind: EndKind) {
        self.running.remove(&(request, attempt));
        if !kind.is_not_run() {
            self.may_have_run.insert(request);
        }
        let end = AttemptEnd {
            kind,
            tokens: 10,
            token_gap_us: None,
        };
        let actions = self.dispatcher.on_end(self.now, request, attempt, end);
        self.apply(actions);
    }

    pub(super) fn announce(&mut self, upstream: &UpstreamName, epoch: Epoch) {
        let announce_request = monsoonspread_model::message::AnnounceRequest {
            upstream: upstream.clone(),
            epoch,
        };
        self.announced.insert(upstream.clone(), epoch);
        let actions = self
            .dispatcher
            .on_announce_request(&"owner".into(), &announce_request);
        self.apply(actions);
    }

    pub(super) fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(20) {
            self.now = self.now + 20;
            let actions = self.dispatcher.on_tick(self.now);
            self.apply(actions);
        }
    }

    pub(super) fn apply(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            self.apply_one(action);
        }
    }

    fn apply_one(&mut self, action: DispatchAction) {
        match action {
            DispatchAction::RequestGrant(grant_request) => {
                assert_eq!(
                    Some(&grant_request.adapter),
                    self.adapters.get(&grant_request.request)
                );
                self.loads_allowed.push(grant_request.may_load);
                self.grant_requests
                    .push((grant_request.request, grant_request.upstream));
            }
            DispatchAction::Generate {
                request,
                attempt,
                upstream,
                copy,
                resume,
            } => {
                assert_eq!(Some(&copy.adapter), self.adapters.get(&request));
                let seen = self.announced.get(&upstream).copied().unwrap_or_default();
                assert!(
                    copy.epoch >= seen,
                    "a grant older than an announcement was used"
                );
                assert!(
                    !self.results.contains_key(&request),
                    "work after the result"
                );
                self.running.insert((request, attempt), upstream.clone());
                self.generated.push((request, upstream, resume));
            }
            DispatchAction::Cancel { request, attempt } => {
                self.running.remove(&(request, attempt));
                self.may_have_run.insert(request);
            }
            DispatchAction::ReturnGrant(back) => {
                self.returned.insert((back.upstream, back.grant));
            }
            DispatchAction::Finish { request, result } => {
                if let Err(refusal) = &result {
                    let sent = self.may_have_run.contains(&request)
                        || self.running.keys().any(|(id, _)| *id == request);
                    assert!(
                        !(refusal.not_run && sent),
                        "\"not run\" was reported for work that ran"
                    );
                }
                let earlier = self.results.insert(request, result);
                assert_eq!(earlier, None, "two results for one request");
            }
            DispatchAction::BroadcastCrash(_) => self.crashes_broadcast += 1,
            DispatchAction::Event(event) => {
                let hedged = matches!(event, crate::dispatch::DispatchEvent::Hedged { .. });
                self.hedges += usize::from(hedged);
            }
            _ => {}
        }
    }

    /// Checks the invariants that hold once nothing is in flight.
    pub(super) fn check_end(&self) {
        assert_eq!(self.dispatcher.in_flight(), 0);
        assert_eq!(self.results.len(), self.adapters.len());
        assert_eq!(self.granted, self.returned, "a grant was lost or invented");
        assert!(
            self.running.is_empty(),
            "a generation runs without a request"
        );
    }
}

pub(super) fn upstream(number: usize) -> UpstreamName {
    format!("engine-{number}").into()
}
