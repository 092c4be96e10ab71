//! What an older copy of the store lists.

use monsoonspread_decisions::store_health::Admission;
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{UpstreamRecord, UpstreamStage};

use super::FleetView;

impl FleetView {
    /// Whether an upstream's entry in the whole state may be used now; if not, it may be later.
    pub(super) fn is_admitted(&mut self, now: UnixMs, record: &UpstreamRecord) -> bool {
        let (name, incarnation) = (&record.name, record.started_unix_ms);
        let known = self.upstream(name).map(|known| known.started_unix_ms);
        if known.is_some_and(|known| known > incarnation) && self.departures.is_doubted(now) {
            return false;
        }
        match self.departures.admission(now, name, incarnation) {
            Admission::Now => true,
            Admission::From(until) => {
                self.withheld.insert(name.clone(), (until, record.clone()));
                false
            }
            Admission::Never => false,
        }
    }

    /// The store came back from an older copy.
    pub fn on_restored(&mut self, now: UnixMs) {
        for (name, known) in &self.upstreams {
            let record = &known.record;
            if record.stage == UpstreamStage::Leaving {
                self.departures
                    .on_left(now, name, record.started_unix_ms, true);
            }
        }
        self.departures.on_restored(now);
    }
}
