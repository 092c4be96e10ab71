//! Dispatches requests of other instances.

use std::rc::Rc;

use monsoonspread_decisions::copies::{CopyRequest, CopyRequestId};
use monsoonspread_model::InstanceName;

use crate::peers::{PeerHandler, PeerReply, PeerRequest};
use crate::shared::Shared;

/// Dispatches requests of other instances.
pub struct PeerDispatcher(pub Rc<Shared>);

impl PeerHandler for PeerDispatcher {
    fn on_request(&self, instance: &InstanceName, request: PeerRequest) {
        let shared = &self.0;
        match request {
            PeerRequest::Heartbeat => {}
            PeerRequest::Hello(_) => {
                shared.subscribers.on_connected(instance);
                shared.gossiper.on_connected(instance);
            }
            PeerRequest::Gossip(gossip) => shared.on_gossip(instance, &gossip),
            PeerRequest::Permit(request) => {
                let permit = shared.on_permit_request(&request);
                shared.incoming.reply(instance, PeerReply::Permit(permit));
            }
            PeerRequest::Quota(request) => {
                let quota = shared.on_quota_request(instance, &request);
                shared.incoming.reply(instance, PeerReply::Quota(quota));
            }
            PeerRequest::Place(request) => shared.on_place_request(instance, &request),
            PeerRequest::PlaceEnd(end) => shared.on_place_end(instance, &end),
            PeerRequest::Subscribe => shared.subscribers.on_subscribe(shared, instance),
            PeerRequest::Confirm(number) => {
                shared.subscribers.on_confirm(shared, instance, number);
            }
            PeerRequest::CopyRequest(copy_request) => {
                let now = shared.now();
                shared
                    .incoming
                    .reply(instance, PeerReply::Received(copy_request.number));
                let engine_request = CopyRequest {
                    id: CopyRequestId {
                        instance: instance.clone(),
                        number: copy_request.number,
                    },
                    key: copy_request.key,
                    min_version: copy_request.min_version,
                    rank: copy_request.rank,
                    prompt_tokens: copy_request.prompt_tokens,
                    answer_tokens: copy_request.answer_tokens,
                    shared_parts: copy_request.shared_parts,
                    patient: copy_request.patient,
                    in_time_until: now + copy_request.in_time_ms,
                    wait_until: now + copy_request.wait_ms,
                    ends_by: now + copy_request.lasts_ms,
                };
                shared
                    .holding
                    .on_copy_request(shared, &copy_request.upstream, engine_request);
            }
            PeerRequest::Quote {
                number,
                upstream,
                question,
            } => {
                let now = shared.now();
                let quote = shared.holding.on_quote(now, &upstream, &question);
                shared
                    .incoming
                    .reply(instance, PeerReply::Quoted { number, quote });
            }
            PeerRequest::Started {
                number,
                upstream,
                slowness_percent,
            } => {
                let id = CopyRequestId {
                    instance: instance.clone(),
                    number,
                };
                shared
                    .holding
                    .on_started(shared, &upstream, &id, slowness_percent);
            }
            PeerRequest::Done {
                number,
                upstream,
                absent,
                events,
            } => {
                let id = CopyRequestId {
                    instance: instance.clone(),
                    number,
                };
                let holding = &shared.holding;
                holding.on_done(shared, &upstream, &id, absent, events);
            }
        }
    }
}
