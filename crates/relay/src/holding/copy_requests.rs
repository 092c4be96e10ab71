//! Copy requests of this instance, to itself and to other holders.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::copies::{CopyRefusal, CopyRequest, CopyRequestId};
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{UnixMs, UpstreamName};
use tokio::sync::oneshot;

use super::{CopyRequestGuard, Holding};
use crate::peers::{CopyRequestFailure, GrantedCopy, PeerCopyRequest};
use crate::shared::Shared;

/// Extra time to wait for a refusal by the state machine, in milliseconds.
const REFUSAL_SLACK_MS: u64 = 100;

/// Parameters of a copy request to an engine's holder.
#[derive(Clone, Debug)]
pub struct LocalCopyRequest {
    pub upstream: UpstreamName,
    /// Adapter or base model that the request runs on.
    pub key: AdapterKey,
    /// Oldest version of the adapter on which the request may begin; `None` for any.
    pub min_version: Option<u64>,
    /// Rank of the request; 0 is served first.
    pub rank: u32,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of its answer, in tokens.
    pub answer_tokens: u32,
    /// Leading parts of the prompt that other requests may share, if they are long.
    pub shared_parts: Vec<PromptPart>,
    /// Whether to queue behind other requests for a copy.
    pub patient: bool,
    /// Latest time to send the request and still meet its objective.
    pub in_time_until: UnixMs,
    /// When the request stops waiting for the copy.
    pub wait_until: UnixMs,
    /// When the request will be over at the latest.
    pub ends_by: UnixMs,
}

impl Holding {
    /// Requests a copy from the holder of an engine.
    ///
    /// Returns the guard of the grant, and the copy.
    pub async fn request_copy(
        &self,
        shared: &Rc<Shared>,
        request: &LocalCopyRequest,
    ) -> Result<(CopyRequestGuard, GrantedCopy), CopyRequestFailure> {
        let Some(holder) = self.holder(&request.upstream) else {
            return Err(CopyRequestFailure::Refused(CopyRefusal::NotHolder));
        };
        let number = self.next_number();
        let guard = CopyRequestGuard::new(shared, &holder, &request.upstream, number);
        let now = shared.now();
        let copy = if holder == shared.settings.instance {
            self.request_from_self(shared, request, number).await?
        } else {
            let Some(address) = shared.fleet.borrow().member(&holder) else {
                return Err(CopyRequestFailure::Silent);
            };
            let peer_ask = PeerCopyRequest {
                number,
                upstream: request.upstream.clone(),
                key: request.key.clone(),
                min_version: request.min_version,
                rank: request.rank,
                prompt_tokens: request.prompt_tokens,
                answer_tokens: request.answer_tokens,
                shared_parts: request.shared_parts.clone(),
                patient: request.patient,
                in_time_ms: request.in_time_until.ms_since(now),
                wait_ms: request.wait_until.ms_since(now),
                lasts_ms: request.ends_by.ms_since(now),
            };
            shared
                .peers
                .request_copy(&holder, address, peer_ask)
                .await?
        };
        Ok((guard, copy))
    }

    async fn request_from_self(
        &self,
        shared: &Rc<Shared>,
        request: &LocalCopyRequest,
        number: u64,
    ) -> Result<GrantedCopy, CopyRequestFailure> {
        let (answer, answered) = oneshot::channel();
        self.add_local_request(number, answer);
        let id = CopyRequestId {
            instance: shared.settings.instance.clone(),
            number,
        };
        let engine_request = CopyRequest {
            id,
            key: request.key.clone(),
            min_version: request.min_version,
            rank: request.rank,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            shared_parts: request.shared_parts.clone(),
            patient: request.patient,
            in_time_until: request.in_time_until,
            wait_until: request.wait_until,
            ends_by: request.ends_by,
        };
        self.on_copy_request(shared, &request.upstream, engine_request);
        let wait_ms = request.wait_until.ms_since(shared.now()) + REFUSAL_SLACK_MS;
        let answer = tokio::time::timeout(Duration::from_millis(wait_ms), answered).await;
        self.remove_local_request(number);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => Err(CopyRequestFailure::Refused(CopyRefusal::TooLate)),
        }
    }
}
