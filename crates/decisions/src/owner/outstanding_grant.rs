//! One grant that has not been returned.

use monsoonspread_model::message::{GrantId, HeldGrant};
use monsoonspread_model::{CallerName, CopyName, InstanceName, RequestClass, UnixMs};

use super::request_key::RequestKey;

/// A grant that has not been returned.
#[derive(Clone, Debug)]
pub(super) struct OutstandingGrant {
    /// The request it is for, with the instance that holds it.
    pub key: RequestKey,
    /// The copy it pins.
    pub copy: CopyName,
    /// The request's class.
    pub class: RequestClass,
    /// The caller that sent the request.
    pub caller: CallerName,
    /// Tokens the request is expected to generate.
    pub tokens: u32,
    /// When it was granted or announced.
    pub granted_at: UnixMs,
    /// When it stops occupying a batch place.
    pub expires_at: UnixMs,
    /// Until when a duplicate of its request may still arrive.
    pub repeats_until: UnixMs,
    /// Whether it occupies a batch place.
    pub holds_place: bool,
    /// Whether its holder was removed from the membership.
    pub holder_removed: bool,
}

impl OutstandingGrant {
    /// Imports a grant that `holder` announced or a former owner handed over.
    pub fn from_held(holder: &InstanceName, held: &HeldGrant, now: UnixMs) -> Self {
        Self {
            key: RequestKey::new(holder, held.request),
            copy: CopyName::new(held.adapter.clone(), held.copy_epoch),
            class: held.class,
            caller: held.caller.clone(),
            tokens: held.tokens,
            granted_at: now,
            expires_at: held.expires_at_unix_ms,
            repeats_until: held.expires_at_unix_ms,
            holds_place: true,
            holder_removed: false,
        }
    }

    /// Converts the grant to the form sent to a new owner.
    pub fn to_held(&self, grant: GrantId) -> HeldGrant {
        HeldGrant {
            grant,
            request: self.key.request,
            adapter: self.copy.adapter.clone(),
            copy_epoch: self.copy.epoch,
            class: self.class,
            caller: self.caller.clone(),
            tokens: self.tokens,
            expires_at_unix_ms: self.expires_at,
        }
    }
}
