//! Keeps the fleet's state up to date with the store.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_borders::relay::{FleetChanges, FleetStoreError, RevisedChange};
use monsoonspread_decisions::change_feed::{
    CatchUp, FeedDelay, FeedDelays, FeedTiming, SpanUse, StoreRead,
};
use monsoonspread_decisions::config_age::Confirmation;
use monsoonspread_decisions::store_health::{StoreHealth, StoreStatus};
use monsoonspread_model::UnixMs;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

use crate::event::{Line, kind};
use crate::peers::{FeedMessage, PeerChanges};
use crate::shared::Shared;

use super::subscription::{FeedSubscription, FeedUpdate};

/// Wait for changes that are known to exist, in milliseconds.
const NO_WAIT_MS: u64 = 1;

/// Follows the store's changes for the life of the process, directly or through another instance of
/// the zone.
pub async fn watch_store(shared: Rc<Shared>, messages: UnboundedReceiver<FeedMessage>) {
    let timing = FeedTiming::new(shared.settings.bounds.change_ms());
    let local = shared.settings.instance.clone();
    let mut feed = FeedSubscription::new(local, shared.now(), timing, messages);
    let mut first = true;
    let heartbeat_ms = shared.settings.bounds.heartbeat_ms;
    let mut health = StoreHealth::default().with_heartbeat_ms(heartbeat_ms);
    let mut era = StoreEra::default();
    loop {
        let asked_at = shared.now();
        match shared.borders.store.read_all().await {
            Ok(snapshot) => {
                on_answer(&shared, &mut health);
                if era.on_answer(&snapshot) {
                    on_restored(&shared, &mut health);
                }
                let complete = first && shared.settings.bootstrap;
                first = false;
                let status = health.status(shared.now());
                shared.on_snapshot(&snapshot, complete, status);
                health.on_current(asked_at);
                shared.on_config_confirmed(asked_at);
                let mut known = StoreView {
                    shared: &shared,
                    timing,
                    revision: snapshot.revision,
                    era: &mut era,
                    catch_up: CatchUp::new(timing, asked_at),
                    health: &mut health,
                    delays: FeedDelays::new(timing, asked_at),
                };
                known.keep_up(&mut feed).await;
            }
            Err(error) => on_failure(&shared, &mut health, asked_at, &error),
        }
        sleep(Duration::from_millis(health.retry_ms(timing.max_retry_ms))).await;
    }
}

/// Era of the state that was read last; `None` before the first.
#[derive(Debug, Default)]
struct StoreEra(Option<u64>);

impl StoreEra {
    /// The whole state was read; returns true if it is that of another era.
    fn on_answer(&mut self, answer: &FleetChanges) -> bool {
        let former = self.0.replace(answer.era);
        let Some(former) = former.filter(|former| *former != answer.era) else {
            return false;
        };
        Line::new(&kind::STORE_RESTORED)
            .field("era", answer.era)
            .field("former", former)
            .log();
        true
    }
}

/// The store compacted changes that were not read.
struct HistoryLost;

/// The known state of the store, up to a revision.
struct StoreView<'a> {
    shared: &'a Rc<Shared>,
    timing: FeedTiming,
    revision: u64,
    era: &'a mut StoreEra,
    catch_up: CatchUp,
    health: &'a mut StoreHealth,
    delays: FeedDelays,
}

impl StoreView<'_> {
    /// Keeps up with the store until it compacts changes that were not read.
    async fn keep_up(&mut self, feed: &mut FeedSubscription) {
        loop {
            let step = match feed.choose(self.shared) {
                None => self.watch().await,
                Some(named) => {
                    self.shared.subscribers.on_uses_feed_source(self.shared);
                    match feed.next(self.shared, &named).await {
                        FeedUpdate::Changes(update) => self.on_feed(update).await,
                        FeedUpdate::Confirmed(confirmation) => {
                            self.on_confirmed(feed, &confirmation);
                            Ok(())
                        }
                        FeedUpdate::Declined => Ok(()),
                        // The time within which changes must be known is nearly over, so the store
                        // is read directly.
                        FeedUpdate::TimedOut => self.read(NO_WAIT_MS).await.map(|_| ()),
                    }
                }
            };
            if step.is_err() {
                return;
            }
        }
    }

    /// Waits for changes in the store itself.
    async fn watch(&mut self) -> Result<(), HistoryLost> {
        self.shared.subscribers.on_reads_store(self.shared);
        let asked_at = self.shared.now();
        // After a failed call, subscribers need an answer more urgently than changes.
        let wait_ms = if self.health.is_lost() {
            NO_WAIT_MS
        } else {
            self.timing.watch_ms
        };
        if let Some((after, changes, status)) = self.read(wait_ms).await? {
            let span = (after, self.revision);
            self.shared
                .subscribers
                .on_read(self.shared, asked_at, span, changes, status);
            let next_at = asked_at + self.timing.coalesce_ms;
            sleep(Duration::from_millis(next_at.ms_since(self.shared.now()))).await;
        } else {
            self.shared.subscribers.on_failed(self.shared);
        }
        Ok(())
    }

    /// The feed source told when it last asked the store.
    fn on_confirmed(&self, feed: &FeedSubscription, confirmation: &Confirmation) {
        let now = self.shared.now();
        if let Some(at) = feed.confirmed_at(now, self.revision, confirmation) {
            self.shared.on_config_confirmed(at);
        }
    }

    async fn on_feed(&mut self, update: PeerChanges) -> Result<(), HistoryLost> {
        let now = self.shared.now();
        let known_at = match self.delays.on_message(now) {
            FeedDelay::Prompt => update.known_at(now),
            FeedDelay::Unknown => None,
        };
        // Instances of earlier builds count revisions anew in each era.
        if update.known_ms.is_none() {
            self.read(NO_WAIT_MS).await?;
            return Ok(());
        }
        match update.span().usage(self.revision) {
            SpanUse::Known => {
                self.catch_up.on_current(now);
                if let Some(known_at) = known_at {
                    self.health.on_current(known_at);
                }
            }
            SpanUse::Read => {
                self.read(NO_WAIT_MS).await?;
            }
            SpanUse::Apply => {
                let local = self.health.status(now);
                let status = StoreStatus {
                    back_by: local.back_by.max(now + update.back_in_ms),
                    is_steady: local.is_steady && update.is_steady,
                    known_at: known_at.unwrap_or_default().max(local.known_at),
                };
                let known = self.revision;
                if let Some(known_at) = known_at {
                    self.health.on_current(known_at);
                }
                let changes = update.changes.unwrap_or_default().into_iter();
                for revised in changes.filter(|revised| revised.revision > known) {
                    self.shared.on_change(revised.change, status);
                }
                self.revision = update.up_to;
                self.catch_up.on_current(now);
            }
        }
        Ok(())
    }

    /// Reads what changed from the store, or all of it if that may be less. Returns the revision that the
    /// changes follow and the relevant ones, or `None` if the store did not answer.
    async fn read(&mut self, wait_ms: u64) -> Result<Option<FreshChanges>, HistoryLost> {
        let asked_at = self.shared.now();
        let fresh = match self.catch_up.next_read(asked_at) {
            StoreRead::Changes => self.read_changes(asked_at, wait_ms).await?,
            StoreRead::Everything => self.read_everything(asked_at).await,
        };
        if fresh.is_some() {
            self.catch_up.on_current(asked_at);
            self.health.on_current(asked_at);
            self.shared.on_config_confirmed(asked_at);
        }
        Ok(fresh)
    }

    async fn read_everything(&mut self, asked_at: UnixMs) -> Option<FreshChanges> {
        let after = self.revision;
        match self.shared.borders.store.read_all().await {
            Ok(snapshot) => {
                on_answer(self.shared, self.health);
                if self.era.on_answer(&snapshot) {
                    on_restored(self.shared, self.health);
                }
                let status = self.health.status(self.shared.now());
                self.shared.on_snapshot(&snapshot, false, status);
                self.revision = snapshot.revision.max(after);
                Line::new(&kind::STATE_READ)
                    .field("after", after)
                    .field("revision", self.revision)
                    .log();
                Some((after, None, status))
            }
            Err(error) => {
                self.on_failed_read(asked_at, &error).await;
                None
            }
        }
    }

    async fn on_failed_read(&mut self, asked_at: UnixMs, error: &FleetStoreError) {
        if matches!(error, FleetStoreError::CutShort(_)) {
            self.catch_up.on_cut_short();
        }
        on_failure(self.shared, self.health, asked_at, error);
        let pause_ms = self.health.retry_ms(self.timing.max_retry_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    async fn read_changes(
        &mut self,
        asked_at: UnixMs,
        wait_ms: u64,
    ) -> Result<Option<FreshChanges>, HistoryLost> {
        let after = self.revision;
        match self
            .shared
            .borders
            .store
            .changes_after(after, wait_ms)
            .await
        {
            Ok(fresh) => {
                on_answer(self.shared, self.health);
                let FleetChanges {
                    changes, revision, ..
                } = fresh;
                let status = self.health.status(self.shared.now());
                let mut fresh = Vec::new();
                for revised in changes {
                    if self.shared.on_change(revised.change.clone(), status) {
                        fresh.push(revised);
                    }
                }
                self.revision = revision.max(after);
                Ok(Some((after, Some(fresh), status)))
            }
            Err(FleetStoreError::HistoryCompacted(after)) => {
                Line::new(&kind::HISTORY_COMPACTED)
                    .field("after", after)
                    .log();
                Err(HistoryLost)
            }
            // What is known of the store is no longer in its history: all of it is read again.
            Err(FleetStoreError::Restored) => Err(HistoryLost),
            Err(error) => {
                self.on_failed_read(asked_at, &error).await;
                Ok(None)
            }
        }
    }
}

/// The revision that the changes follow, the relevant changes, and the store's health. The changes are `None`
/// if the whole state was read.
type FreshChanges = (u64, Option<Vec<RevisedChange>>, StoreStatus);

fn on_answer(shared: &Shared, health: &mut StoreHealth) {
    let now = shared.now();
    if health.on_answer(now) {
        Line::new(&kind::STORE_RECOVERED)
            .field(
                "entries_back_in_ms",
                health.status(now).back_by.ms_since(now),
            )
            .log();
    }
}

/// The store came back from an older copy: entries and leases written since are gone.
fn on_restored(shared: &Shared, health: &mut StoreHealth) {
    health.on_restored(shared.now());
    shared.fleet.borrow_mut().on_restored(shared.now());
    shared.set_needs_announcement();
    shared.holding.on_announcement_gone();
}

fn on_failure(
    shared: &Shared,
    health: &mut StoreHealth,
    asked_at: UnixMs,
    error: &FleetStoreError,
) {
    if health.on_failure(asked_at, shared.now()) {
        Line::new(&kind::STORE_LOST).field("error", error).log();
    }
}
