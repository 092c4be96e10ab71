//! Asks of this instance, to itself and to others.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::copies::{AskId, CopyAsk, CopyRefusal};
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{UnixMs, UpstreamName};
use tokio::sync::oneshot;

use super::{AskGuard, Holding};
use crate::peers::{AskFailure, PeerAsk};
use crate::shared::Shared;

/// Allowance beyond the wait for the state machine's own refusal, in milliseconds.
const OWN_REFUSAL_MS: u64 = 100;

/// What a request asks a holder for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The engine.
    pub upstream: UpstreamName,
    /// What the request runs on.
    pub key: AdapterKey,
    /// Its rank, 0 first.
    pub rank: u32,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Leading parts of the prompt that other requests may share, where they are long.
    pub shared_parts: Vec<PromptPart>,
    /// It waits for a copy behind others.
    pub patient: bool,
    /// The request meets its objective when it is sent until then.
    pub in_time_until: UnixMs,
    /// When the request stops waiting for the copy.
    pub wait_until: UnixMs,
    /// When the request is surely over.
    pub ends_by: UnixMs,
}

impl Holding {
    /// Asks the holder of an engine for a copy.
    ///
    /// Returns the guard of the grant with the requests that run on the engine.
    pub async fn ask(&self, shared: &Rc<Shared>, ask: &Ask) -> Result<(AskGuard, u32), AskFailure> {
        let Some(holder) = self.holder(&ask.upstream) else {
            return Err(AskFailure::Refused(CopyRefusal::NotHolder));
        };
        let number = self.next_number();
        let guard = AskGuard::new(shared, &holder, &ask.upstream, number);
        let now = shared.now();
        let running = if holder == shared.settings.instance {
            self.ask_self(shared, ask, number).await?
        } else {
            let Some(address) = shared.fleet.borrow().member(&holder) else {
                return Err(AskFailure::Silent);
            };
            let peer_ask = PeerAsk {
                number,
                upstream: ask.upstream.clone(),
                key: ask.key.clone(),
                rank: ask.rank,
                prompt_tokens: ask.prompt_tokens,
                shared_parts: ask.shared_parts.clone(),
                patient: ask.patient,
                in_time_ms: ask.in_time_until.ms_since(now),
                wait_ms: ask.wait_until.ms_since(now),
                lasts_ms: ask.ends_by.ms_since(now),
            };
            shared.peers.ask(&holder, address, peer_ask).await?
        };
        Ok((guard, running))
    }

    async fn ask_self(
        &self,
        shared: &Rc<Shared>,
        ask: &Ask,
        number: u64,
    ) -> Result<u32, AskFailure> {
        let (answer, answered) = oneshot::channel();
        self.await_local(number, answer);
        let id = AskId {
            instance: shared.settings.instance.clone(),
            number,
        };
        let copy_ask = CopyAsk {
            id,
            key: ask.key.clone(),
            rank: ask.rank,
            prompt_tokens: ask.prompt_tokens,
            shared_parts: ask.shared_parts.clone(),
            patient: ask.patient,
            in_time_until: ask.in_time_until,
            wait_until: ask.wait_until,
            ends_by: ask.ends_by,
        };
        self.on_ask(shared, &ask.upstream, copy_ask);
        let wait_ms = ask.wait_until.ms_since(shared.now()) + OWN_REFUSAL_MS;
        let answer = tokio::time::timeout(Duration::from_millis(wait_ms), answered).await;
        self.forget_local(number);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => Err(AskFailure::Refused(CopyRefusal::TooLate)),
        }
    }
}
