//! A copy request that ends when its guard is dropped.

use std::rc::Rc;

use monsoonspread_decisions::copies::CopyRequestId;
use monsoonspread_model::{InstanceName, UpstreamName};

use crate::peers::PeerRequest;
use crate::shared::Shared;

/// Ends a copy request when dropped, whatever the outcome of the client's request.
pub struct CopyRequestGuard {
    shared: Rc<Shared>,
    holder: InstanceName,
    upstream: UpstreamName,
    number: u64,
    absent: bool,
    events: u32,
}

impl CopyRequestGuard {
    pub(super) fn new(
        shared: &Rc<Shared>,
        holder: &InstanceName,
        upstream: &UpstreamName,
        number: u64,
    ) -> Self {
        Self {
            shared: Rc::clone(shared),
            holder: holder.clone(),
            upstream: upstream.clone(),
            number,
            absent: false,
            events: 0,
        }
    }

    /// Reports that the first event of the answer arrived.
    pub fn on_started(&self, slowness_percent: Option<u32>) {
        let number = self.number;
        if self.holder == self.shared.settings.instance {
            let id = CopyRequestId {
                instance: self.holder.clone(),
                number,
            };
            let holding = &self.shared.holding;
            holding.on_started(&self.shared, &self.upstream, &id, slowness_percent);
            return;
        }
        let upstream = self.upstream.clone();
        let started = PeerRequest::Started {
            number,
            upstream,
            slowness_percent,
        };
        self.shared.peers.send_if_connected(&self.holder, started);
    }

    /// Counts bytes of the answer that arrived together: about one event of its stream.
    pub fn on_event(&mut self) {
        self.events = self.events.saturating_add(1);
    }

    /// Records that the engine did not have the copy.
    pub fn on_absent(&mut self) {
        self.absent = true;
    }
}

impl Drop for CopyRequestGuard {
    fn drop(&mut self) {
        let (number, absent, events) = (self.number, self.absent, self.events);
        if self.holder == self.shared.settings.instance {
            let id = CopyRequestId {
                instance: self.holder.clone(),
                number,
            };
            self.shared
                .holding
                .on_done(&self.shared, &self.upstream, &id, absent, events);
            return;
        }
        let done = PeerRequest::Done {
            number,
            upstream: self.upstream.clone(),
            absent,
            events,
        };
        self.shared.peers.send_if_connected(&self.holder, done);
    }
}
