//! Connections to other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use monsoonspread_decisions::config_age::Confirmation;
use monsoonspread_decisions::copies::{CopyRefusal, EngineQuote};
use monsoonspread_model::InstanceName;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{Instant, interval, sleep_until, timeout, timeout_at};

use super::frame::{Frames, HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, decode, frames, send_all};
use super::message::{
    PeerChanges, PeerCopyRequest, PeerPermit, PeerPermitRequest, PeerPlaceRequest, PeerQuota,
    PeerQuotaRequest, PeerRequest, PlaceAnswer,
};
use super::pending::{PendingAnswers, PendingRequest, add_pending};
use super::reply_handler::ReplyHandler;
use crate::event::{Line, kind};
use crate::gossip::ReceivedGossip;

/// Timeout for connecting to another instance, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Timeout for a holder to acknowledge a copy request, in milliseconds: a few round trips to
/// another zone, plus the queueing delay at a busy instance.
const RECEIPT_TIMEOUT_MS: u64 = 250;

/// Why a copy request was not granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyRequestFailure {
    /// The holder refused the request.
    Refused(CopyRefusal),
    /// The holder is unreachable or unresponsive.
    Silent,
}

impl CopyRequestFailure {
    /// Whether the failure is unrelated to the engine, because its holder makes no decisions now.
    pub fn is_holder_unavailable(self) -> bool {
        matches!(
            self,
            Self::Silent | Self::Refused(CopyRefusal::NotHolder | CopyRefusal::Unread)
        )
    }
}

#[derive(Clone)]
struct Link {
    address: SocketAddr,
    queue: UnboundedSender<PeerRequest>,
    pending: PendingAnswers,
}

/// A copy that a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GrantedCopy {
    /// Requests running on the engine or about to run.
    pub running: u32,
    /// Version of the copy, if its holder told it.
    pub version: Option<u64>,
}

/// Answer to a copy request.
pub(super) type Answer = Result<GrantedCopy, CopyRequestFailure>;

/// Connections to other instances, opened on first use.
#[derive(Clone)]
pub struct PeerLinks {
    local: InstanceName,
    links: Rc<RefCell<HashMap<InstanceName, Link>>>,
    feed: UnboundedSender<FeedMessage>,
    gossip: UnboundedSender<ReceivedGossip>,
}

/// A feed source and what it sent.
pub type FeedMessage = (InstanceName, FeedNews);

/// What a feed source sends its subscribers.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedNews {
    /// Changes in the store.
    Changes(PeerChanges),
    /// When the source last asked the store.
    Confirmed(Confirmation),
    /// The source has no feed.
    Unavailable,
}

impl PeerLinks {
    /// Creates the links without connections. `feed` receives changes published by other instances,
    /// and `gossip` their gossip about upstreams and requests.
    pub fn new(
        local: InstanceName,
        feed: UnboundedSender<FeedMessage>,
        gossip: UnboundedSender<ReceivedGossip>,
    ) -> Self {
        Self {
            local,
            links: Rc::default(),
            feed,
            gossip,
        }
    }

    /// Subscribes to the change feed of `peer` for a limited time.
    pub fn subscribe(&self, peer: &InstanceName, address: SocketAddr) {
        self.send(peer, address, PeerRequest::Subscribe);
    }

    /// Sends `peer` a message that needs no answer, connecting if necessary.
    pub fn send(&self, peer: &InstanceName, address: SocketAddr, request: PeerRequest) {
        // A closing connection is reopened by the next message.
        let _ = self.link(peer, address).queue.send(request);
    }

    /// Requests a copy from `peer` and waits for its answer.
    pub async fn request_copy(
        &self,
        peer: &InstanceName,
        address: SocketAddr,
        request: PeerCopyRequest,
    ) -> Answer {
        let link = self.link(peer, address);
        let received = Rc::new(Cell::new(false));
        let (answer, answered) = oneshot::channel();
        let pending = PendingRequest {
            received: Rc::clone(&received),
            answer,
        };
        let (number, wait_ms) = (request.number, request.wait_ms);
        link.pending.copies.borrow_mut().insert(number, pending);
        if link.queue.send(PeerRequest::CopyRequest(request)).is_err() {
            return Err(CopyRequestFailure::Silent);
        }
        let answer = wait_for(answered, &received, wait_ms).await;
        link.pending.copies.borrow_mut().remove(&number);
        answer
    }

    /// Queries `peer` for an engine's load; `None` if there is no answer until `until`.
    pub async fn quote(
        &self,
        peer: &InstanceName,
        address: SocketAddr,
        number: u64,
        question: PeerRequest,
        until: Instant,
    ) -> Option<EngineQuote> {
        let link = self.link(peer, address);
        let (answer, answered) = oneshot::channel();
        link.pending.quotes.borrow_mut().insert(number, answer);
        let sent = link.queue.send(question);
        let quote = match sent {
            Ok(()) => timeout_at(until, answered).await.ok(),
            // The connection is closing: no quote.
            Err(_) => None,
        };
        link.pending.quotes.borrow_mut().remove(&number);
        quote?.ok()?
    }

    /// Requests a permit from `peer`; `None` if the connection fails.
    pub async fn request_permit(
        &self,
        peer: &InstanceName,
        address: SocketAddr,
        request: PeerPermitRequest,
    ) -> Option<PeerPermit> {
        let link = self.link(peer, address);
        let answered = add_pending(&link.pending.permits, request.number);
        link.queue.send(PeerRequest::Permit(request)).ok()?;
        answered.await.ok()
    }

    /// Requests credit from `peer`; `None` if the connection fails.
    pub async fn request_quota(
        &self,
        peer: &InstanceName,
        address: SocketAddr,
        request: PeerQuotaRequest,
    ) -> Option<PeerQuota> {
        let link = self.link(peer, address);
        let answered = add_pending(&link.pending.quotas, request.number);
        link.queue.send(PeerRequest::Quota(request)).ok()?;
        answered.await.ok()
    }

    /// Requests a place from `peer`; returns its answers, which end if the connection fails.
    pub fn request_place(
        &self,
        peer: &InstanceName,
        address: SocketAddr,
        request: PeerPlaceRequest,
    ) -> Option<UnboundedReceiver<PlaceAnswer>> {
        let link = self.link(peer, address);
        let (answer, answers) = unbounded_channel();
        let mut places = link.pending.places.borrow_mut();
        places.retain(|_, waiting| !waiting.is_closed());
        places.insert(request.number, answer);
        link.queue.send(PeerRequest::Place(request)).ok()?;
        Some(answers)
    }

    /// Sends `peer` a message that needs no answer, if it is connected.
    pub fn send_if_connected(&self, peer: &InstanceName, request: PeerRequest) {
        if let Some(link) = self.links.borrow().get(peer) {
            // When the connection closes, the holder drops this instance's copy requests anyway.
            let _ = link.queue.send(request);
        }
    }

    fn link(&self, peer: &InstanceName, address: SocketAddr) -> Link {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(peer)
            && link.address == address
            && !link.queue.is_closed()
        {
            return link.clone();
        }
        let (queue, requests) = unbounded_channel();
        let link = Link {
            address,
            queue,
            pending: PendingAnswers::default(),
        };
        links.insert(peer.clone(), link.clone());
        let replies = ReplyHandler {
            peer: peer.clone(),
            pending: link.pending.clone(),
            feed: self.feed.clone(),
            gossip: self.gossip.clone(),
        };
        let run = run(self.local.clone(), address, requests, replies);
        tokio::task::spawn_local(run);
        link
    }
}

async fn wait_for(
    answered: oneshot::Receiver<Answer>,
    received: &Cell<bool>,
    wait_ms: u64,
) -> Answer {
    tokio::pin!(answered);
    let first = Duration::from_millis(RECEIPT_TIMEOUT_MS);
    if let Ok(answer) = timeout(first, &mut answered).await {
        return answer.unwrap_or(Err(CopyRequestFailure::Silent));
    }
    if !received.get() {
        return Err(CopyRequestFailure::Silent);
    }
    // The holder answers at the end of the wait at the latest; allow for the transit time.
    let rest = Duration::from_millis(wait_ms + RECEIPT_TIMEOUT_MS) - first;
    match timeout(rest, &mut answered).await {
        Ok(answer) => answer.unwrap_or(Err(CopyRequestFailure::Silent)),
        Err(_) => Err(CopyRequestFailure::Refused(CopyRefusal::TooLate)),
    }
}

async fn run(
    local: InstanceName,
    address: SocketAddr,
    mut requests: UnboundedReceiver<PeerRequest>,
    replies: ReplyHandler,
) {
    let peer = replies.peer.clone();
    let connect = TcpStream::connect(address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
    if let Ok(Ok(stream)) = connected {
        Line::new(&kind::PEER_CONNECTED).field("peer", &peer).log();
        // Without it requests may be delayed; the connection still works.
        let _ = stream.set_nodelay(true);
        run_connection(frames(stream), local, &mut requests, &replies).await;
    }
    requests.close();
    Line::new(&kind::PEER_LOST)
        .field("peer", &peer)
        .field("address", address)
        .log();
    replies.pending.clear();
}

async fn run_connection(
    mut frames: Frames,
    local: InstanceName,
    requests: &mut UnboundedReceiver<PeerRequest>,
    replies: &ReplyHandler,
) {
    let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    let mut dead_at = Instant::now() + Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
    if send_all(&mut frames, &PeerRequest::Hello(local), requests)
        .await
        .is_none()
    {
        return;
    }
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(Ok(bytes)) = frame else { return };
                dead_at = Instant::now() + Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
                let Some(reply) = decode(&bytes) else { return };
                replies.on_reply(reply);
            }
            request = requests.recv() => {
                let Some(request) = request else { return };
                if send_all(&mut frames, &request, requests).await.is_none() { return }
            }
            _ = heartbeat.tick() => {
                if send_all(&mut frames, &PeerRequest::Heartbeat, requests).await.is_none() {
                    return;
                }
            }
            () = sleep_until(dead_at) => return,
        }
    }
}
