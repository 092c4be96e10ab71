//! The store lease under which this instance is announced and holds engines.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_borders::relay::{FleetMember, FleetStoreError, LeaseId};
use monsoonspread_decisions::holders::CONFIRMED_FOR_MS;
use monsoonspread_model::Fingerprint;

use crate::event::{Line, kind};
use crate::shared::Shared;

/// Renewal interval of the lease, in milliseconds; three renewals may fail before it expires.
const RENEW_MS: u64 = 2_000;
/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 300;
/// Time over which instances renew whose announcements disappeared together, in milliseconds: short
/// enough that all are back while they are still listed, and no more calls a second than the store bears.
const RENEW_SPREAD_MS: u64 = 700;

/// Keeps the lease and the announcement alive for the life of the process.
pub async fn keep_lease(shared: Rc<Shared>) {
    loop {
        if let Some(lease) = open(&shared).await {
            renew(&shared, lease).await;
            shared.holding.lease.set(None);
            shared.holding.confirmation.borrow_mut().on_lost();
            shared.holding.release_all_engines(&shared);
            Line::new(&kind::LEASE_LOST).field("lease", lease.0).log();
            // The announcement ended with the lease: the next one is opened at once.
            continue;
        }
        tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

async fn open(shared: &Rc<Shared>) -> Option<LeaseId> {
    let sent_at = shared.now();
    let store = &shared.borders.store;
    let lease = store.open_lease(CONFIRMED_FOR_MS).await.ok()?;
    announce(shared, lease).await.ok()?;
    Line::new(&kind::LEASE_OPENED).field("lease", lease.0).log();
    shared.holding.lease.set(Some(lease));
    shared.holding.confirmation.borrow_mut().on_renewed(sent_at);
    Some(lease)
}

async fn announce(shared: &Shared, lease: LeaseId) -> Result<(), FleetStoreError> {
    if shared.is_stopping() {
        return Ok(());
    }
    let member = FleetMember {
        name: shared.settings.instance.clone(),
        zone: shared.settings.zone.clone(),
        peer_address: shared.settings.listen.peers,
    };
    shared.borders.store.announce(lease, &member).await
}

/// Renews the lease until the store reports that it has ended.
async fn renew(shared: &Rc<Shared>, lease: LeaseId) {
    loop {
        wait_for_renewal(shared).await;
        let sent_at = shared.now();
        match shared.borders.store.renew_lease(lease).await {
            Ok(()) => shared.holding.confirmation.borrow_mut().on_renewed(sent_at),
            Err(FleetStoreError::LeaseEnded) => return,
            Err(error) => log::debug!("the lease was not renewed: {error}"),
        }
        if shared.take_needs_announcement() && announce(shared, lease).await.is_err() {
            shared.set_needs_announcement();
        }
    }
}

/// Waits for the time of the next renewal, which comes early if the announcement disappeared.
async fn wait_for_renewal(shared: &Shared) {
    let wait = Duration::from_millis(RENEW_MS);
    if tokio::time::timeout(wait, shared.holding.renewal.notified())
        .await
        .is_ok()
    {
        let name = shared.settings.instance.as_str();
        let draw = Fingerprint::of([name.as_bytes()]).0;
        tokio::time::sleep(Duration::from_millis(draw % RENEW_SPREAD_MS)).await;
    }
}
