//! Handles load reports of one upstream.

use std::collections::BTreeMap;

use monsoonspread_model::{CopyName, LoadReport, UnixMs};

use super::owned_upstream::OwnedUpstream;
use super::tracked_copy::{CopyState, TrackedCopy};
use super::{OwnerAction, OwnerEvent};

impl OwnedUpstream {
    /// Handles a load report; one older than the newest handled report is ignored.
    pub fn on_report(&mut self, now: UnixMs, report: &LoadReport, out: &mut Vec<OwnerAction>) {
        if report.taken_at_unix_ms < self.reported_at {
            return;
        }
        self.reported_at = report.taken_at_unix_ms;
        let listed = listed_copies(report);
        self.drop_missing(now, report, &listed, out);
        self.reconcile_listed_copies(now, report, &listed);
        self.record_unused(now, report, &listed);
        self.check_slots_known(report);
        if !self.shape.checks_fencing {
            let margin_ms = self.settings.clock_margin_ms;
            self.confirmation
                .on_report(report.taken_at_unix_ms, margin_ms);
        }
        self.started_at = Some(report.started_at_unix_ms);
        self.draining = report.draining;
        if self.draining {
            self.refuse_all(now, out);
        }
    }

    /// Removes copies that the report must list and does not.
    fn drop_missing(
        &mut self,
        now: UnixMs,
        report: &LoadReport,
        listed: &BTreeMap<CopyName, u32>,
        out: &mut Vec<OwnerAction>,
    ) {
        let restarted = self
            .started_at
            .is_some_and(|at| at != report.started_at_unix_ms);
        let missing: Vec<CopyName> = self
            .copies
            .iter()
            .filter(|(name, _)| !listed.contains_key(name))
            .filter(|(_, copy)| self.must_be_listed(copy, report, restarted))
            .map(|(name, _)| name.clone())
            .collect();
        for copy in missing {
            self.copies.remove(&copy, now);
            out.push(OwnerAction::Event(OwnerEvent::CopyLost {
                upstream: self.name().clone(),
                copy,
            }));
        }
    }

    fn must_be_listed(&self, copy: &TrackedCopy, report: &LoadReport, restarted: bool) -> bool {
        let margin_ms = self.settings.clock_margin_ms;
        let taken_at = report.taken_at_unix_ms;
        match copy.state {
            CopyState::Loaded if restarted && copy.since < report.started_at_unix_ms => true,
            CopyState::Loaded | CopyState::UnloadLost => copy.since + margin_ms < taken_at,
            // The load may still be carried out after its answer was lost.
            CopyState::LoadLost => {
                copy.since + margin_ms + self.settings.load_backoff_max_ms < taken_at
            }
            CopyState::Loading | CopyState::Unloading => false,
        }
    }

    /// Adds unknown copies that are listed, and marks listed ones as loaded whose load answer was
    /// lost.
    fn reconcile_listed_copies(
        &mut self,
        now: UnixMs,
        report: &LoadReport,
        listed: &BTreeMap<CopyName, u32>,
    ) {
        let margin_ms = self.settings.clock_margin_ms;
        for name in listed.keys() {
            match self.copies.get(name).map(|copy| copy.state) {
                Some(CopyState::LoadLost) => {
                    self.copies
                        .insert(name.clone(), TrackedCopy::new(CopyState::Loaded, now));
                    self.failures.on_loaded(&name.adapter);
                }
                Some(_) => {}
                None if self.is_stale_listing(name, report, margin_ms) => {}
                None => {
                    let since = report.taken_at_unix_ms;
                    self.copies
                        .insert(name.clone(), TrackedCopy::new(CopyState::Loaded, since));
                }
            }
        }
    }

    /// Whether a report lists a copy only because it was taken before the copy was unloaded.
    fn is_stale_listing(&self, name: &CopyName, report: &LoadReport, margin_ms: u64) -> bool {
        self.copies
            .removed_at(name)
            .is_some_and(|removed_at| report.taken_at_unix_ms <= removed_at + margin_ms)
    }

    /// Records unused copies, and removes expired grants on them, which have ended.
    fn record_unused(
        &mut self,
        now: UnixMs,
        report: &LoadReport,
        listed: &BTreeMap<CopyName, u32>,
    ) {
        let taken_at = report.taken_at_unix_ms;
        let margin_ms = self.settings.clock_margin_ms;
        let is_unused = |name: &CopyName| listed.get(name).is_none_or(|in_use| *in_use == 0);
        for (id, grant) in self.grants.on_report(taken_at, margin_ms, is_unused) {
            self.remember_return(now, id, grant);
        }
        for name in listed.keys().filter(|name| is_unused(name)) {
            if let Some(copy) = self.copies.get_mut(name) {
                copy.unused_at = Some(taken_at);
            }
        }
    }

    /// Marks the slots as known once a report was taken under the new ownership.
    fn check_slots_known(&mut self, report: &LoadReport) {
        let since = match self.shape.checks_fencing {
            true => self.fenced_at,
            false => Some(self.owned_at),
        };
        if since.is_some_and(|since| since < report.taken_at_unix_ms) {
            self.slots_known = true;
        }
    }
}

/// Copies in a report with the number of requests that use each; names that don't parse as copies
/// are skipped.
fn listed_copies(report: &LoadReport) -> BTreeMap<CopyName, u32> {
    report
        .adapters
        .iter()
        .filter_map(|loaded| Some((loaded.name.parse().ok()?, loaded.in_use)))
        .collect()
}
