//! Chooses the next order for an engine and handles the answers.

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::{AdapterKey, Order, OrderAnswer, OrderKind};

use super::control::CopyControl;
use super::copy::{Copy, CopyStage};
use super::{CopyAction, CopyRefusal};

/// Maximum number of concurrent loads on one engine.
///
/// Engines allow four, but the loads of all engines share the path from the weight store: more
/// concurrent loads slow each other down without raising the throughput.
const MAX_COMING: usize = 3;
/// Delay before the first check for a loaded adapter, in milliseconds: a load from the engine's
/// memory takes 25.
const FIRST_CHECK_MS: u64 = 25;
/// Interval of further checks, in milliseconds: a tenth of a load from the weight store.
const CHECK_EVERY_MS: u64 = 25;
/// Interval of checks for a loaded base model, in milliseconds.
const MODEL_CHECK_EVERY_MS: u64 = 150;
/// Pause after a conflict, in milliseconds: about the duration of one request that an unload waits
/// for.
const CONFLICT_PAUSE_MS: u64 = 40;
/// Number of consecutive conflicts after which a report is read.
const CONFLICTS_TO_REPORT: u32 = 3;
/// The same limit while an accepted unload waits for its requests: two seconds of conflicts.
const CONFLICTS_WHILE_UNLOADING: u32 = 50;
/// Maximum age of the values in a report, in milliseconds, including a margin.
const REPORT_LAG_MS: u64 = 500;
/// Timeout for the answer to an order, in milliseconds: an engine answers within a few, and a lost
/// packet is retransmitted after two hundred.
const ANSWER_WAIT_MS: u64 = 400;
/// The same timeout while the engine leaves orders unanswered: repeating the order resolves its
/// state sooner.
const SHORT_ANSWER_WAIT_MS: u64 = 120;
/// Pause before an unanswered order is repeated, in milliseconds.
const REPEAT_PAUSE_MS: u64 = 50;
/// Pause before the next order after the engine rejected one, in milliseconds.
const REJECTED_PAUSE_MS: u64 = 500;

impl CopyControl {
    /// The order in progress was answered, or no answer arrived.
    pub fn on_order_answer(&mut self, now: UnixMs, answer: OrderAnswer) -> Vec<CopyAction> {
        let Some(order) = self.under_way.take() else {
            return self.on_tick(now);
        };
        let repeated = self.unanswered.take().is_some();
        match answer {
            OrderAnswer::Accepted => self.on_accepted(now, &order),
            OrderAnswer::Holds => self.on_holds(now, &order),
            OrderAnswer::Conflict => self.on_conflict(now, &order, repeated),
            OrderAnswer::Unknown => self.on_unknown(now, &order),
            OrderAnswer::Rejected => self.on_rejected(now),
            OrderAnswer::NotSent | OrderAnswer::Unanswered => {
                self.pause_until = now + REPEAT_PAUSE_MS;
                if answer == OrderAnswer::Unanswered {
                    self.late.on_unanswered(now, &order);
                }
                self.unanswered = Some(order);
            }
        }
        self.on_tick(now)
    }

    /// Timeout for the answer to an order, in milliseconds.
    pub fn answer_wait_ms(&self, now: UnixMs) -> u64 {
        if self.late.is_recent(now) {
            SHORT_ANSWER_WAIT_MS
        } else {
            ANSWER_WAIT_MS
        }
    }

    fn on_accepted(&mut self, now: UnixMs, order: &Order) {
        self.conflicts = 0;
        let first = !self.is_status_check(order);
        if first {
            self.count_accepted(order.accepted_before.saturating_add(1));
        }
        if order.key.adapter.is_none() {
            self.loading_model = Some(order.key.model.clone());
            self.model_check_at = now + MODEL_CHECK_EVERY_MS;
            return;
        }
        let missing = || Copy::new(CopyStage::Ordered { replaces: false }, None, now);
        // A report read in the meantime may not have listed the copy.
        let copy = match order.kind {
            OrderKind::Load => self.copies.entry(order.key.clone()).or_insert_with(missing),
            OrderKind::Unload => match self.copies.get_mut(&order.key) {
                Some(copy) => copy,
                None => return,
            },
        };
        copy.stage = match order.kind {
            OrderKind::Unload => CopyStage::Going {
                accepted: true,
                check_at: now + CONFLICT_PAUSE_MS,
            },
            OrderKind::Load if first => CopyStage::Coming {
                check_at: now + FIRST_CHECK_MS,
            },
            OrderKind::Load => CopyStage::Coming {
                check_at: now + CHECK_EVERY_MS,
            },
        };
    }

    /// Sets the number of accepted orders, unless a report is needed to determine it.
    fn count_accepted(&mut self, accepted: u64) {
        if self.accepted.is_some() {
            self.accepted = Some(accepted);
        }
    }

    /// Whether an order repeats an accepted load to check its state.
    fn is_status_check(&self, order: &Order) -> bool {
        if order.key.adapter.is_none() {
            return self.loading_model.as_ref() == Some(&order.key.model);
        }
        let stage = self.copies.get(&order.key).map(|copy| copy.stage);
        order.kind == OrderKind::Load && matches!(stage, Some(CopyStage::Coming { .. }))
    }

    fn on_holds(&mut self, now: UnixMs, order: &Order) {
        self.conflicts = 0;
        if order.key.adapter.is_none() {
            if !self.models.contains(&order.key.model) {
                self.models.push(order.key.model.clone());
            }
            return;
        }
        match order.kind {
            OrderKind::Load => {
                if let Some(copy) = self.copies.get_mut(&order.key) {
                    copy.stage = CopyStage::Present;
                    copy.version = order.version.or(copy.version);
                    copy.used_at = copy.used_at.max(now);
                }
            }
            OrderKind::Unload => {
                self.kept.on_dropped(&order.key);
                let removed = self.copies.remove(&order.key).map(|copy| copy.stage);
                let was_accepted = matches!(removed, Some(CopyStage::Going { accepted: true, .. }));
                let first = u64::from(!was_accepted);
                self.count_accepted(order.accepted_before.saturating_add(first));
            }
        }
    }

    fn on_conflict(&mut self, now: UnixMs, order: &Order, repeated: bool) {
        self.conflicts += 1;
        self.pause_until = now + CONFLICT_PAUSE_MS;
        let waits_for_unload = self
            .copies
            .values()
            .any(|copy| matches!(copy.stage, CopyStage::Going { accepted: true, .. }));
        let limit = if waits_for_unload {
            CONFLICTS_WHILE_UNLOADING
        } else {
            CONFLICTS_TO_REPORT
        };
        if repeated || self.conflicts >= limit {
            self.require_report(now);
        }
        self.undo_ordered(order);
    }

    /// Reverts the stage of a copy whose order the engine did not carry out.
    fn undo_ordered(&mut self, order: &Order) {
        let stage = self.copies.get(&order.key).map(|copy| copy.stage);
        match stage {
            Some(CopyStage::Ordered { replaces: true }) => {
                if let Some(copy) = self.copies.get_mut(&order.key) {
                    copy.stage = CopyStage::Present;
                }
            }
            Some(CopyStage::Ordered { replaces: false }) => {
                self.copies.remove(&order.key);
            }
            _ => {}
        }
    }

    fn on_unknown(&mut self, now: UnixMs, order: &Order) {
        self.copies.remove(&order.key);
        if !self.models.contains(&order.key.model) {
            self.require_report(now);
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        for request in waiting {
            if request.key == order.key {
                self.refuse(request.id, CopyRefusal::Unknown);
            } else {
                self.waiting.push(request);
            }
        }
    }

    fn on_rejected(&mut self, now: UnixMs) {
        self.require_report(now);
        self.pause_until = now + REJECTED_PAUSE_MS;
    }

    /// Stops giving orders until a report was read that is newer than all previous orders.
    pub(super) fn require_report(&mut self, now: UnixMs) {
        self.accepted = None;
        self.report_at = now + REPORT_LAG_MS;
    }

    /// Gives the next order, or reads a report, if that is possible now.
    pub(super) fn next_order(&mut self, now: UnixMs) {
        if self.under_way.is_some() || self.reading_report {
            return;
        }
        let Some(accepted) = self.accepted else {
            self.read_report(now);
            return;
        };
        if !self.may_order || now < self.pause_until {
            return;
        }
        if let Some(order) = self.unanswered.clone() {
            self.send(order);
            return;
        }
        let next = self
            .missing_model(now)
            .or_else(|| self.due_check(now))
            .or_else(|| self.outdated())
            .or_else(|| self.wanted_load(now));
        if let Some((kind, key)) = next {
            let version = self.version_for(kind, &key);
            self.send(Order {
                kind,
                version,
                key,
                accepted_before: accepted,
            });
        }
    }

    /// Returns the version for an order. Naming another version than the load in progress would
    /// start a second load that takes another place.
    fn version_for(&mut self, kind: OrderKind, key: &AdapterKey) -> Option<u64> {
        if kind == OrderKind::Unload {
            return None;
        }
        let newest = self.newest.get(key).copied();
        let Some(copy) = self.copies.get_mut(key) else {
            return newest;
        };
        if !matches!(copy.stage, CopyStage::Coming { .. }) {
            copy.ordered = newest;
        }
        copy.ordered
    }

    fn read_report(&mut self, now: UnixMs) {
        if now < self.report_at {
            return;
        }
        self.reading_report = true;
        self.act(CopyAction::ReadReport);
    }

    fn send(&mut self, order: Order) {
        self.under_way = Some(order.clone());
        self.act(CopyAction::Order(order));
    }

    /// Loads a base model on a restarted engine, preferably the one requested first.
    fn missing_model(&mut self, now: UnixMs) -> Option<(OrderKind, AdapterKey)> {
        if !self.models.is_empty() {
            return None;
        }
        let requested = self.waiting.first().map(|request| &request.key.model);
        let first = self.shape.models.first().map(|model| &model.name);
        let model = requested.or(first)?.clone();
        if now < self.model_check_at {
            return None;
        }
        self.model_check_at = now + MODEL_CHECK_EVERY_MS;
        Some((
            OrderKind::Load,
            AdapterKey {
                model,
                adapter: None,
            },
        ))
    }

    fn due_check(&self, now: UnixMs) -> Option<(OrderKind, AdapterKey)> {
        self.copies.iter().find_map(|(key, copy)| match copy.stage {
            CopyStage::Coming { check_at } if check_at <= now => {
                Some((OrderKind::Load, key.clone()))
            }
            CopyStage::Going { check_at, .. } if check_at <= now => {
                Some((OrderKind::Unload, key.clone()))
            }
            _ => None,
        })
    }

    fn outdated(&mut self) -> Option<(OrderKind, AdapterKey)> {
        let newest = &self.newest;
        let (key, copy) = self.copies.iter_mut().find(|(key, copy)| {
            copy.is_present() && !copy.has_version(newest.get(*key).copied())
        })?;
        copy.stage = CopyStage::Ordered { replaces: true };
        Some((OrderKind::Load, key.clone()))
    }

    fn wanted_load(&mut self, now: UnixMs) -> Option<(OrderKind, AdapterKey)> {
        let coming = self.copies.values().filter(|copy| copy.is_coming()).count();
        if coming >= MAX_COMING || self.models.is_empty() {
            return None;
        }
        let wanted = self.most_wanted()?;
        let is_held = |key: &AdapterKey| *key == wanted || self.copies.contains_key(key);
        let accepted = self.accepted.unwrap_or(0);
        let reserved = self.late.places(now, accepted, is_held);
        if self.copies.len() + reserved < self.capacity() {
            let stage = CopyStage::Ordered { replaces: false };
            self.copies
                .insert(wanted.clone(), Copy::new(stage, None, now));
            return Some((OrderKind::Load, wanted));
        }
        let victim = self.least_used(now)?;
        if let Some(copy) = self.copies.get_mut(&victim) {
            copy.stage = CopyStage::Going {
                accepted: false,
                check_at: now,
            };
        }
        Some((OrderKind::Unload, victim))
    }

    /// Adapter of the most urgent copy request for which no order was given yet.
    fn most_wanted(&self) -> Option<AdapterKey> {
        self.waiting
            .iter()
            .filter(|request| {
                request.key.adapter.is_some() && !self.copies.contains_key(&request.key)
            })
            .min_by_key(|request| (request.rank, request.wait_until))
            .map(|request| request.key.clone())
    }

    fn least_used(&self, now: UnixMs) -> Option<AdapterKey> {
        self.copies
            .iter()
            .filter(|(_, copy)| copy.is_present() && copy.is_idle())
            .filter(|(key, _)| !self.waiting.iter().any(|request| request.key == **key))
            .min_by(|a, b| a.1.uses(now).total_cmp(&b.1.uses(now)))
            .map(|(key, _)| key.clone())
    }
}
