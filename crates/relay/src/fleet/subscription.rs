//! Subscription to the change feed of another instance in the zone.

use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;

use monsoonspread_decisions::change_feed::{FeedSourceSelector, FeedTiming};
use monsoonspread_decisions::config_age::{Confirmation, ConfirmationRequests};
use monsoonspread_model::{InstanceName, UnixMs};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::event::{Line, kind};
use crate::peers::{FeedMessage, FeedNews, PeerChanges, PeerRequest};
use crate::shared::Shared;

/// How often the subscription is renewed, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_000;

/// Result of waiting for the feed source.
pub(super) enum FeedUpdate {
    Changes(PeerChanges),
    /// When the source last asked the store.
    Confirmed(Confirmation),
    /// The source has no feed; another one is needed.
    Declined,
    /// The source was unresponsive for too long; another one is needed.
    TimedOut,
}

/// Subscription to the change feed of another instance in the zone.
pub(super) struct FeedSubscription {
    choice: FeedSourceSelector,
    timeout_ms: u64,
    messages: UnboundedReceiver<FeedMessage>,
    current: Option<InstanceName>,
    ask_at: UnixMs,
    confirmations: ConfirmationRequests,
}

impl FeedSubscription {
    /// Creates a subscription of the instance `local`, whose process started at `started_at`; feed messages
    /// arrive on `messages`.
    pub(super) fn new(
        local: InstanceName,
        started_at: UnixMs,
        timing: FeedTiming,
        messages: UnboundedReceiver<FeedMessage>,
    ) -> Self {
        Self {
            choice: FeedSourceSelector::new(local),
            timeout_ms: timing.source_timeout_ms,
            messages,
            current: None,
            ask_at: UnixMs(0),
            confirmations: ConfirmationRequests::new(started_at.0),
        }
    }

    /// Chooses the feed source; `None` if this instance reads the store directly.
    pub(super) fn choose(&mut self, shared: &Shared) -> Option<(InstanceName, SocketAddr)> {
        let fleet = shared.fleet.borrow();
        let neighbours = fleet.members_of(&shared.settings.zone);
        let name = self.choice.choose(shared.now(), neighbours);
        let source = name.and_then(|name| Some((name.clone(), fleet.member(name)?)));
        let chosen = source.as_ref().map(|(name, _)| name);
        if self.current.as_ref() != chosen {
            Line::new(&kind::FEED_SOURCE)
                .field("source", chosen.map_or("store", InstanceName::as_str))
                .log();
            self.current = chosen.cloned();
            self.ask_at = UnixMs(0);
            while self.messages.try_recv().is_ok() {}
        }
        source
    }

    /// Waits for the next update from the source.
    pub(super) async fn next(
        &mut self,
        shared: &Shared,
        (name, address): &(InstanceName, SocketAddr),
    ) -> FeedUpdate {
        let now = shared.now();
        if now >= self.ask_at {
            self.ask_at = now + RENEW_INTERVAL_MS;
            shared.peers.subscribe(name, *address);
            if shared.has_workspaces() {
                let number = self.confirmations.on_send(now);
                let request = PeerRequest::Confirm(number);
                shared.peers.send(name, *address, request);
            }
        }
        let update = async {
            loop {
                match self.messages.recv().await {
                    Some((from, news)) if from == *name => return news,
                    Some(_) => {}
                    // The channel is closed: wait for the timeout, as with an unresponsive source.
                    None => pending().await,
                }
            }
        };
        let news = timeout(Duration::from_millis(self.timeout_ms), update).await;
        let now = shared.now();
        let update = match news {
            Ok(FeedNews::Changes(changes)) => return FeedUpdate::Changes(changes),
            Ok(FeedNews::Confirmed(confirmation)) => return FeedUpdate::Confirmed(confirmation),
            Ok(FeedNews::Unavailable) => {
                self.choice.on_declined(now, name.clone());
                FeedUpdate::Declined
            }
            Err(_) => {
                self.choice.on_timeout(now, name.clone());
                FeedUpdate::TimedOut
            }
        };
        Line::new(&kind::FEED_LOST).field("source", name).log();
        update
    }

    /// Returns when the known state, which has `revision`, was the newest; `None` if `confirmation` doesn't tell.
    pub(super) fn confirmed_at(
        &self,
        now: UnixMs,
        revision: u64,
        confirmation: &Confirmation,
    ) -> Option<UnixMs> {
        self.confirmations.confirmed_at(now, revision, confirmation)
    }
}
