//! Decides which of the waiting requests are granted.

use monsoonspread_model::UnixMs;

use super::room::HeldBack;
use super::{CopyAction, CopyControl, CopyRequest};

/// Number of running requests that a waiting request counts as when instances compare engines.
const WAITING_WEIGHT: u32 = 2;

impl CopyControl {
    /// Grants the waiting requests for which there is room, the most urgent first, and refuses those
    /// that waited long enough.
    pub(super) fn answer_requests(&mut self, now: UnixMs) {
        let mut requests = std::mem::take(&mut self.waiting);
        self.room.sort(now, &mut requests, self.shape.batch_places);
        let mut held_back = HeldBack::default();
        for request in requests {
            let is_usable = self.is_usable_for(&request);
            if is_usable && !held_back.holds(&request) && self.has_room(now, &request) {
                self.grant(now, request);
            } else if request.wait_until <= now {
                let reason = self.refusal_reason(&request);
                self.refuse(request.id, reason);
            } else {
                if is_usable {
                    held_back.on_waits(now, &request);
                }
                self.waiting.push(request);
            }
        }
    }

    /// Whether the engine has a batch place, memory, and time to read the prompt.
    fn has_room(&mut self, now: UnixMs, request: &CopyRequest) -> bool {
        let share_percent = self.room.share_percent(now, request.rank);
        self.running() < self.shape.batch_places
            && self.room.fits(now, request, &self.shape)
            && self
                .prompts
                .admit(now, request.prompt_tokens, share_percent)
    }

    fn grant(&mut self, now: UnixMs, request: CopyRequest) {
        let kept_tokens = self.kept.kept_tokens(&request.key, &request.shared_parts);
        let read_tokens = request.prompt_tokens.saturating_sub(kept_tokens);
        self.prompts.on_sent(now, &request);
        self.kept
            .on_sent(&request.key, &request.shared_parts, request.prompt_tokens);
        self.room.on_granted(&request);
        self.speed
            .on_sent(now, &request.id, read_tokens, request.ends_by);
        let mut version = None;
        if let Some(copy) = self.copies.get_mut(&request.key) {
            copy.add_user(now, request.id.clone(), request.ends_by);
            version = copy.version;
        }
        let running = self.running() + WAITING_WEIGHT * self.waiting.len() as u32;
        self.act(CopyAction::Grant {
            request: request.id,
            running,
            version,
        });
    }
}
