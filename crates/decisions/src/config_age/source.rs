//! The feed source's side of confirmations.

use std::collections::BTreeMap;

use monsoonspread_model::{InstanceName, UnixMs};

use super::Confirmation;

/// How long a request is answered after each call of the store, in milliseconds: three times the interval at
/// which subscribers send one.
pub const REQUEST_KEPT_MS: u64 = 3_000;

/// A subscriber's last request.
#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    received_at: UnixMs,
}

/// An answered call of the store.
#[derive(Clone, Copy, Debug)]
struct Read {
    asked_at: UnixMs,
    revision: u64,
}

/// Tells subscribers when this instance last asked the store.
///
/// A request is answered at once, and again after each further call of the store, so that what subscribers
/// know is as recent as what their source knows.
#[derive(Debug, Default)]
pub struct ConfirmationSource {
    last_read: Option<Read>,
    requests: BTreeMap<InstanceName, Request>,
}

impl ConfirmationSource {
    /// The store answered a call that was made after `asked_at` and showed `revision`. Returns the
    /// confirmations to send, after the changes that were read.
    pub fn on_read(
        &mut self,
        now: UnixMs,
        asked_at: UnixMs,
        revision: u64,
    ) -> Vec<(InstanceName, Confirmation)> {
        let read = Read { asked_at, revision };
        self.last_read = Some(read);
        self.requests
            .retain(|_, request| now.ms_since(request.received_at) < REQUEST_KEPT_MS);
        let requests = self.requests.iter();
        requests
            .map(|(instance, request)| (instance.clone(), confirmation(read, *request)))
            .collect()
    }

    /// A request of `instance` was received; returns the answer, `None` if the store never answered.
    pub fn on_request(
        &mut self,
        now: UnixMs,
        instance: &InstanceName,
        number: u64,
    ) -> Option<Confirmation> {
        let request = Request {
            number,
            received_at: now,
        };
        self.requests.insert(instance.clone(), request);
        self.last_read.map(|read| confirmation(read, request))
    }

    /// `instance` connected, perhaps as another process, which did not send the earlier requests.
    pub fn on_connected(&mut self, instance: &InstanceName) {
        self.requests.remove(instance);
    }
}

fn confirmation(read: Read, request: Request) -> Confirmation {
    let after_ms = read.asked_at.ms_since(request.received_at) as i64;
    let before_ms = request.received_at.ms_since(read.asked_at) as i64;
    Confirmation {
        number: request.number,
        asked_after_ms: after_ms - before_ms,
        revision: read.revision,
    }
}
