//! Follows the store's changes.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_borders::relay::{FleetChanges, FleetStoreError};
use monsoonspread_decisions::holders::CONFIRMED_FOR_MS;
use monsoonspread_model::UnixMs;

use tokio::time::Instant;

use crate::event::{Line, kind};
use crate::shared::Shared;

use super::StoreReach;

/// Longest wait of one watch, in milliseconds: short enough that a connection that fell silent
/// is noticed within the time for a change of the configuration and its outer bound.
const WATCH_MS: u64 = 2_000;
/// Least time from one watch to the next, in milliseconds, so that changes that come together
/// are read with one call. Changes have two seconds to be in force.
const GATHER_MS: u64 = 500;
/// Pause after a call that failed, in milliseconds.
const RETRY_MS: u64 = 300;
/// After a failed call, entries may lapse because of the store for so long, in milliseconds.
const UNSETTLED_MS: u64 = 3_000;

/// Follows the store's changes for good.
pub async fn watch_store(shared: Rc<Shared>) {
    let mut first = true;
    let mut trouble = Trouble::default();
    loop {
        match shared.borders.store.read_all().await {
            Ok(snapshot) => {
                trouble.on_answer();
                let complete = first && shared.settings.bootstrap;
                first = false;
                let revision = snapshot.revision;
                shared.on_snapshot(&snapshot, complete);
                follow(&shared, revision, &mut trouble).await;
            }
            Err(error) => trouble.on_failure(shared.now(), &error),
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn follow(shared: &Rc<Shared>, mut revision: u64, trouble: &mut Trouble) {
    loop {
        let asked_at = Instant::now();
        match shared.borders.store.changes_after(revision, WATCH_MS).await {
            Ok(FleetChanges {
                changes,
                revision: up_to,
            }) => {
                trouble.on_answer();
                let reach = trouble.reach(shared.now());
                for change in changes {
                    shared.on_change(change, reach);
                }
                revision = up_to.max(revision);
                tokio::time::sleep_until(asked_at + Duration::from_millis(GATHER_MS)).await;
            }
            Err(FleetStoreError::HistoryGone(after)) => {
                Line::new(&kind::HISTORY_GONE).field("after", after).log();
                return;
            }
            Err(error) => {
                trouble.on_failure(shared.now(), &error);
                tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Whether the store answers, and until when its entries may be incomplete.
#[derive(Debug, Default)]
struct Trouble {
    lost: bool,
    unsettled_until: UnixMs,
    steady_from: UnixMs,
}

impl Trouble {
    fn on_answer(&mut self) {
        if std::mem::take(&mut self.lost) {
            Line::new(&kind::STORE_BACK).log();
        }
    }

    fn on_failure(&mut self, now: UnixMs, error: &FleetStoreError) {
        self.unsettled_until = now + UNSETTLED_MS;
        self.steady_from = now + CONFIRMED_FOR_MS;
        if !std::mem::replace(&mut self.lost, true) {
            Line::new(&kind::STORE_LOST).field("error", error).log();
        }
    }

    fn reach(&self, now: UnixMs) -> StoreReach {
        StoreReach {
            is_unsettled: now < self.unsettled_until,
            is_steady: now >= self.steady_from,
        }
    }
}
